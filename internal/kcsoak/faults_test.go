package kcsoak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

// injectFaults starts a random fault every 0 to 400 ms for faultPhaseMs. A fault
// lasts 100 to 2100 ms, so faults overlap. It returns when all have ended.
func (s *soakRun) injectFaults() {
	rnd := rand.New(rand.NewPCG(s.seed, 1))
	faultStarters := []func(rnd *rand.Rand) func(){
		s.killInstance, s.killInstance, s.stopInstance, s.stopInstance, s.pauseInstance, s.disturbStoreLink,
		s.disturbStoreLink, s.injectStoreFault, s.compactStore,
		s.injectUpstreamFault, s.injectUpstreamFault, s.disturbUpstreamLink, s.disturbUpstreamLink, s.replaceUpstream, s.reloadInstance,
		s.changeConfig, s.changeConfig, s.withdrawShortKey,
	}
	var wg sync.WaitGroup
	for until := s.clock.Now() + kcclock.Millis(*faultPhaseMs); s.clock.Now() < until; {
		endFault, durationMs := faultStarters[rnd.IntN(len(faultStarters))](rnd), kcclock.Millis(100+rnd.IntN(2000))
		if endFault != nil {
			wg.Go(func() {
				_ = kcclock.Wait(s.ctx, s.clock, durationMs)
				endFault()
			})
		}
		_ = kcclock.Wait(s.ctx, s.clock, kcclock.Millis(rnd.IntN(400)))
	}
	wg.Wait()
}

func (s *soakRun) pickInstance(rnd *rand.Rand) *instance {
	return s.instances[rnd.IntN(len(s.instances))]
}

func (s *soakRun) killInstance(rnd *rand.Rand) func() {
	i := s.pickInstance(rnd)
	if !i.markEnding() {
		return nil
	}
	end := i.beginFault(faultKilled)
	i.Kill()
	return func() { s.startInstance(i); end() }
}

func (s *soakRun) stopInstance(rnd *rand.Rand) func() {
	i := s.pickInstance(rnd)
	if !i.markEnding() {
		return nil
	}
	endFault, stopStart := i.beginFault(faultStopped), time.Now()
	i.Terminate()
	return func() {
		err := i.Wait()
		took := time.Since(stopStart)
		if wasPaused := i.hadFault(stopStart, time.Now(), faultPaused); err != nil || took > stopGraceMs.Duration() && !wasPaused {
			s.errorf("stop of %s: %v after %v, allowed %d ms", i.name, err, took, stopGraceMs)
		}
		s.startInstance(i)
		endFault()
	}
}

func (s *soakRun) pauseInstance(rnd *rand.Rand) func() {
	i := s.pickInstance(rnd)
	end, p := i.beginFault(faultPaused), i.Process
	p.Signal(syscall.SIGSTOP)
	return func() { p.Signal(syscall.SIGCONT); end() }
}

func (s *soakRun) reloadInstance(rnd *rand.Rand) func() {
	s.pickInstance(rnd).Signal(syscall.SIGHUP)
	return nil
}

// disturbStoreLink delays the traffic between one instance and the store, or
// drops it in one or both directions. It resets the connections at the end.
func (s *soakRun) disturbStoreLink(rnd *rand.Rand) func() {
	i := s.pickInstance(rnd)
	end := i.beginFault(faultStoreLink)
	switch rnd.IntN(4) {
	case 0:
		i.storeProxy.setFaults(linkFault{dropBytes: true}, linkFault{})
	case 1:
		i.storeProxy.setFaults(linkFault{}, linkFault{dropBytes: true})
	case 2:
		i.storeProxy.setFaults(linkFault{dropBytes: true}, linkFault{dropBytes: true})
	case 3:
		i.storeProxy.setFaults(linkFault{delayMs: 100}, linkFault{delayMs: 100})
	}
	return func() {
		i.storeProxy.setFaults(linkFault{}, linkFault{})
		// The connections cannot go on, because they lack the dropped bytes.
		i.storeProxy.resetConns()
		end()
	}
}

func (s *soakRun) injectStoreFault(rnd *rand.Rand) func() {
	s.store.SetFaults([]kcplatformtest.StoreFaults{{Down: true}, {DelayMs: 300}, {LoseResponses: true}}[rnd.IntN(3)])
	s.setStoreFaultEnd(time.Now().Add(time.Hour))
	return func() {
		s.store.SetFaults(kcplatformtest.StoreFaults{})
		s.setStoreFaultEnd(time.Now())
	}
}

func (s *soakRun) setStoreFaultEnd(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFaultEnd = end
}

func (s *soakRun) compactStore(*rand.Rand) func() {
	s.store.Trim()
	return nil
}

func (s *soakRun) injectUpstreamFault(rnd *rand.Rand) func() {
	u := s.upstreams[rnd.IntN(len(s.upstreams))]
	u.SetFaults([]kcplatformtest.UpstreamFaults{
		{RejectedShare: 0.7},
		{CutOffShare: 0.3, BrokenShare: 0.3},
		{ErrorShare: 0.5},
		{PauseMs: kcclock.Millis(20 + rnd.IntN(300))},
		{RejectedShare: 0.3, CutOffShare: 0.1, BrokenShare: 0.2},
	}[rnd.IntN(5)])
	return func() { u.SetFaults(kcplatformtest.UpstreamFaults{}) }
}

// disturbUpstreamLink resets the connections between all instances and one upstream,
// delays their traffic or drops it in one direction.
func (s *soakRun) disturbUpstreamLink(rnd *rand.Rand) func() {
	p := s.upstreamProxies[rnd.IntN(len(s.upstreamProxies))]
	switch rnd.IntN(4) {
	case 0:
		p.resetConns()
		return nil
	case 1:
		delay := kcclock.Millis(20 + rnd.IntN(200))
		p.setFaults(linkFault{delayMs: delay}, linkFault{delayMs: delay})
	case 2:
		p.setFaults(linkFault{dropBytes: true}, linkFault{})
	case 3:
		p.setFaults(linkFault{}, linkFault{dropBytes: true})
	}
	return func() { p.setFaults(linkFault{}, linkFault{}); p.resetConns() }
}

// replaceUpstream publishes an upstream as draining and later as ready with a new
// "born" value, as if another process had replaced it.
func (s *soakRun) replaceUpstream(rnd *rand.Rand) func() {
	u := s.upstreams[rnd.IntN(len(s.upstreams))]
	u.Publish(s.store, map[string]any{"state": "draining"})
	born := rnd.IntN(1 << 30)
	return func() { u.Publish(s.store, map[string]any{"state": "ready", "born": born}) }
}

func (s *soakRun) changeConfig(*rand.Rand) func() {
	s.mu.Lock()
	withShortKey := s.keyRevokedAt.IsZero()
	s.mu.Unlock()
	s.publishConfig(withShortKey)
	return nil
}

func (s *soakRun) withdrawShortKey(*rand.Rand) func() {
	s.publishConfig(false)
	return nil
}
