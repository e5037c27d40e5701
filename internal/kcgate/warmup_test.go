package kcgate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/internal/kcwarmup"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// coldSim plays requests at many instances against upstreams in two zones.
type coldSim struct {
	rnd       *rand.Rand
	clock     *kcclock.Manual
	instances []*Upstreams
	arrivals  map[string][]kcclock.Millis
	refused   int
	// shortestWait is the least time that a refusal names.
	shortestWait kcclock.Millis
}

func newColdSim(starts map[string]kctable.ColdStart) *coldSim {
	s := &coldSim{rnd: rand.New(rand.NewPCG(7, 7)), clock: kcclock.NewManual(1_000_000), arrivals: map[string][]kcclock.Millis{}}
	zones := make(map[string]string)
	for i := range 20 {
		zones[strconv.Itoa(i)] = string(rune('a' + i%2))
	}
	for i := range 20 {
		l := NewUpstreams(s.clock, zones[strconv.Itoa(i)], map[string]string{"a": "r", "b": "r"})
		l.instance, l.intN = strconv.Itoa(i), s.rnd.IntN
		l.warmup = kcwarmup.Warmup{Instance: l.instance, Overage: 1.5, Slack: 5}
		l.SetPeerZones(zones)
		l.setColdStarts(starts)
		var list []kctable.Upstream
		for k := range 12 {
			list = append(list, kctable.Upstream{
				ID: fmt.Sprint(string(rune('a'+k%2)), k), Service: "s", Zone: string(rune('a' + k%2)), Version: "v", Slots: 32,
				StartedAtMs: 1,
			})
		}
		l.Replace(list, 0)
		s.instances = append(s.instances, l)
	}
	return s
}

// play sends perSecond requests a second for a time. Each ends after 50 ms.
func (s *coldSim) play(perSecond float64, forMs kcclock.Millis) {
	type running struct {
		l  *Upstreams
		c  *pickedUpstream
		at kcclock.Millis
	}
	var open []running
	for end := s.clock.Now() + forMs; s.clock.Now() < end; s.clock.Advance(1) {
		now := s.clock.Now()
		for i, l := range s.instances {
			if (int(now)+i)%100 == 0 {
				for k, to := range s.instances {
					if k != i {
						to.SetPeerLoad(kcload.Message{Instance: l.instance, Seq: uint64(now)})
					}
				}
			}
		}
		for len(open) > 0 && open[0].at+50 <= now {
			open[0].l.release(open[0].c, outcomeGood)
			open = open[1:]
		}
		if s.rnd.Float64() >= perSecond/1000 {
			continue
		}
		l := s.instances[s.rnd.IntN(len(s.instances))]
		w := pickCriteria{service: "s", allowsVersion: anyVersion}
		c, ok := l.pick(w)
		if !ok {
			s.refused++
			if wait := l.coldLeft(w); s.shortestWait == 0 || wait < s.shortestWait {
				s.shortestWait = wait
			}
			continue
		}
		s.arrivals[c.ID] = append(s.arrivals[c.ID], now)
		open = append(open, running{l, c, now})
	}
	for _, r := range open {
		r.l.release(r.c, outcomeGood)
	}
}

func (s *coldSim) evacuate(zone string, active bool) {
	for _, l := range s.instances {
		l.ApplyEvacuations([]kcwarmup.Evacuation{{Zone: zone, Active: active}}, false)
	}
}

// mostInSecond returns the largest number of requests that an upstream of zone a got
// in any second that begins in an interval, and their sum in the interval.
func (s *coldSim) mostInSecond(from, to kcclock.Millis) (most, sum int) {
	for id, times := range s.arrivals {
		if id[:1] != "a" {
			continue
		}
		sum += countBetween(times, from, to)
		for at := from; at+kcclock.Second <= to; at += 10 {
			most = max(most, countBetween(times, at, at+kcclock.Second))
		}
	}
	return most, sum
}

