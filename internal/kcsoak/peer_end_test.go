package kcsoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

const (
	// cutInstances is the number of instances that are cut off from all upstreams,
	// passingInstances the least number of those that pass their connections on.
	cutInstances     = 2
	passingInstances = 3
	// peerEnds is the number of times that a fault begins at the latter.
	peerEnds = 8
	// longEventMs is the pause between two events, longHalfMs and quietHalfMs are those in
	// the middle of another response: most responses are under way when a peer ends. A
	// peer that stops may take a connection for idle in the longer one.
	longEventMs = 80 * kcclock.Millisecond
	longHalfMs  = 800 * kcclock.Millisecond
	quietHalfMs = 2000 * kcclock.Millisecond
	// detourMs is the time after the start of a partition in which all requests are served
	// through peers.
	detourMs = 2000 * kcclock.Millisecond
)

// Guards against responses without framing that end with a peer on their way and look
// whole.
// testdata/peerEndSeeds.txt lists seeds that failed before.
func TestSoakOfPeersThatEnd(t *testing.T) {
	t.Parallel()
	for _, seed := range seedsToRun(t, "testdata/peerEndSeeds.txt") {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runPeerEnds(t, seed, upgrade{End: endPassing, Unframed: 4})
		})
	}
}

func runPeerEnds(t *testing.T, seed uint64, up upgrade) {
	t.Helper()
	const callers = 24
	s := newSoakRunWithoutInstances(t, seed)
	rnd := rand.New(rand.NewPCG(seed, 3))
	for n := range max(cutInstances+passingInstances, *instanceCount) {
		s.addInstanceOf(n, newGate(t), up.buildOf(n), up.Restart)
	}
	s.checkAllInstancesServe("at the start")
	half := []kcclock.Millis{longHalfMs, quietHalfMs}[rnd.IntN(2)]
	s.slowUpstreams(half, up.Unframed)
	ctx, stop := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() { s.sendToCutInstances(ctx, n) })
	}
	p := partition{instances: s.instances[:cutInstances]}
	for _, i := range p.instances {
		i.gate.cut(gateModes[rnd.IntN(2)])
	}
	p.from = time.Now()
	_ = kcclock.Wait(s.ctx, s.clock, detourMs)
	var framed []faultPeriod
	if up.Framed {
		framed = append(framed, s.serveFramed("before the ends"))
		s.slowUpstreams(half, up.Unframed)
	}
	from := time.Now()
	s.endPeers(rnd, up.End)
	to := time.Now()
	if up.Framed {
		framed = append(framed, s.serveFramed("cut off after the ends"))
	}
	p.to = time.Now()
	for _, i := range p.instances {
		i.gate.reopen()
	}
	stop()
	wg.Wait()
	for _, u := range s.upstreams {
		u.SetFaults(kcplatformtest.UpstreamFaults{})
	}
	s.checkAllInstancesServe("after the ends")
	s.checkOutcomes(p)
	for _, period := range framed {
		s.checkFramed(period)
	}
	if up.Framed {
		s.checkServedAlike(s.countAnswers(from, to, up.Unframed), up)
	}
	s.saveLogsIfFailed()
}

// slowUpstreams makes responses long and the first upstreams respond without framing.
func (s *soakRun) slowUpstreams(halfwayPauseMs kcclock.Millis, unframed int) {
	for n, u := range s.upstreams {
		u.SetFaults(kcplatformtest.UpstreamFaults{Unframed: n < unframed, PauseMs: longEventMs, HalfwayPauseMs: halfwayPauseMs})
	}
}

// endPeers kills, stops and suspends instances, one after the other or two at a time,
// and starts them again. which tells the instances, as upgrade.End does.
func (s *soakRun) endPeers(rnd *rand.Rand, which string) {
	var wg sync.WaitGroup
	peers := s.instances[cutInstances:]
	if which == endAll {
		peers = s.instances
	}
	for range peerEnds {
		if which == endNone {
			_ = kcclock.Wait(s.ctx, s.clock, kcclock.Millis(800+rnd.IntN(800)))
			continue
		}
		for range 1 + rnd.IntN(8)/7 {
			only := &soakRun{t: s.t, seed: s.seed, instances: peers, ctx: s.ctx}
			faults := []faultStarter{only.killInstance, only.killInstance, only.stopInstance, only.stopInstance, only.pauseInstance}
			end, durationMs := faults[rnd.IntN(len(faults))](rnd), kcclock.Millis(100+rnd.IntN(400))
			if end == nil {
				continue
			}
			wg.Go(func() {
				_ = kcclock.Wait(s.ctx, s.clock, durationMs)
				end()
			})
		}
		_ = kcclock.Wait(s.ctx, s.clock, kcclock.Millis(800+rnd.IntN(800)))
	}
	wg.Wait()
}

// sendToCutInstances sends requests to the instances that are cut off until ctx ends.
func (s *soakRun) sendToCutInstances(ctx context.Context, n int) {
	kinds := []string{kcplatformtest.KindNonIdempotent, kcplatformtest.KindIdempotent, kcplatformtest.KindStreaming}
	at := s.instances[n%cutInstances]
	c := kcplatformtest.NewCaller(callerTimeoutMs)
	defer c.Close()
	for i := 0; ctx.Err() == nil; i++ {
		a := c.Send(s.ctx, at.name, at.frontAddr, kinds[(n/cutInstances+i)%len(kinds)], "long", strconv.Itoa(n)+"-"+strconv.Itoa(i))
		if s.recordAttempt(a); a.Status != http.StatusOK {
			_ = kcclock.Wait(ctx, s.clock, 100)
		}
	}
}

// checkOutcomes checks what callers have got.
func (s *soakRun) checkOutcomes(p partition) {
	runs := make(map[string]int)
	for _, u := range s.upstreams {
		for id, n := range u.RunCounts() {
			runs[id] += n
		}
	}
	whole, short, excused := 0, 0, 0
	byStatus := make(map[int]int)
	for _, a := range s.attempts {
		byStatus[a.Status]++
		mayBeShort := a.Mismatch != "" && endsEarly(a) && s.mayLookWhole(a, p)
		if mayBeShort {
			a.Mismatch, excused = "", excused+1
		}
		violations := s.violationsOf(a, runs[a.ID])
		switch {
		case len(violations) > 0 && a.Mismatch != "":
			short++
			fallthrough
		case len(violations) > 0:
			s.errorf("%v: %s (%s) to %s at %s: status %d, %d runs, %v", violations, a.ID, a.Kind, a.Instance,
				a.Start.Format("15:04:05.000"), a.Status, runs[a.ID], a.Err)
		case a.Status == http.StatusOK && a.Err == nil && !mayBeShort:
			whole++
		}
	}
	s.t.Logf("seed %d: %d requests, %d whole, %d short and told as whole, %d such by earlier builds alone, by status: %v", s.seed,
		len(s.attempts), whole, short, excused, byStatus)
}
