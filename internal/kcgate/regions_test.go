package kcgate

import (
	"fmt"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a choice outside the regions of a request, with and without a home
// of shared parts, against a home on which the instances of the two regions disagree,
// against a retry or a pause that counts upstreams which the request may not use, and
// against a version that has no upstream in these regions.
func TestUpstreamsAreChosenWithinRegions(t *testing.T) {
	clock := kcclock.NewManual(1_000_000)
	zones := map[string]string{"a": "north", "b": "north", "c": "south"}
	var all []kctable.Upstream
	for i := range 12 {
		zone := []string{"a", "b", "c", "unlisted"}[i%4]
		version := map[string]string{"c": "v1"}[zone]
		if version == "" {
			version = "v0"
		}
		id := zone + fmt.Sprint(i)
		all = append(all, kctable.Upstream{ID: id, Service: "s", Zone: zone, Version: version, Slots: 8, StartedAtMs: int64(i)})
	}
	for name, c := range map[string]struct {
		regions kctable.Regions
		version string
	}{
		"north": {kctable.NewRegions("north"), "v0"}, "south": {kctable.NewRegions("south"), "v1"},
	} {
		homes := kcset.New[string]()
		for zone := range zones {
			l := NewUpstreams(clock, zone, zones)
			l.Replace(all, 0)
			o := NewRollouts(Options{Clock: clock})
			o.decideVersion("s", "x", l.versions("s", nil))
			allows := o.decideVersion("s", "x", l.versions("s", c.regions)).allows
			w := pickCriteria{service: "s", regions: c.regions, allowsVersion: allows}
			checkPausesWithin(t, l, w)
			clock.Advance(5000)
			homes.Add(checkPicksWithin(t, l, w, name, c.version))
			w.tried = kcset.New[string]()
			for _, u := range all {
				if zones[u.Zone] == name {
					w.tried.Add(u.ID)
				}
			}
			if l.hasOther(w) {
				t.Errorf("%s at %s: an upstream elsewhere counts for a retry", name, zone)
			}
		}
		if len(homes) != 1 {
			t.Errorf("%s: homes %v", name, kcset.Sorted(homes))
		}
	}
}

func checkPausesWithin(t *testing.T, l *Upstreams, w pickCriteria) {
	t.Helper()
	w.tried, w.allowsVersion = kcset.New[string](), anyVersion
	for range 3 {
		if paused, ok := l.pick(w); ok {
			paused.u.pausedUntil = l.clock.Now() + 500
			w.tried.Add(paused.ID)
		}
	}
	l.byID["unlisted3"].pausedUntil = l.clock.Now() + 100
	if got := l.pauseLeft(w); got != 500 {
		t.Errorf("%v at %s: %d ms left of the pauses, want 500", w.regions, l.zone, got)
	}
}

// checkPicksWithin returns the upstream that gets the first prompt.
func checkPicksWithin(t *testing.T, l *Upstreams, w pickCriteria, region, version string) (home string) {
	t.Helper()
	for i := range 40 {
		w.prompt = kcprefix.Prompt{}
		if i%2 == 0 {
			w.prompt = kcprefix.Prompt{
				Tokens: 6000, MsPerToken: 1, Affinity: 8, Parts: []PromptPart{{ID: "p", Tokens: 5000}, {ID: "q", Tokens: 1000}},
			}
		}
		p, ok := l.pick(w)
		if !ok || l.regions[p.Zone] != region || p.Version != version {
			t.Fatalf("%s at %s: chose %v, %v", region, l.zone, p, ok)
		}
		if i == 0 {
			home = p.ID
		}
		l.release(p, outcomeGood)
	}
	return home
}
