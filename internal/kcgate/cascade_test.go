package kcgate

import (
	"testing"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a better answer that comes too late to be of use, and against
// a weak one that is passed on while there is time.
func TestEscalationFollowsTheTimeLeft(t *testing.T) {
	for _, c := range []struct {
		left, expect kcclock.Millis
		low, high    float64
	}{
		{left: 4000, expect: 300, low: weakBelow, high: weakBelow},
		{left: 800, expect: 800, low: hopelessBelow, high: hopelessBelow},
		{left: -500, expect: 300, low: hopelessBelow, high: hopelessBelow},
		{left: 1000, expect: 600, low: hopelessBelow + 1, high: weakBelow - 1},
	} {
		got := escalation{objectiveMs: c.left, expectMs: c.expect}.threshold()
		if got < c.low || got > c.high {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against a usual time that follows a few requests that wait long.
func TestUsualTimesIgnoreTheTail(t *testing.T) {
	u := newUsual()
	for i := range 400 {
		v := 30.0
		if i%10 == 0 {
			v = 900
		}
		u.learn("k", v)
	}
	if slow, known := u.slow("k", 32, engineSlow); slow || !known {
		t.Errorf("32 ms: slow %v, known %v; usual is 30 ms", slow, known)
	}
	if slow, _ := u.slow("k", 70, engineSlow); !slow {
		t.Error("70 ms is not slow; usual is 30 ms")
	}
	if _, known := u.slow("other", 70, engineSlow); known {
		t.Error("a threshold without values")
	}
}