// Guards against a zone whose evacuation ends in a burst, or whose cold upstreams
// get more than their bound together, against requests that are refused although
// other zones run them, against breakers that open for cold upstreams, and against a
// zone that stays out of use when it is warm. The baseline knows no cold rates.
func TestZoneReturnsCold(t *testing.T) {
	most := map[bool]int{}
	for _, rates := range []bool{true, false} {
		var starts map[string]kctable.ColdStart
		if rates {
			starts = map[string]kctable.ColdStart{"s": {ForMs: 3000, PerSecond: 11}}
		}
		s := newColdSim(starts)
		s.play(600, 2000)
		s.evacuate("a", true)
		s.play(600, 2000)
		s.evacuate("a", false)
		back := s.clock.Now()
		s.play(600, 1000)
		s.evacuate("a", true) // overlaps the end of the one before
		s.play(600, 500)
		s.evacuate("a", false)
		again := s.clock.Now()
		s.play(600, 6000)
		first, _ := s.mostInSecond(back, again)
		second, sum := s.mostInSecond(again, again+3000)
		_, warm := s.mostInSecond(again+3500, again+5500)
		t.Logf("rates %v: at most %d and %d in a second while cold, %d requests, %d when warm, %d refused",
			rates, first, second, sum, warm, s.refused)
		most[rates] = max(first, second)
		if s.refused > 0 || rates && (sum < 6*12 || warm < 400) {
			t.Errorf("rates %v: %d refused, %d requests while cold, %d when warm", rates, s.refused, sum, warm)
		}
		for _, l := range s.instances {
			for _, u := range l.byID {
				if !u.breaker.Ready(s.clock.Now()) {
					t.Errorf("the breaker of %s is open", u.ID)
				}
			}
		}
	}
	if most[true] > 21 || most[false] <= 21 {
		t.Errorf("%d requests in a second to a cold upstream, allowed 21; %d without rates", most[true], most[false])
	}
}

// Guards against requests beyond the rate, or none at all, when only cold upstreams
// are left, and against refusals that name no time.
func TestOnlyColdUpstreamsAreLeft(t *testing.T) {
	s := newColdSim(map[string]kctable.ColdStart{"s": {ForMs: 3000, PerSecond: 11}})
	s.evacuate("b", true)
	s.evacuate("a", true)
	s.play(300, 500)
	s.refused = 0
	s.evacuate("a", false)
	back := s.clock.Now()
	s.play(300, 3000)
	most, sum := s.mostInSecond(back, back+3000)
	t.Logf("at most %d in a second, %d requests, %d refused, shortest wait %d ms", most, sum, s.refused, s.shortestWait)
	if most > 21 || sum < 6*12 || s.refused == 0 || s.shortestWait < 100 || s.shortestWait > 3000 {
		t.Errorf("at most %d in a second, %d requests, %d refused, shortest wait %d ms", most, sum, s.refused, s.shortestWait)
	}
}

