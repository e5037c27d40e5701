package kcadmit

import (
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// idleEngines is a room without a shortage in which one long prompt is prefilled.
var idleEngines = kcroom.Room{
	Upstreams: 100, Slots: 1600, Busy: 400, Free: 1200, Queueable: 3000, HoldMs: 2000, PrefillMs: 96, AgeMs: 100,
}

func promptRequest(left int) Request {
	r := Request{Workspace: "w", Kind: "plan", CostMs: 96, Prompt: true, DeadlineAt: 21_000}
	r.ObjectiveMs = 2000
	r.ObjectiveAt = kcclock.Millis(1000 + left)
	return r
}

// Guards against a caller whose slow upload has used up its objective, after which the
// requests of all others are held although there is no shortage.
func TestSlowUploadDoesNotShortenObjective(t *testing.T) {
	c := New(Options{})
	c.SetSenders(40)
	c.Enter(1000, promptRequest(10), idleEngines)
	for range 50 {
		if x := c.Enter(1001, promptRequest(2000), idleEngines); x.Decision != Admitted || x.Reason != ReasonCalm {
			t.Fatalf("%v, %s, pressure %v", x.Decision, x.Reason, x.Pressure)
		}
	}
}

// Guards against a request without a prompt after which an engine service counts as a
// plain one, so that the prefill no longer counts.
func TestRequestWithoutPromptKeepsKindOfService(t *testing.T) {
	c := New(Options{})
	c.SetSenders(40)
	busy := idleEngines
	busy.PrefillMs = 4000
	c.Enter(1000, promptRequest(2000), busy)
	before := c.Pressure()
	r := promptRequest(2000)
	r.Prompt = false
	c.Enter(1001, r, busy)
	if after := c.Pressure(); before < 1 || after < before {
		t.Errorf("pressure %v, %v after a request without a prompt", before, after)
	}
}

// Guards against rejections from an outage that slow down all callers once the
// upstreams are back.
func TestRejectionsEndWithOutage(t *testing.T) {
	c := New(Options{})
	c.SetSenders(40)
	r := promptRequest(2000)
	for range 100 {
		c.Enter(1000, r, kcroom.Room{})
		again := r
		again.Again = true
		c.Refuse(1000, again, kcroom.Room{}, ReasonShortage)
	}
	if x := c.Enter(1010, r, idleEngines); x.Decision != Admitted || x.Pressure > 0.2 {
		t.Errorf("%v, %s, pressure %v", x.Decision, x.Reason, x.Pressure)
	}
}
