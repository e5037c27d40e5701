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

// observedLister signals every read of the member list.
type observedLister struct {
	source *kcstandin.InstanceList
	reads  chan struct{}
}

func (l *observedLister) List(ctx context.Context) ([]kcmember.Member, error) {
	select {
	case l.reads <- struct{}{}:
	default:
	}
	return l.source.List(ctx)
}

// awaitApplied waits until the instance has applied the current state of the
// list: the second read starts after the result of the first was applied.
func (l *observedLister) awaitApplied() {
	for range 2 {
		<-l.reads
	}
}

// Guards against new requests to an engine that reports in its responses that it
// is leaving while the member list is down.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	answer := func(leaving string) engineHandler {
		return func(w http.ResponseWriter, _ *http.Request, id string) {
			w.Header().Set(kcmember.HeaderLeaving, leaving)
			writeEvent(w, id, 0, "x")
			writeDone(w)
		}
	}
	a, b := newTestEngine(answer("true"), nil), newTestEngine(answer("false"), nil)
	i := startInstance(t, withEngines(t, a, b))
	i.InstanceList.SetFaults(kcstandin.InstanceListFaults{Down: true})
	for range 20 {
		if resp := i.postChat(t.Context(), t, customRequest); !strings.Contains(readBody(t, resp), `"x"`) {
			t.Fatal("the request was not answered")
		}
	}
	if a.chatRequests.Load() > 1 || a.chatRequests.Load()+b.chatRequests.Load() != 20 {
		t.Fatalf("%d requests to the leaving engine, %d to the other", a.chatRequests.Load(), b.chatRequests.Load())
	}
}

// Guards against a response that is truncated because its engine was replaced on
// the member list, and against a new engine that gets no requests.
func TestEngineReplacementKeepsRunningStream(t *testing.T) {
	list := &observedLister{reads: make(chan struct{})}
	var i *testInstance
	last := func(w http.ResponseWriter, _ *http.Request, id string) {
		writeEvent(w, id, 0, "new")
		writeDone(w)
	}
	b := newTestEngine(last, nil)
	a := newTestEngine(func(w http.ResponseWriter, _ *http.Request, id string) {
		writeEvent(w, id, 0, "first ")
		for _, m := range i.running.Directory().Engines("custom@1") {
			if m.ID == "a" {
				m.Leaving = true
				list.source.Put(m)
			}
		}
		list.awaitApplied()
		if resp := i.postChat(t.Context(), t, customRequest); !strings.Contains(readBody(t, resp), `"new"`) {
			t.Error("the new engine did not answer")
		}
		list.source.Delete("a")
		list.awaitApplied()
		writeEvent(w, id, 1, "second")
		writeDone(w)
	}, nil)
	engines := withEngines(t, a, b)
	i = startInstance(t, func(o *kcinstance.Options) {
		engines(o)
		list.source = o.Lister.(*kcstandin.InstanceList)
		o.Lister, o.Settings.Timing.ListPollIntervalMs = list, 1
	})
	if resp := i.postChat(t.Context(), t, customRequest); !strings.Contains(readBody(t, resp), `"first second"`) {
		t.Fatal("the response was truncated")
	}
	if a.chatRequests.Load() != 1 || b.chatRequests.Load() != 1 {
		t.Fatalf("the engines got %d and %d requests, want 1 each", a.chatRequests.Load(), b.chatRequests.Load())
	}
}
