package kclease_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kclease"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	duration  = 1000
	maxDelay  = 300
	retention = 5000
	instances = 3
)

// skewed is the clock of an instance that does not show the time of the log.
type skewed struct {
	*kcclock.Manual
	offset kcclock.Millis
}

func (s skewed) Now() kcclock.Millis { return s.Manual.Now() + s.offset }

// effect is an order that an engine carried out.
type effect struct {
	fence int64
	at    kcclock.Millis
}

// pending is an order whose holder was paused after its last check.
type pending struct {
	fence   int64
	ignores bool
	latest  kcclock.Millis
}

type world struct {
	clock   *kcclock.Manual
	log     *kcstandin.ScriptedLog
	keepers [instances]*kclease.Manager
	leases  [instances]kclease.Lease
	paused  []pending
	// fence is the highest number that the engine that checks it has seen.
	fence int64
	// effects are those of an engine that checks and one that does not.
	effects [2][]effect
}

func newWorld() *world {
	w := &world{clock: kcclock.NewManual(1_000_000), fence: -1}
	w.log = kcstandin.NewScriptedLog(w.clock, retention)
	for i := range instances {
		w.restart(i)
	}
	return w
}

func (w *world) clockOf(i int) kcclock.Clock {
	return skewed{w.clock, kcclock.Millis(i-1) * 50_000}
}

func (w *world) restart(i int) {
	w.leases[i] = kclease.Lease{}
	w.keepers[i] = kclease.NewManager(kclease.ManagerOptions{
		Log: w.log, Clock: w.clockOf(i), Instance: fmt.Sprint("i", i), DurationMs: duration,
		MaxOrderDelayMs: maxDelay, BackoffMs: -1,
	})
}

// send carries an order to an engine. One that ignores fencing numbers acts
// after the delay.
func (w *world) send(p pending, delay kcclock.Millis) {
	if p.ignores {
		w.effects[1] = append(w.effects[1], effect{p.fence, w.clock.Now() + delay})
		return
	}
	if p.fence >= w.fence {
		w.fence = p.fence
		w.effects[0] = append(w.effects[0], effect{p.fence, w.clock.Now()})
	}
}

// Guards against orders of two holders that interleave at an engine, whether
// it checks fencing numbers or not, and against two holders at one time, in
// any order of lost answers, delays, duplicates, trims, outages, pauses and
// restarts, with clocks that differ by 50 s.
func TestLeaseOrdersDoNotInterleave(t *testing.T) {
	faults := rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "ok", "ok", "refuse", "lose", "delay", "duplicate"}), 0, 6)
	rapid.Check(t, func(t *rapid.T) {
		w, ctx := newWorld(), context.Background()
		instance := rapid.IntRange(0, instances-1)
		faulty := func(t *rapid.T, f func(i int)) {
			i := instance.Draw(t, "instance")
			w.log.Script(faults.Draw(t, "faults")...)
			f(i)
			w.log.Script()
			w.log.BeforeAppend(nil)
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				rival := rapid.Bool().Draw(t, "rival")
				faulty(t, func(i int) {
					if rival {
						w.log.BeforeAppend(func() {
							other := (i + 1) % instances
							if l, err := w.keepers[other].Acquire(ctx, "r"); err == nil {
								w.leases[other] = l
							}
						})
					}
					if l, err := w.keepers[i].Acquire(ctx, "r"); err == nil {
						w.leases[i] = l
					}
				})
			},
			"renew":    func(t *rapid.T) { faulty(t, func(i int) { _ = w.keepers[i].Renew(ctx, &w.leases[i]) }) },
			"release":  func(t *rapid.T) { faulty(t, func(i int) { _ = w.keepers[i].Release(ctx, &w.leases[i]) }) },
			"snapshot": func(t *rapid.T) { faulty(t, func(i int) { _ = w.keepers[i].AppendSnapshot(ctx, 1000) }) },
			"restart":  func(t *rapid.T) { w.restart(instance.Draw(t, "instance")) },
			"deliver":  func(*rapid.T) { w.log.Deliver() },
			"outage":   func(t *rapid.T) { w.log.SetDown(rapid.Bool().Draw(t, "down")) },
			"order": func(t *rapid.T) {
				i, ignores := instance.Draw(t, "instance"), rapid.Bool().Draw(t, "ignores")
				if l := w.leases[i]; l.MaySend(w.clockOf(i).Now(), ignores) {
					p := pending{fence: l.Fence, ignores: ignores, latest: w.clock.Now() + maxDelay}
					if rapid.Bool().Draw(t, "pause") {
						w.paused = append(w.paused, p)
						return
					}
					w.send(p, rapid.SampledFrom([]kcclock.Millis{0, maxDelay}).Draw(t, "delay"))
				}
			},
			"resume": func(*rapid.T) { w.resume(true) },
			"advance": func(t *rapid.T) {
				w.clock.Advance(rapid.SampledFrom([]kcclock.Millis{10, 50, 290, 700, 950, 1000}).Draw(t, "time"))
				w.resume(false)
				w.log.Trim()
			},
			"": func(t *rapid.T) { w.check(t) },
		})
	})
}

