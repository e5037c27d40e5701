package kcwarmup_test

import (
	"reflect"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcwarmup"
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
		records   []kcwarmup.Evacuation
		snapshot  bool
		changes   []kcwarmup.Evacuation
		evacuated bool
	}{
		{[]kcwarmup.Evacuation{off}, true, nil, false},
		{[]kcwarmup.Evacuation{on}, false, []kcwarmup.Evacuation{on}, true},
		{[]kcwarmup.Evacuation{on}, false, nil, true},
		{[]kcwarmup.Evacuation{on, other}, true, []kcwarmup.Evacuation{other}, true},
		{[]kcwarmup.Evacuation{off}, false, []kcwarmup.Evacuation{off}, false},
		{[]kcwarmup.Evacuation{off}, false, nil, false},
		{[]kcwarmup.Evacuation{other}, true, nil, false},
		{[]kcwarmup.Evacuation{on, off, on}, false, []kcwarmup.Evacuation{on, off, on}, true},
		{[]kcwarmup.Evacuation{off, on}, false, []kcwarmup.Evacuation{off, on}, true},
		{nil, true, []kcwarmup.Evacuation{off, {Zone: "b"}}, false},
	} {
		changes := z.Apply(step.records, step.snapshot)
		if !reflect.DeepEqual(changes, step.changes) || z.Evacuated("a") != step.evacuated {
			t.Errorf("step %d: changes %v, evacuated %v", i, changes, z.Evacuated("a"))
		}
	}
}
