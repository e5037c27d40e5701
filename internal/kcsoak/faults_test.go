package kcsoak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

// injectFaults starts a fault every few hundred milliseconds, so that they
// overlap, and returns when all of them have ended.
func (d *soakRun) injectFaults() {
	rnd := rand.New(rand.NewPCG(d.seed, 1))
	starters := []func(rnd *rand.Rand) func(){
		d.killInstance, d.killInstance, d.stopInstance, d.stopInstance, d.pauseInstance, d.disturbStoreLink,
		d.disturbStoreLink, d.injectStoreFault, d.compactStore,
		d.injectRunnerFault, d.injectRunnerFault, d.disturbRunnerLink, d.disturbRunnerLink, d.replaceRunner, d.reloadInstance,
		d.changeConfig, d.changeConfig, d.withdrawShortKey,
	}
	var wg sync.WaitGroup
	for until := d.clock.Now() + kcclock.Millis(*faultPhaseMs); d.clock.Now() < until; {
		endFault, durationMs := starters[rnd.IntN(len(starters))](rnd), kcclock.Millis(100+rnd.IntN(2000))
		if endFault != nil {
			wg.Go(func() {
				_ = kcclock.Wait(d.ctx, d.clock, durationMs)
				endFault()
			})
		}
		_ = kcclock.Wait(d.ctx, d.clock, kcclock.Millis(rnd.IntN(400)))
	}
	wg.Wait()
}

func (d *soakRun) pickInstance(rnd *rand.Rand) *instance {
	return d.instances[rnd.IntN(len(d.instances))]
}

func (d *soakRun) killInstance(rnd *rand.Rand) func() {
	i := d.pickInstance(rnd)
	if !i.claimForStop() {
		return nil
	}
	end := i.beginFault(faultKilled)
	i.Kill()
	return func() { d.startInstance(i); end() }
}

func (d *soakRun) stopInstance(rnd *rand.Rand) func() {
	i := d.pickInstance(rnd)
	if !i.claimForStop() {
		return nil
	}
	endFault, stopStart := i.beginFault(faultStopped), time.Now()
	i.Stop()
	return func() {
		err := i.Wait()
		took := time.Since(stopStart)
		if wasPaused := i.hadFault(stopStart, time.Now(), faultPaused); err != nil || took > stopGraceMs.Duration() && !wasPaused {
			d.errorf("stop of %s: %v after %v, allowed %d ms", i.name, err, took, stopGraceMs)
		}
		d.startInstance(i)
		endFault()
	}
}

func (d *soakRun) pauseInstance(rnd *rand.Rand) func() {
	i := d.pickInstance(rnd)
	end, p := i.beginFault(faultPaused), i.Process
	p.Signal(syscall.SIGSTOP)
	return func() { p.Signal(syscall.SIGCONT); end() }
}

func (d *soakRun) reloadInstance(rnd *rand.Rand) func() {
	d.pickInstance(rnd).Signal(syscall.SIGHUP)
	return nil
}

// disturbStoreLink silences or resets the link of one instance to the store.
func (d *soakRun) disturbStoreLink(rnd *rand.Rand) func() {
	i := d.pickInstance(rnd)
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
		// What was dropped is missing in the connections.
		i.storeProxy.resetConns()
		end()
	}
}

func (d *soakRun) injectStoreFault(rnd *rand.Rand) func() {
	d.store.SetFaults([]kcplatformtest.StoreFaults{{Down: true}, {DelayMs: 300}, {LoseAnswers: true}}[rnd.IntN(3)])
	d.setStoreFaultEnd(time.Now().Add(time.Hour))
	return func() {
		d.store.SetFaults(kcplatformtest.StoreFaults{})
		d.setStoreFaultEnd(time.Now())
	}
}

func (d *soakRun) setStoreFaultEnd(end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeFaultEnd = end
}

func (d *soakRun) compactStore(*rand.Rand) func() {
	d.store.Trim()
	return nil
}

func (d *soakRun) injectRunnerFault(rnd *rand.Rand) func() {
	r := d.runners[rnd.IntN(len(d.runners))]
	r.SetFaults([]kcplatformtest.RunnerFaults{
		{Full: 0.7}, {Lost: 0.4}, {Error: 0.5}, {PauseMs: kcclock.Millis(20 + rnd.IntN(300))}, {Full: 0.3, Lost: 0.2},
	}[rnd.IntN(5)])
	return func() { r.SetFaults(kcplatformtest.RunnerFaults{}) }
}

// disturbRunnerLink disturbs the link between all instances and one runner.
func (d *soakRun) disturbRunnerLink(rnd *rand.Rand) func() {
	p := d.runnerProxies[rnd.IntN(len(d.runnerProxies))]
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

// replaceRunner lets a runner leave and come back as another one.
func (d *soakRun) replaceRunner(rnd *rand.Rand) func() {
	r := d.runners[rnd.IntN(len(d.runners))]
	r.Publish(d.store, map[string]any{"state": "draining"})
	born := rnd.IntN(1 << 30)
	return func() { r.Publish(d.store, map[string]any{"state": "ready", "born": born}) }
}

func (d *soakRun) changeConfig(*rand.Rand) func() {
	d.mu.Lock()
	withShortKey := d.keyRevokedAt.IsZero()
	d.mu.Unlock()
	d.publishConfig(withShortKey)
	return nil
}

func (d *soakRun) withdrawShortKey(*rand.Rand) func() {
	d.publishConfig(false)
	return nil
}
