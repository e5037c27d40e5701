package kcgate

import (
	"fmt"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/internal/kcwarmup"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against upstreams of an evacuated zone that get requests, are the home of
// shared prompt parts, count for a retry or make a version look as if it could run
// requests, also if their entries are written again or new; and against a zone that
// stays out when its evacuation has ended.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	l := NewUpstreams(kcclock.NewManual(1_000_000), "a", map[string]string{"a": "r", "b": "r"})
	entry := func(i int) kctable.Upstream {
		zone := string(rune('a' + i%2))
		return kctable.Upstream{ID: fmt.Sprint("e", i), Service: "s", Zone: zone, Version: "v" + zone, Slots: 4}
	}
	for i := range 12 {
		l.Upsert(entry(i))
	}
	w := pickCriteria{service: "s", allowsVersion: anyVersion}
	counts := func() map[string]int {
		got := make(map[string]int)
		for i := range 60 {
			w.prompt = kcprefix.Prompt{
				Tokens: 100, MsPerToken: 0.1, Affinity: uint64(i),
				Parts: []PromptPart{{ID: fmt.Sprint(i), Tokens: 90}, {ID: "q", Tokens: 10}},
			}
			if c, ok := l.pick(w); ok {
				got[c.Zone]++
			}
			l.Upsert(entry(i % 12))
		}
		return got
	}
	evacuate := func(zone string, active bool) {
		l.ApplyEvacuations([]kcwarmup.Evacuation{{Zone: zone, Active: active}}, false)
	}
	if got := counts(); got["a"] == 0 || got["b"] == 0 {
		t.Errorf("before: %v", got)
	}
	evacuate("a", true)
	l.Upsert(entry(12))
	v := l.versions("s", nil)
	if got := counts(); got["b"] != 60 || v.counts["va"] != 0 || v.oldestVersion != "vb" {
		t.Errorf("without zone a: %v, versions %+v", got, v)
	}
	evacuate("b", true)
	if got := counts(); len(got) > 0 || l.hasOther(w) {
		t.Errorf("without any zone: %v", got)
	}
	evacuate("a", false)
	if got := counts(); got["a"] != 60 {
		t.Errorf("after the end of one evacuation: %v", got)
	}
}
