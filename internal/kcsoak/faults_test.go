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
func (d *day) injectFaults() {
	rnd := rand.New(rand.NewPCG(d.seed, 1))
	faults := []func(rnd *rand.Rand) func(){
		d.kill, d.kill, d.stop, d.stop, d.pause, d.cutStore, d.cutStore, d.storeFault, d.trim,
		d.runnerFault, d.runnerFault, d.linkFault, d.linkFault, d.replaceRunner, d.reload, d.change, d.change, d.revoke,
	}
	var wg sync.WaitGroup
	for until := d.clock.Now() + kcclock.Millis(*dayMs); d.clock.Now() < until; {
		end, after := faults[rnd.IntN(len(faults))](rnd), kcclock.Millis(100+rnd.IntN(2000))
		if end != nil {
			wg.Go(func() {
				_ = kcclock.Wait(d.ctx, d.clock, after)
				end()
			})
		}
		_ = kcclock.Wait(d.ctx, d.clock, kcclock.Millis(rnd.IntN(400)))
	}
	wg.Wait()
}

func (d *day) pick(rnd *rand.Rand) *instance { return d.all[rnd.IntN(len(d.all))] }

func (d *day) kill(rnd *rand.Rand) func() {
	i := d.pick(rnd)
	if !i.take() {
		return nil
	}
	end := i.strike(killed)
	i.Kill()
	return func() { d.start(i); end() }
}

func (d *day) stop(rnd *rand.Rand) func() {
	i := d.pick(rnd)
	if !i.take() {
		return nil
	}
	end, began := i.strike(stopped), time.Now()
	i.Stop()
	return func() {
		err := i.Wait()
		took := time.Since(began)
		if paused := i.struck(began, time.Now(), paused); err != nil || took > graceMs.Duration() && !paused {
			d.errorf("stop of %s: %v after %v, allowed %d ms", i.name, err, took, graceMs)
		}
		d.start(i)
		end()
	}
}

func (d *day) pause(rnd *rand.Rand) func() {
	i := d.pick(rnd)
	end, p := i.strike(paused), i.Process
	p.Signal(syscall.SIGSTOP)
	return func() { p.Signal(syscall.SIGCONT); end() }
}

func (d *day) reload(rnd *rand.Rand) func() {
	d.pick(rnd).Signal(syscall.SIGHUP)
	return nil
}

// cutStore silences or resets the link of one instance to the store.
func (d *day) cutStore(rnd *rand.Rand) func() {
	i := d.pick(rnd)
	end := i.strike(cut)
	switch rnd.IntN(4) {
	case 0:
		i.store.set(link{silent: true}, link{})
	case 1:
		i.store.set(link{}, link{silent: true})
	case 2:
		i.store.set(link{silent: true}, link{silent: true})
	case 3:
		i.store.set(link{delayMs: 100}, link{delayMs: 100})
	}
	return func() {
		i.store.set(link{}, link{})
		// What was dropped is missing in the connections.
		i.store.reset()
		end()
	}
}

func (d *day) storeFault(rnd *rand.Rand) func() {
	d.store.SetFaults([]kcplatformtest.StoreFaults{{Down: true}, {DelayMs: 300}, {LoseResponses: true}}[rnd.IntN(3)])
	d.strikeStore(time.Now().Add(time.Hour))
	return func() {
		d.store.SetFaults(kcplatformtest.StoreFaults{})
		d.strikeStore(time.Now())
	}
}

func (d *day) strikeStore(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeStruck = until
}

func (d *day) trim(*rand.Rand) func() {
	d.store.Trim()
	return nil
}

func (d *day) runnerFault(rnd *rand.Rand) func() {
	r := d.runners[rnd.IntN(len(d.runners))]
	r.SetFaults([]kcplatformtest.UpstreamFaults{
		{RejectedShare: 0.7},
		{CutOffShare: 0.4},
		{ErrorShare: 0.5},
		{PauseMs: kcclock.Millis(20 + rnd.IntN(300))},
		{RejectedShare: 0.3, CutOffShare: 0.2},
	}[rnd.IntN(5)])
	return func() { r.SetFaults(kcplatformtest.UpstreamFaults{}) }
}

// linkFault disturbs the link between all instances and one runner.
func (d *day) linkFault(rnd *rand.Rand) func() {
	p := d.links[rnd.IntN(len(d.links))]
	switch rnd.IntN(4) {
	case 0:
		p.reset()
		return nil
	case 1:
		delay := kcclock.Millis(20 + rnd.IntN(200))
		p.set(link{delayMs: delay}, link{delayMs: delay})
	case 2:
		p.set(link{silent: true}, link{})
	case 3:
		p.set(link{}, link{silent: true})
	}
	return func() { p.set(link{}, link{}); p.reset() }
}

// replaceRunner lets a runner leave and come back as another one.
func (d *day) replaceRunner(rnd *rand.Rand) func() {
	r := d.runners[rnd.IntN(len(d.runners))]
	r.Publish(d.store, map[string]any{"state": "draining"})
	born := rnd.IntN(1 << 30)
	return func() { r.Publish(d.store, map[string]any{"state": "ready", "born": born}) }
}

func (d *day) change(*rand.Rand) func() {
	d.mu.Lock()
	short := d.revokedAt.IsZero()
	d.mu.Unlock()
	d.configure(short)
	return nil
}

func (d *day) revoke(*rand.Rand) func() {
	d.configure(false)
	return nil
}
