package kcgate

import (
	"testing"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a better answer that comes too late to be of use, and against
// a weak one that is passed on while there is time.
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
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against a usual time that follows a few requests that wait long.
func TestLatencyStatsIgnoreTail(t *testing.T) {
	u := newLatencyStats()
	for i := range 400 {
		v := 30.0
		if i%10 == 0 {
			v = 900
		}
		u.observe("k", v)
	}
	if slow, known := u.isSlow("k", 32, engineSlowFactor); slow || !known {
		t.Errorf("32 ms: slow %v, known %v; usual is 30 ms", slow, known)
	}
	if slow, _ := u.isSlow("k", 70, engineSlowFactor); !slow {
		t.Error("70 ms is not slow; usual is 30 ms")
	}
	if _, known := u.isSlow("other", 70, engineSlowFactor); known {
		t.Error("a threshold without values")
	}
}
