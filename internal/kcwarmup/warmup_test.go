package kcwarmup_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kclimit"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/internal/kcwarmup"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against settings and values of the configuration, sound or not, with which
// two sets of senders exceed the bound, and against a plan that uses little of it.
func TestPlanKeepsBound(t *testing.T) {
	for _, c := range []struct {
		perSecond, overage, slack float64
		listed                    int
		want                      kcwarmup.Plan
	}{
		{11, 1.5, 5, 80, kcwarmup.Plan{Senders: 10, IntervalMs: 1250}},
		{11, 1.5, 5, 7, kcwarmup.Plan{Senders: 5, IntervalMs: 625}},
		{11, 1.5, 5, 1, kcwarmup.Plan{Senders: 1, IntervalMs: 125}},
		{11, 10, 100, 80, kcwarmup.Plan{Senders: 35, IntervalMs: 3182}},
		{0.1, 1, 0, 80, kcwarmup.Plan{}},
		{0, 1.5, 5, 80, kcwarmup.Plan{}},
		{-3, 1.5, 5, 80, kcwarmup.Plan{}},
		{math.NaN(), 1, 5, 80, kcwarmup.Plan{}},
		{math.Inf(1), 0, 0, 80, kcwarmup.Plan{}},
	} {
		if got := kcwarmup.NewPlan(c.perSecond, c.overage, c.slack, c.listed); got != c.want {
			t.Errorf("%+v: %+v", c, got)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		perSecond, overage := rapid.Float64().Draw(t, "perSecond"), rapid.Float64Range(0, 1e9).Draw(t, "overage")
		slack, listed := rapid.Float64Range(0, 1e12).Draw(t, "slack"), rapid.IntRange(1, 400).Draw(t, "listed")
		p := kcwarmup.NewPlan(perSecond, overage, slack, listed)
		if p.Senders == 0 {
			return
		}
		inSecond := (kcclock.Second + p.IntervalMs - 1) / p.IntervalMs
		if bound := perSecond*overage + slack; float64(2*p.Senders)*float64(inSecond) > bound || p.Senders > listed {
			t.Errorf("%+v: two sets of senders send %d times each, allowed %v", p, inSecond, bound)
		}
	})
}

// coldLoad is a load of many instances, each of which has requests at all times, on
// one cold upstream.
type coldLoad struct {
	name string
	// lists returns the names that instance number i has on its list at a time.
	lists func(i int, at kcclock.Millis) []string
	// deafPercent of the instances hear no peer in a part of a second.
	deafPercent int
	// restartMs is the time between restarts of a tenth of the instances, 0 for none.
	restartMs kcclock.Millis
	// coldLeft returns what the entry says at a time.
	coldLeft func(at kcclock.Millis) kcclock.Millis
	// least is the least mean rate that has to be used after the first two seconds.
	least float64
}

const (
	loadInstances = 80
	loadMs        = 12 * kcclock.Second
	coldBound     = 21
)

func names(from, to int) (list []string) {
	for i := from; i < to; i++ {
		list = append(list, fmt.Sprint("i", i))
	}
	return list
}

func (c coldLoad) play(seed uint64) (arrivals []kcclock.Millis) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	services := map[string]kctable.ColdStart{"s": {ForMs: 3000, PerSecond: 11}}
	var instances [loadInstances]*kcwarmup.Warmup
	var states [loadInstances]*kcwarmup.State
	const start = kcclock.Millis(1_000_000)
	for at := kcclock.Millis(0); at < loadMs; at++ {
		now := start + at
		restart := c.restartMs > 0 && at%c.restartMs == 0
		for i := range instances {
			w := instances[i]
			fresh := w == nil
			if fresh || restart && rnd.IntN(10) == 0 {
				w = &kcwarmup.Warmup{Instance: fmt.Sprint("i", i), Overage: 1.5, Slack: 5}
				w.SetServices(services)
				instances[i], states[i] = w, &kcwarmup.State{}
				w.Observe(states[i], kcwarmup.Entry{Upstream: "u", Service: "s", ColdLeftMs: c.coldLeft(at), Fresh: true}, now)
			}
			if (at+7*kcclock.Millis(i))%250 == 0 {
				w.SetInstances(c.lists(i, at))
				w.Observe(states[i], kcwarmup.Entry{Upstream: "u", Service: "s", ColdLeftMs: c.coldLeft(at)}, now)
			}
			heard := int(at/300*7+kcclock.Millis(i*13))%100 >= c.deafPercent
			if states[i].Cold(now) && w.May(states[i], now, heard) {
				w.Take(states[i], now)
				arrivals = append(arrivals, at+kcclock.Millis(rnd.IntN(200)))
			}
		}
	}
	slices.Sort(arrivals)
	return arrivals
}

