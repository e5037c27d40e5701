package kcgate

import "testing"

// Guards against a usual latency that follows the few requests with long waits.
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
		t.Errorf("32 ms: slow %v, known %v; the usual latency is 30 ms", slow, known)
	}
	if slow, _ := u.isSlow("k", 70, engineSlowFactor); !slow {
		t.Error("70 ms is not slow; the usual latency is 30 ms")
	}
	if _, known := u.isSlow("other", 70, engineSlowFactor); known {
		t.Error("got a threshold without samples")
	}
}
