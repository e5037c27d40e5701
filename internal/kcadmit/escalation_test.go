package kcadmit

import (
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against an escalation whose better answer comes too late to be useful,
// and against a low-confidence answer that is forwarded although there is time to
// escalate.
func TestEscalationThresholdFollowsRemainingTime(t *testing.T) {
	for _, c := range []struct {
		left, expect kcclock.Millis
		low, high    float64
	}{
		{left: 4000, expect: 300, low: escalateBelow, high: escalateBelow},
		{left: 800, expect: 800, low: escalateLateBelow, high: escalateLateBelow},
		{left: -500, expect: 300, low: escalateLateBelow, high: escalateLateBelow},
		{left: 1000, expect: 600, low: escalateLateBelow + 1, high: escalateBelow - 1},
	} {
		got := Escalation{RemainingMs: c.left, ExpectedMs: c.expect, Share: 1}.Threshold()
		if got < c.low || got > c.high {
			t.Errorf("%+v: got threshold %v", c, got)
		}
	}
}

// Guards against escalations that take engine time from requests that would have to
// be held, against a threshold that jumps, and against one that changes in calm.
func TestEscalationYieldsBeforeRequestsAreHeld(t *testing.T) {
	c := New(Options{})
	r := Request{Kind: "k", Prompt: true, CostMs: 10, ObjectiveAt: 3000, DeadlineAt: 20_000}
	last := 1.0
	for busy := 0; busy <= 3000; busy += 5 {
		room := kcroom.Room{Upstreams: 20, Slots: 320, Busy: busy, Queueable: max(800-max(busy-320, 0), 0), HoldMs: 2000}
		held := c.Enter(0, r, room).Decision == Held
		share := c.EscalationShare()
		if busy <= 320 && share != 1 {
			t.Fatalf("%d of 320 slots are busy: share %v, want 1", busy, share)
		}
		if share > last || last-share > 0.1 {
			t.Fatalf("%d requests: the share changes from %v to %v", busy, last, share)
		}
		if held && share > 0 {
			t.Fatalf("%d requests: held although escalations still have a share of %v", busy, share)
		}
		last = share
	}
	if last != 0 {
		t.Errorf("share %v with full upstreams, want 0", last)
	}
}
