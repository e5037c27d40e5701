package kcconfig_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const withdrawBase = `{"versions":{"base@1":{"state":"withdrawn","quality":{"default":0.9}}}}`

func publisher(t *testing.T, store kclog.Log, author string) *kcconfig.Publisher {
	t.Helper()
	p, err := kcconfig.NewPublisher(t.Context(), kcconfig.PublisherOptions{
		Store: store, Clock: kcclock.System{}, Base: baseRules(), Author: author,
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func differences(t *testing.T, p *kcconfig.Publisher, file string) []kcconfig.Difference {
	t.Helper()
	diff, err := p.Diff([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	return diff
}

// Guards against an operator who is not told that another one came first, or
// not by whom.
func TestLoserOfARaceIsTold(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	first, second := publisher(t, log, "ann"), publisher(t, log, "bob")
	if _, err := first.Publish(t.Context(), first.Change(differences(t, first, withdrawBase))); err != nil {
		t.Fatal(err)
	}
	_, err := second.Publish(t.Context(), second.Change(differences(t, second, `{"versions":{"base@1":null,"n@1":
		{"state":"active","quality":{"default":0.5}}}}`)))
	if !errors.Is(err, kcconfig.ErrRejected) || !strings.Contains(err.Error(), `versions/base@1 was changed at offset 0 by "ann"`) {
		t.Fatalf("error %v", err)
	}
	if diff := differences(t, first, withdrawBase); len(diff) != 0 {
		t.Fatalf("differences after the change: %v", diff)
	}
}

// Guards against a lost answer that is taken for a failure, and against a
// change that takes effect twice.
func TestPublishSurvivesLostAnswers(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	log.SetFaults(kcstandin.LogFaults{LostShare: 1})
	p := publisher(t, log, "ann")
	offset, err := p.Publish(t.Context(), p.Change(differences(t, p, withdrawBase)))
	if err != nil || offset != 0 || log.AppendCount() != 1 {
		t.Fatalf("offset %d, error %v, %d appends", offset, err, log.AppendCount())
	}
}

// Guards against a change that is reported as failed while it may be in force.
func TestUnknownOutcomeIsReported(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	for _, sent := range []bool{false, true} {
		p := publisher(t, log, "ann")
		change := p.Change(differences(t, p, withdrawBase))
		ctx, cancel := context.WithCancel(t.Context())
		store := &lossy{Log: log, sent: sent, appended: cancel}
		p = publisher(t, store, "ann")
		store.cut = true
		_, err := p.Publish(ctx, change)
		if err == nil || errors.Is(err, kcconfig.ErrOutcomeUnknown) != sent {
			t.Fatalf("sent %v: error %v", sent, err)
		}
	}
}

// lossy is a log whose appends fail and which cannot be read once it is cut.
type lossy struct {
	kclog.Log
	cut      bool
	sent     bool
	appended func()
}

func (l *lossy) Append(context.Context, string, []kclog.NewRecord) (int64, error) {
	l.appended()
	if l.sent {
		return 0, kclog.ErrAnswerLost
	}
	return 0, kclog.ErrUnavailable
}

func (l *lossy) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (kclog.Page, error) {
	if l.cut {
		return kclog.Page{}, kclog.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// Guards against a mistake in a file that is published and then has no effect.
func TestMistakesAreNotPublished(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	p := publisher(t, log, "ann")
	for file, want := range map[string]string{
		`{"versions":{"x@1":{"stat":"active"}}}`: "unknown field",
		`{"modells":{"x":{}}}`:                   "unknown field",
		`{"versions":7}`:                         "must be an object",
		`[]`:                                     "cannot unmarshal",
	} {
		if _, err := p.Diff([]byte(file)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %s", file, err, want)
		}
	}
	diff := differences(t, p, `{"workspaces":{"w":{"keyHashes":[],"allow":["nosuch"]}}}`)
	if _, err := p.Publish(t.Context(), p.Change(diff)); !errors.Is(err, kcconfig.ErrRejected) || log.AppendCount() != 0 {
		t.Errorf("error %v, %d appends", err, log.AppendCount())
	}
}

// Guards against readers with different settings files that accept different
// changes during a roll-out of the settings.
func TestSettingsOfTheReaderDoNotDecide(t *testing.T) {
	w := newWorld()
	w.start("a")
	other := kcconfig.NewReader(kcconfig.ReaderOptions{Clock: w.clock, Store: w.log, Base: kcrules.Rules{}})
	p, err := kcconfig.NewPublisher(t.Context(), kcconfig.PublisherOptions{Store: w.log, Clock: w.clock, Base: baseRules()})
	if err != nil {
		t.Fatal(err)
	}
	file := `{"workspaces":{"w":{"keyHashes":[],"allow":["base@1"]}}}`
	if _, err := p.Publish(t.Context(), p.Change(differences(t, p, file))); err != nil {
		t.Fatal(err)
	}
	for name, r := range map[string]*kcconfig.Reader{"same": w.readers["a"], "other": other} {
		if _, err := r.Poll(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		if _, ok := r.Rules().Workspaces["w"]; !ok {
			t.Errorf("reader with %s settings rejected the change", name)
		}
	}
}