// mostInSecond returns the largest number of times in any one second.
func mostInSecond(times []kcclock.Millis) (most int) {
	first := 0
	for i, at := range times {
		for times[first] <= at-kcclock.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a cold upstream that gets more than its bound in any second, summed
// over all instances by arrival, while instances do not hear each other, have
// different lists, restart or read odd values; and against a rate so low that it
// stays cold without need.
func TestColdUpstreamKeepsItsBound(t *testing.T) {
	t.Parallel()
	all := func(int, kcclock.Millis) []string { return names(0, loadInstances) }
	own := func(i int, _ kcclock.Millis) []string { return names(i/40*40, i/40*40+40) }
	always := func(kcclock.Millis) kcclock.Millis { return 3000 }
	for _, c := range []coldLoad{
		{name: "same lists", lists: all, coldLeft: always, least: 7},
		{name: "lost reports", lists: all, coldLeft: always, deafPercent: 40, least: 3},
		{name: "half unknown to the others", coldLeft: always, least: 7, lists: func(i int, at kcclock.Millis) []string {
			if i < 40 {
				return own(i, at)
			}
			return all(i, at)
		}},
		{name: "two halves that do not know each other", lists: own, coldLeft: always, least: 14},
		{name: "restarts", lists: all, coldLeft: always, restartMs: 700, least: 4},
		{name: "changing list", coldLeft: always, least: 6, lists: func(i int, at kcclock.Millis) []string {
			return names(int(at/250), loadInstances+int(at/250))
		}},
		{name: "odd values", lists: all, coldLeft: func(at kcclock.Millis) kcclock.Millis {
			return []kcclock.Millis{3000, -5000, 1 << 50, 0, 100}[at/200%5]
		}, least: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(2) {
				arrivals := c.play(seed)
				late := slices.DeleteFunc(slices.Clone(arrivals), func(at kcclock.Millis) bool { return at < 2*kcclock.Second })
				most, rate := mostInSecond(arrivals), float64(len(late))/float64((loadMs-2*kcclock.Second)/kcclock.Second)
				t.Logf("seed %d: at most %d in a second, %.1f a second", seed, most, rate)
				if most > coldBound || rate < c.least {
					t.Errorf("seed %d: %d in a second, allowed %d; %.1f a second, want at least %.1f", seed, most, coldBound, rate, c.least)
				}
			}
		})
	}
	most := mostInSecond(limitUnderPartition())
	t.Logf("baseline, senders among live instances: at most %d in a second in two halves", most)
	if most <= coldBound {
		t.Errorf("the baseline keeps the bound with %d in a second", most)
	}
}

// limitUnderPartition plays the limit that an upstream names itself, whose senders
// are chosen from the live instances, in two halves that do not hear each other.
func limitUnderPartition() (arrivals []kcclock.Millis) {
	var limits [loadInstances]kclimit.Upstream
	var shares [loadInstances]float64
	for i := range limits {
		var live []kclimit.Sender
		for _, name := range names(i/40*40, i/40*40+40) {
			if name != fmt.Sprint("i", i) {
				live = append(live, kclimit.Sender{Instance: name})
			}
		}
		limits[i].PerSecond = kclimit.NoLimit
		limits[i].Set(11, 1, 1)
		shares[i] = kclimit.SenderShare("u", 11, kclimit.Sender{Instance: fmt.Sprint("i", i)}, live)
	}
	for at := kcclock.Millis(1); at < loadMs; at++ {
		for i := range limits {
			if limits[i].Has(at, shares[i]) {
				limits[i].Take(at, shares[i])
				arrivals = append(arrivals, at)
			}
		}
	}
	return arrivals
}

// BenchmarkMay measures the decision for one cold upstream, with the list of instances
// unchanged and changed before each decision, and for a warm upstream as the baseline.
func BenchmarkMay(b *testing.B) {
	for _, listed := range []int{80, 300} {
		for _, c := range []string{"warm", "cold", "changedList"} {
			b.Run(fmt.Sprint(c, listed, "instances"), func(b *testing.B) {
				w := &kcwarmup.Warmup{Instance: "i0", Overage: 1.5, Slack: 5}
				w.SetServices(map[string]kctable.ColdStart{"s": {ForMs: 3000, PerSecond: 11}})
				lists := [][]string{names(0, listed), names(0, listed-1)}
				w.SetInstances(lists[0])
				s := &kcwarmup.State{}
				if c != "warm" {
					w.Observe(s, kcwarmup.Entry{Upstream: "u", Service: "s", Fresh: true}, 1000)
				}
				for i := 0; b.Loop(); i++ {
					if c == "changedList" {
						b.StopTimer()
						w.SetInstances(lists[i%2])
						b.StartTimer()
					}
					w.May(s, 1001, true)
				}
			})
		}
	}
}
