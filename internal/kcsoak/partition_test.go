package kcsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

const (
	// gatedInstances is the least number of instances, four of them in one availability
	// zone.
	gatedInstances = 6
	// cutMs is the shortest duration of a partition, cutPauseMs that of the time between
	// two. Both are up to a second longer.
	cutMs      = contactMs + 2000*kcclock.Millisecond
	cutPauseMs = 1000 * kcclock.Millisecond
	// workMs is the time that upstreams take for each response and each event, so that
	// requests are in flight when a partition begins.
	workMs = 20 * kcclock.Millisecond
	// minServedShare, freeFailures and failuresPerTry are the users' rule on first tries.
	minServedShare = 2.0 / 3
	freeFailures   = 10
	failuresPerTry = 1.0 / 50
)

// partition is a period in which some instances are cut off from all upstreams.
type partition struct {
	mode      string
	instances []*instance
	// until is the start of the next one, or the end of the requests.
	from, to, until time.Time
}

// Guards against instances that serve less than the others while they are cut off from
// all upstreams or after that, and against requests that run twice, are called not run
// or get another response on the way through a peer, beside restarts and suspensions of
// all instances.
// testdata/partitionSeeds.txt lists seeds that failed before.
func TestSoakOfPartitions(t *testing.T) {
	for _, seed := range seedsToRun(t, "testdata/partitionSeeds.txt") {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runPartitions(t, seed) })
	}
}

func runPartitions(t *testing.T, seed uint64) {
	t.Helper()
	const callers = 24
	s := newSoakRunWithoutInstances(t, seed)
	s.callersStay = true
	for _, u := range s.upstreams {
		u.SetFaults(kcplatformtest.UpstreamFaults{PauseMs: workMs})
	}
	for n := range max(gatedInstances, *instanceCount) {
		s.addInstance(n, newGate(t))
	}
	s.checkAllInstancesServe("at the start")
	ctx, stop := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() { s.sendRequests(ctx, n) })
	}
	wg.Go(func() { s.probeNewestRoute(ctx) })
	faultsCtx, stopFaults := context.WithCancel(ctx)
	faultsEnded := make(chan struct{})
	go func() { defer close(faultsEnded); s.injectFaultsBesidePartitions(faultsCtx) }()
	partitions := s.cutOffTwice()
	stopFaults()
	<-faultsEnded
	s.checkAllInstancesServe("after the partitions")
	stop()
	wg.Wait()
	s.checkAttempts()
	s.checkLeavingUpstreams()
	for _, p := range partitions {
		s.checkPartition(p)
	}
	s.saveLogsIfFailed()
}

// injectFaultsBesidePartitions starts a random fault every 0.5 to 2.5 s until ctx ends.
// It returns when all have ended.
func (s *soakRun) injectFaultsBesidePartitions(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.seed, 1))
	starters := []faultStarter{
		s.killInstance, s.stopInstance, s.stopInstance, s.pauseInstance, s.pauseInstance, s.changeConfig, s.changeConfig,
		s.withdrawShortKey, s.replaceUpstream,
	}
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		endFault, durationMs := starters[rnd.IntN(len(starters))](rnd), kcclock.Millis(100+rnd.IntN(1400))
		if endFault != nil {
			wg.Go(func() {
				_ = kcclock.Wait(s.ctx, s.clock, durationMs)
				endFault()
			})
		}
		_ = kcclock.Wait(ctx, s.clock, kcclock.Millis(500+rnd.IntN(2000)))
	}
	wg.Wait()
}

// cutOffTwice cuts instances off from all upstreams, and others after that. The first
// time, their connections do not live on.
func (s *soakRun) cutOffTwice() (list []partition) {
	rnd := rand.New(rand.NewPCG(s.seed, 2))
	for n := range 2 {
		p := partition{mode: gateModes[rnd.IntN(2+n)], instances: s.pickInstancesToCutOff(rnd), from: time.Now()}
		for _, i := range p.instances {
			i.gate.cut(p.mode)
		}
		_ = kcclock.Wait(s.ctx, s.clock, cutMs+kcclock.Millis(rnd.IntN(1000)))
		p.to = time.Now()
		for _, i := range p.instances {
			i.gate.reopen()
		}
		_ = kcclock.Wait(s.ctx, s.clock, cutPauseMs+kcclock.Millis(rnd.IntN(1000)))
		p.until = time.Now()
		list = append(list, p)
	}
	return list
}

