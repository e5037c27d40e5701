package kcgate

import (
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kclatency"
)

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
