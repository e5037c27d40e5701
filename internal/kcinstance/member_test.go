package kcinstance_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
)

// observedList tells of every read of the list.
type observedList struct {
	all   *kcstandin.InstanceList
	reads chan struct{}
}

func (l *observedList) List(ctx context.Context) ([]kcmember.Member, error) {
	select {
	case l.reads <- struct{}{}:
	default:
	}
	return l.all.List(ctx)
}

// taken waits until a state of the list that stands now has been taken over:
// the second read starts after the first was applied.
func (l *observedList) taken() {
	for range 2 {
		<-l.reads
	}
}

// Guards against new work for an engine that says it is leaving while the list
// is down.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	answer := func(leaving string) answer {
		return func(w http.ResponseWriter, _ *http.Request, id string) {
			w.Header().Set(kcmember.HeaderLeaving, leaving)
			event(w, id, 0, "x")
			done(w)
		}
	}
	a, b := newEngine(answer("true"), nil), newEngine(answer("false"), nil)
	i := startOne(t, withEngines(t, a, b))
	i.InstanceList.SetFaults(kcstandin.InstanceListFaults{Down: true})
	for range 20 {
		if resp := i.chat(t.Context(), t, custom); !strings.Contains(read(t, resp), `"x"`) {
			t.Fatal("no answer")
		}
	}
	if a.served.Load() > 1 || a.served.Load()+b.served.Load() != 20 {
		t.Fatalf("%d requests to the leaving engine, %d to the other", a.served.Load(), b.served.Load())
	}
}

// Guards against an answer that is cut because its engine was replaced on the
// list, and against a new engine that gets no work.
func TestReplacementDoesNotCutAnswers(t *testing.T) {
	list := &observedList{reads: make(chan struct{})}
	var i *instance
	last := func(w http.ResponseWriter, _ *http.Request, id string) {
		event(w, id, 0, "new")
		done(w)
	}
	b := newEngine(last, nil)
	a := newEngine(func(w http.ResponseWriter, _ *http.Request, id string) {
		event(w, id, 0, "first ")
		for _, m := range i.inst.Directory().Engines("custom@1") {
			if m.ID == "a" {
				m.Leaving = true
				list.all.Put(m)
			}
		}
		list.taken()
		if resp := i.chat(t.Context(), t, custom); !strings.Contains(read(t, resp), `"new"`) {
			t.Error("the new engine did not answer")
		}
		list.all.Delete("a")
		list.taken()
		event(w, id, 1, "second")
		done(w)
	}, nil)
	engines := withEngines(t, a, b)
	i = startOne(t, func(o *kcinstance.Options) {
		engines(o)
		list.all = o.Lister.(*kcstandin.InstanceList)
		o.Lister, o.Settings.Timing.ListPollMs = list, 1
	})
	if resp := i.chat(t.Context(), t, custom); !strings.Contains(read(t, resp), `"first second"`) {
		t.Fatal("the answer was cut")
	}
	if a.served.Load() != 1 || b.served.Load() != 1 {
		t.Fatalf("served %d and %d", a.served.Load(), b.served.Load())
	}
}