// Guards against upstreams that are not taken for cold: new ones, new processes,
// those whose connections broke, those that say so; and against all upstreams of an
// instance that starts being taken for new.
func TestWhatCountsAsCold(t *testing.T) {
	clock := kcclock.NewManual(1_000_000)
	l := NewUpstreams(clock, "a", map[string]string{"a": "r"})
	l.wallClock = kcclock.NewManual(50_000_000)
	l.setColdStarts(map[string]kctable.ColdStart{"s": {ForMs: 3000, PerSecond: 11}})
	entry := func(id string, born int64, left kcclock.Millis) kctable.Upstream {
		return kctable.Upstream{ID: id, Service: "s", Zone: "a", Version: "v", Slots: 4, StartedAtMs: born, ColdLeftMs: left}
	}
	check := func(step, want string) {
		t.Helper()
		var cold []string
		for id, u := range l.byID {
			if u.warm.Cold(clock.Now()) {
				cold = append(cold, id)
			}
		}
		slices.Sort(cold)
		if got := fmt.Sprint(cold); got != want || l.ColdUpstreams() != int64(len(cold)) {
			t.Errorf("%s: cold %s, want %s", step, got, want)
		}
	}
	l.Replace([]kctable.Upstream{entry("old", 1, 0), entry("young", 49_999_000, 0), entry("says", 1, 1000)}, 0)
	check("first list", "[says young]")
	clock.Advance(1000)
	check("1 s later", "[young]")
	clock.Advance(2000)
	check("3 s later", "[]")
	l.Upsert(entry("new", 1, 0))
	l.Upsert(entry("says", 2, 0))
	check("new entries", "[new says]")
	clock.Advance(3000)
	picked := &pickedUpstream{u: l.byID["old"]}
	l.recordNotices(picked, 200, ResponseMeta{HasCold: true, ColdMs: 700})
	l.Upsert(entry("old", 1, 0)) // older than the response
	check("cold by a response", "[old]")
	clock.Advance(700)
	check("warm again", "[]")
	l.release(picked, outcomeFailed)
	l.Upsert(entry("old", 1, 0))
	check("failed", "[old]")
	clock.Advance(2000)
	l.Upsert(entry("old", 1, 0))
	check("a newer entry", "[]")
	l.setColdStarts(map[string]kctable.ColdStart{"s": {ForMs: 3000}})
	l.Upsert(entry("old", 1, 500))
	l.Upsert(entry("next", 50_000_000, 0))
	check("without a rate", "[]")
	l.setColdStarts(map[string]kctable.ColdStart{"s": {ForMs: 3000, PerSecond: 11}})
	check("with a rate that is newer than the entries", "[next]")
}

// Guards against an instance that sends to cold upstreams although it knows no list of
// instances, hears none of them or is in another region, and against one that sends nothing although it is
// the only one.
func TestInstanceWithoutPeersSendsNothingToColdUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		zones map[string]string
		hears bool
		zone  string
		want  bool
	}{
		"no list":       {nil, false, "a", false},
		"hears nobody":  {map[string]string{"p": "a"}, false, "a", false},
		"hears a peer":  {map[string]string{"p": "a"}, true, "a", true},
		"the only one":  {map[string]string{}, false, "a", true},
		"list with own": {map[string]string{"own": "a"}, false, "a", true},
		"elsewhere":     {map[string]string{"p": "a"}, true, "far", false},
	} {
		clock := kcclock.NewManual(1_000_000)
		l := NewUpstreams(clock, "a", map[string]string{"a": "r", "far": "r2"})
		l.warmup = kcwarmup.Warmup{Instance: "own", Overage: 1.5, Slack: 5}
		l.setColdStarts(map[string]kctable.ColdStart{"s": {ForMs: 3000, PerSecond: 11}})
		if c.zones != nil {
			l.SetPeerZones(c.zones)
		}
		l.Replace(nil, 0)
		l.Upsert(kctable.Upstream{ID: "u", Service: "s", Zone: c.zone, Version: "v", Slots: 4})
		clock.Advance(2900)
		if c.hears {
			l.SetPeerLoad(kcload.Message{Instance: "p", Seq: 1})
		}
		if _, ok := l.pick(pickCriteria{service: "s", allowsVersion: anyVersion}); ok != c.want {
			t.Errorf("%s: sends %v, want %v", name, ok, c.want)
		}
	}
}

// Guards against a good version that is reverted because its upstreams are slow while
// they are cold.
func TestSlowAnswersOfColdUpstreamsDoNotCount(t *testing.T) {
	o := newTestOrders(kcclock.NewManual(1_000_000))
	o.ApplyOrder(kctable.RolloutOrder{Service: "s", Target: "v2", TimeLimitMs: 60_000, Offset: 1}, true)
	c := &pickedUpstream{Upstream: kctable.Upstream{ID: "u", Version: "v2"}, cold: true}
	o.recordOutcome("s", c, "", kcrollout.Slow, true)
	o.recordOutcome("s", c, "", kcrollout.VerySlow, true)
	if r := o.TakeReports("s"); len(r) > 0 {
		t.Errorf("evidence of a cold upstream: %v", r)
	}
	o.recordOutcome("s", c, "r", kcrollout.Failure, true)
	if r := o.TakeReports("s"); len(r) != 1 {
		t.Errorf("evidence of a failure: %v", r)
	}
}