// pickInstancesToCutOff returns some instances, all or all but one of an availability
// zone, or all instances but one.
func (s *soakRun) pickInstancesToCutOff(rnd *rand.Rand) []*instance {
	list, zone := slices.Clone(s.instances), []*instance{}
	for n, i := range s.instances {
		if n%4 < 2 {
			zone = append(zone, i) // za
		}
	}
	rnd.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	rnd.Shuffle(len(zone), func(i, k int) { zone[i], zone[k] = zone[k], zone[i] })
	return [][]*instance{list[:2], zone[1:], zone, list[1:]}[rnd.IntN(4)]
}

// firstTries counts requests, none of which is repeated by its caller.
type firstTries struct{ served, failed int }

func (f firstTries) servedShare() float64 {
	return float64(f.served) / float64(max(1, f.served+f.failed))
}

// fallsShortOf reports whether f breaks the users' rule on first tries, compared with
// those at other instances.
func (f firstTries) fallsShortOf(others firstTries) bool {
	allowed := freeFailures + failuresPerTry*float64(f.served+f.failed)
	return f.servedShare() < minServedShare*others.servedShare() && float64(f.failed) > allowed
}

// checkPartition checks that the instances that are cut off serve first tries as the
// others do, all together and each of them, from contactMs after the start of the
// partition and after its end.
func (s *soakRun) checkPartition(p partition) {
	for _, period := range []struct {
		name     string
		from, to time.Time
	}{{"during", p.from.Add(contactMs.Duration()), p.to}, {"after", p.to, p.until}} {
		counts, total := s.countFirstTries(p, period.from, period.to)
		s.t.Logf("seed %d: %s the partition of %d instances (%s): served %d and failed %d there, %d and %d at the others", s.seed,
			period.name, len(p.instances), p.mode, total[0].served, total[0].failed, total[1].served, total[1].failed)
		check := func(where string, f firstTries) {
			if f.fallsShortOf(total[1]) {
				s.errorf("%s served %d of %d first tries %s their partition (%s), the others %d of %d", where, f.served,
					f.served+f.failed, period.name, p.mode, total[1].served, total[1].served+total[1].failed)
			}
		}
		check(fmt.Sprintf("%d instances", len(p.instances)), total[0])
		for i, f := range counts {
			check(i.name, f)
		}
	}
}

// countFirstTries counts the requests that began between two times at instances in touch,
// while others were in touch too: those of each instance that was cut off, and the sums
// of these and of the others.
func (s *soakRun) countFirstTries(p partition, from, to time.Time) (counts map[*instance]firstTries, total [2]firstTries) {
	counts = make(map[*instance]firstTries)
	for _, a := range s.attempts {
		// A key that may be withdrawn says nothing about upstreams.
		if a.Start.Before(from) || !a.Start.Before(to) || a.Key == "short" || strings.HasPrefix(a.Kind, "v") {
			continue
		}
		inTouch := func(i *instance) bool { return !i.hadFault(a.Start.Add(-reconnectMs.Duration()), a.End) }
		i, group := s.instanceNamed(a.Instance), 0
		cut := slices.Contains(p.instances, i)
		if !cut {
			group = 1
		}
		if !inTouch(i) || cut && !slices.ContainsFunc(s.instances, func(o *instance) bool {
			return !slices.Contains(p.instances, o) && inTouch(o)
		}) {
			continue
		}
		f := counts[i]
		if a.Status == http.StatusOK && a.Err == nil {
			f.served, total[group].served = f.served+1, total[group].served+1
		} else {
			f.failed, total[group].failed = f.failed+1, total[group].failed+1
		}
		if cut {
			counts[i] = f
		}
	}
	return counts, total
}
