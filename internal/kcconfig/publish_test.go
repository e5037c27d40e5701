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

const withdrawBaseFile = `{"versions":{"base@1":{"state":"withdrawn","quality":{"default":0.9}}}}`

func newPublisher(t *testing.T, store kclog.Log, author string) *kcconfig.Publisher {
	t.Helper()
	p, err := kcconfig.NewPublisher(t.Context(), kcconfig.PublisherOptions{
		Store: store, Clock: kcclock.System{}, Base: baseRules(), Author: author,
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func mustDiff(t *testing.T, p *kcconfig.Publisher, file string) []kcconfig.Difference {
	t.Helper()
	diff, err := p.Diff([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	return diff
}

// Guards against an operator whose change was rejected and who is not told
// which earlier change conflicts and who published it.
func TestRejectedPublisherIsToldTheConflict(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	first, second := newPublisher(t, log, "ann"), newPublisher(t, log, "bob")
	if _, err := first.Publish(t.Context(), first.BuildChange(mustDiff(t, first, withdrawBaseFile))); err != nil {
		t.Fatal(err)
	}
	_, err := second.Publish(t.Context(), second.BuildChange(mustDiff(t, second, `{"versions":{"base@1":null,"n@1":
		{"state":"active","quality":{"default":0.5}}}}`)))
	if !errors.Is(err, kcconfig.ErrRejected) || !strings.Contains(err.Error(), `versions/base@1 was changed at offset 0 by "ann"`) {
		t.Fatalf("error %v", err)
	}
	if diff := mustDiff(t, first, withdrawBaseFile); len(diff) != 0 {
		t.Fatalf("differences after the change: %v", diff)
	}
}

// Guards against a lost answer that is treated as a failure, and against a
// change that takes effect twice.
func TestPublishSurvivesLostAnswers(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	log.SetFaults(kcstandin.LogFaults{LostShare: 1})
	p := newPublisher(t, log, "ann")
	offset, err := p.Publish(t.Context(), p.BuildChange(mustDiff(t, p, withdrawBaseFile)))
	if err != nil || offset != 0 || log.AppendCount() != 1 {
		t.Fatalf("offset %d, error %v, %d appends", offset, err, log.AppendCount())
	}
}

// Guards against a change that is reported as failed while it may be in force.
func TestUnknownOutcomeIsReported(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	for _, sent := range []bool{false, true} {
		p := newPublisher(t, log, "ann")
		change := p.BuildChange(mustDiff(t, p, withdrawBaseFile))
		ctx, cancel := context.WithCancel(t.Context())
		store := &failingLog{Log: log, answerLost: sent, onAppend: cancel}
		p = newPublisher(t, store, "ann")
		store.unreadable = true
		_, err := p.Publish(ctx, change)
		if err == nil || errors.Is(err, kcconfig.ErrOutcomeUnknown) != sent {
			t.Fatalf("sent %v: error %v", sent, err)
		}
	}
}

// failingLog is a log whose appends fail. Once unreadable is set, reads fail
// too.
type failingLog struct {
	kclog.Log
	unreadable bool
	answerLost bool
	onAppend   func()
}

func (l *failingLog) Append(context.Context, string, []kclog.NewRecord) (int64, error) {
	l.onAppend()
	if l.answerLost {
		return 0, kclog.ErrAnswerLost
	}
	return 0, kclog.ErrUnavailable
}

func (l *failingLog) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (kclog.Page, error) {
	if l.unreadable {
		return kclog.Page{}, kclog.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// Guards against an invalid file that is published and then has no effect.
func TestInvalidFilesAreNotPublished(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	p := newPublisher(t, log, "ann")
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
	diff := mustDiff(t, p, `{"workspaces":{"w":{"keyHashes":[],"allow":["nosuch"]}}}`)
	if _, err := p.Publish(t.Context(), p.BuildChange(diff)); !errors.Is(err, kcconfig.ErrRejected) || log.AppendCount() != 0 {
		t.Errorf("error %v, %d appends", err, log.AppendCount())
	}
}

// Guards against readers with different settings files that accept different
// changes while the settings are rolled out.
func TestReaderSettingsDoNotAffectAcceptance(t *testing.T) {
	w := newCluster()
	w.start("a")
	other := kcconfig.NewReader(kcconfig.ReaderOptions{Clock: w.clock, Store: w.log, Base: kcrules.Rules{}})
	p, err := kcconfig.NewPublisher(t.Context(), kcconfig.PublisherOptions{Store: w.log, Clock: w.clock, Base: baseRules()})
	if err != nil {
		t.Fatal(err)
	}
	file := `{"workspaces":{"w":{"keyHashes":[],"allow":["base@1"]}}}`
	if _, err := p.Publish(t.Context(), p.BuildChange(mustDiff(t, p, file))); err != nil {
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
