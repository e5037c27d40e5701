package kcwarmup_test

import (
	"reflect"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcwarmup"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against an evacuation that is lost or not ended by a snapshot, by a repeated
// record or by a new evacuation that follows the end of the one before, and against
// an end that is taken for a new one when it is read again: the upstreams of the zone
// would stay cold.
func TestZonesFollowRecords(t *testing.T) {
	var z kcwarmup.Zones
	on, off := kcwarmup.Evacuation{Zone: "a", Active: true}, kcwarmup.Evacuation{Zone: "a"}
	other := kcwarmup.Evacuation{Zone: "b", Active: true}
	for i, step := range []struct {
		records    []kcwarmup.Evacuation
		snapshot   bool
		changes    []kcwarmup.Evacuation
		evacuated  bool
		returnedAt int
	}{
		{[]kcwarmup.Evacuation{off}, true, nil, false, 0},
		{[]kcwarmup.Evacuation{on}, false, []kcwarmup.Evacuation{on}, true, 0},
		{[]kcwarmup.Evacuation{on}, false, nil, true, 0},
		{[]kcwarmup.Evacuation{on, other}, true, []kcwarmup.Evacuation{other}, true, 0},
		{[]kcwarmup.Evacuation{off}, false, []kcwarmup.Evacuation{off}, false, 104},
		{[]kcwarmup.Evacuation{off}, false, nil, false, 104},
		{[]kcwarmup.Evacuation{other}, true, nil, false, 104},
		{[]kcwarmup.Evacuation{on, off, on}, false, []kcwarmup.Evacuation{on, off, on}, true, 0},
		{[]kcwarmup.Evacuation{off, on}, false, []kcwarmup.Evacuation{off, on}, true, 0},
		{nil, true, []kcwarmup.Evacuation{off, {Zone: "b"}}, false, 109},
	} {
		changes := z.Apply(step.records, step.snapshot, kcclock.Millis(100+i))
		at, _ := z.ReturnedAt("a")
		if !reflect.DeepEqual(changes, step.changes) || z.Evacuated("a") != step.evacuated || at != kcclock.Millis(step.returnedAt) {
			t.Errorf("step %d: changes %v, evacuated %v, returned at %d", i, changes, z.Evacuated("a"), at)
		}
	}
}