// resume sends the orders of paused holders. An engine that ignores fencing
// numbers gets them within the largest delay, another one at any time.
func (w *world) resume(all bool) {
	w.paused = slices.DeleteFunc(w.paused, func(p pending) bool {
		if p.ignores && w.clock.Now() > p.latest {
			w.effects[1] = append(w.effects[1], effect{p.fence, p.latest})
			return true
		}
		if all {
			w.send(p, 0)
		}
		return all
	})
}

func (w *world) check(t *rapid.T) {
	holders := 0
	for i, l := range w.leases {
		if l.MaySend(w.clockOf(i).Now(), false) {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d holders at one time: %+v", holders, w.leases)
	}
	for engine, effects := range w.effects {
		sorted := slices.Clone(effects)
		slices.SortStableFunc(sorted, func(a, b effect) int { return cmp.Compare(a.at, b.at) })
		if !slices.IsSortedFunc(sorted, func(a, b effect) int { return cmp.Compare(a.fence, b.fence) }) {
			t.Fatalf("engine %d carried out orders in the order %+v", engine, sorted)
		}
	}
}

// Guards against a lease that cannot be acquired at all, which the property
// above would not notice, and against one that outlives its holder for ever.
func TestLeaseMovesOn(t *testing.T) {
	w, ctx := newWorld(), t.Context()
	if _, err := w.keepers[0].Acquire(ctx, "r"); err != nil {
		t.Fatal(err)
	}
	if _, err := w.keepers[1].Acquire(ctx, "r"); !errors.Is(err, kclease.ErrHeld) {
		t.Fatalf("error %v, want ErrHeld", err)
	}
	w.clock.Advance(duration)
	l, err := w.keepers[1].Acquire(ctx, "r")
	if err != nil {
		t.Fatal(err)
	}
	if now := w.clockOf(1).Now(); l.MaySend(now, true) || !l.MaySend(now, false) || !l.MaySend(now+maxDelay+15, true) {
		t.Fatalf("lease %+v at %d", l, now)
	}
	if err := w.keepers[1].Release(ctx, &l); err != nil {
		t.Fatal(err)
	}
	w.log.Script("ok", "ok", "lose")
	if _, err := w.keepers[2].Acquire(ctx, "r"); err != nil {
		t.Fatalf("after a release and with a lost answer: %v", err)
	}
}

// Guards against a reader without state that takes a trimmed lease for none,
// and against one that never starts although a snapshot covers the trim.
func TestLeaseHistoryFromSnapshot(t *testing.T) {
	w, ctx := newWorld(), t.Context()
	l, err := w.keepers[0].Acquire(ctx, "r")
	if err != nil {
		t.Fatal(err)
	}
	for range 7 {
		w.clock.Advance(900)
		w.log.Trim()
		if err := w.keepers[0].Renew(ctx, &l); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.keepers[1].Acquire(ctx, "r"); !errors.Is(err, kclease.ErrHistoryUnknown) {
		t.Fatalf("error %v, want ErrHistory", err)
	}
	if err := w.keepers[0].AppendSnapshot(ctx, 1000); err != nil {
		t.Fatal(err)
	}
	if _, err := w.keepers[1].Acquire(ctx, "r"); !errors.Is(err, kclease.ErrHeld) {
		t.Fatalf("error %v, want ErrHeld", err)
	}
}
