package kcgate

import (
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kclatency"
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
		got := escalationPolicy{remainingMs: c.left, expectedMs: c.expect}.threshold()
		if got < c.low || got > c.high {
			t.Errorf("%+v: got threshold %v", c, got)
		}
	}
}

// Guards against a usual latency that follows the few requests with long waits.
func TestLatencyStatsIgnoreTail(t *testing.T) {
	u := kclatency.NewStats()
	for i := range 400 {
		v := 30.0
		if i%10 == 0 {
			v = 900
		}
		u.Observe("k", v)
	}
	if slow, known := u.IsSlow("k", 32, kclatency.EngineSlowFactor); slow || !known {
		t.Errorf("32 ms: slow %v, known %v; the usual latency is 30 ms", slow, known)
	}
	if slow, _ := u.IsSlow("k", 70, kclatency.EngineSlowFactor); !slow {
		t.Error("70 ms is not slow; the usual latency is 30 ms")
	}
	if _, known := u.IsSlow("other", 70, kclatency.EngineSlowFactor); known {
		t.Error("got a threshold without samples")
	}
}
