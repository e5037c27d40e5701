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
	leaseMs         = 1000
	maxOrderDelayMs = 300
	logRetentionMs  = 5000
	instanceCount   = 3
)

// skewedClock is the clock of an instance with an offset to the log time.
type skewedClock struct {
	*kcclock.Manual
	offset kcclock.Millis
}

func (s skewedClock) Now() kcclock.Millis { return s.Manual.Now() + s.offset }

// appliedOrder is an order that an engine has applied.
type appliedOrder struct {
	fence int64
	at    kcclock.Millis
}

// pausedOrder is an order whose sender was paused between its last lease check
// and the send.
type pausedOrder struct {
	fence          int64
	ignoresFence   bool
	latestEffectAt kcclock.Millis
}

type testCluster struct {
	clock        *kcclock.Manual
	log          *kcstandin.ScriptedLog
	managers     [instanceCount]*kclease.Manager
	leases       [instanceCount]kclease.Lease
	pausedOrders []pausedOrder
	// highestFence is the highest fencing token that the checking engine has seen.
	highestFence int64
	// appliedOrders are those of an engine that checks fencing tokens and of one
	// that ignores them.
	appliedOrders [2][]appliedOrder
}

func newTestCluster() *testCluster {
	w := &testCluster{clock: kcclock.NewManual(1_000_000), highestFence: -1}
	w.log = kcstandin.NewScriptedLog(w.clock, logRetentionMs)
	for i := range instanceCount {
		w.restart(i)
	}
	return w
}

func (w *testCluster) clockOf(i int) kcclock.Clock {
	return skewedClock{w.clock, kcclock.Millis(i-1) * 50_000}
}

func (w *testCluster) restart(i int) {
	w.leases[i] = kclease.Lease{}
	w.managers[i] = kclease.NewManager(kclease.ManagerOptions{
		Log: w.log, Clock: w.clockOf(i), Instance: fmt.Sprint("i", i), DurationMs: leaseMs,
		MaxOrderDelayMs: maxOrderDelayMs, BackoffMs: -1,
	})
}

// deliverOrder delivers an order to its engine. An engine that ignores fencing
// tokens applies it after the delay.
func (w *testCluster) deliverOrder(p pausedOrder, delay kcclock.Millis) {
	if p.ignoresFence {
		w.appliedOrders[1] = append(w.appliedOrders[1], appliedOrder{p.fence, w.clock.Now() + delay})
		return
	}
	if p.fence >= w.highestFence {
		w.highestFence = p.fence
		w.appliedOrders[0] = append(w.appliedOrders[0], appliedOrder{p.fence, w.clock.Now()})
	}
}

// Guards against interleaved orders of two holders at an engine, whether or not
// it checks fencing tokens, and against two holders at the same time. Covers
// any sequence of lost responses, delays, duplicates, trims, outages, pauses
// and restarts, with clocks that differ by 50 s.
func TestOrdersOfTwoHoldersDoNotInterleave(t *testing.T) {
	faults := rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "ok", "ok", "refuse", "lose", "delay", "duplicate"}), 0, 6)
	rapid.Check(t, func(t *rapid.T) {
		w, ctx := newTestCluster(), context.Background()
		instance := rapid.IntRange(0, instanceCount-1)
		faulty := func(t *rapid.T, f func(i int)) {
			i := instance.Draw(t, "instance")
			w.log.SetFaults(faults.Draw(t, "faults")...)
			f(i)
			w.log.SetFaults()
			w.log.BeforeAppend(nil)
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				rival := rapid.Bool().Draw(t, "rival")
				faulty(t, func(i int) {
					if rival {
						w.log.BeforeAppend(func() {
							other := (i + 1) % instanceCount
							if l, err := w.managers[other].Acquire(ctx, "r"); err == nil {
								w.leases[other] = l
							}
						})
					}
					if l, err := w.managers[i].Acquire(ctx, "r"); err == nil {
						w.leases[i] = l
					}
				})
			},
			"renew":    func(t *rapid.T) { faulty(t, func(i int) { _ = w.managers[i].Renew(ctx, &w.leases[i]) }) },
			"release":  func(t *rapid.T) { faulty(t, func(i int) { _ = w.managers[i].Release(ctx, &w.leases[i]) }) },
			"snapshot": func(t *rapid.T) { faulty(t, func(i int) { _ = w.managers[i].AppendSnapshot(ctx, 1000) }) },
			"restart":  func(t *rapid.T) { w.restart(instance.Draw(t, "instance")) },
			"deliver":  func(*rapid.T) { w.log.ApplyDelayed() },
			"outage":   func(t *rapid.T) { w.log.SetDown(rapid.Bool().Draw(t, "down")) },
			"order": func(t *rapid.T) {
				i, ignores := instance.Draw(t, "instance"), rapid.Bool().Draw(t, "ignores")
				if l := w.leases[i]; l.MaySend(w.clockOf(i).Now(), ignores) {
					p := pausedOrder{fence: l.Fence, ignoresFence: ignores, latestEffectAt: w.clock.Now() + maxOrderDelayMs}
					if rapid.Bool().Draw(t, "pause") {
						w.pausedOrders = append(w.pausedOrders, p)
						return
					}
					w.deliverOrder(p, rapid.SampledFrom([]kcclock.Millis{0, maxOrderDelayMs}).Draw(t, "delay"))
				}
			},
			"resume": func(*rapid.T) { w.resumePaused(true) },
			"advance": func(t *rapid.T) {
				w.clock.Advance(rapid.SampledFrom([]kcclock.Millis{10, 50, 290, 700, 950, 1000}).Draw(t, "time"))
				w.resumePaused(false)
				w.log.ApplyRetention()
			},
			"": func(t *rapid.T) { w.checkInvariants(t) },
		})
	})
}

// resumePaused delivers the orders of paused senders. An order to an engine
// that ignores fencing tokens takes effect within the largest order delay, any
// other order at any time.
func (w *testCluster) resumePaused(all bool) {
	w.pausedOrders = slices.DeleteFunc(w.pausedOrders, func(p pausedOrder) bool {
		if p.ignoresFence && w.clock.Now() > p.latestEffectAt {
			w.appliedOrders[1] = append(w.appliedOrders[1], appliedOrder{p.fence, p.latestEffectAt})
			return true
		}
		if all {
			w.deliverOrder(p, 0)
		}
		return all
	})
}

func (w *testCluster) checkInvariants(t *rapid.T) {
	holders := 0
	for i, l := range w.leases {
		if l.MaySend(w.clockOf(i).Now(), false) {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d holders at the same time: %+v", holders, w.leases)
	}
	for engine, effects := range w.appliedOrders {
		sorted := slices.Clone(effects)
		slices.SortStableFunc(sorted, func(a, b appliedOrder) int { return cmp.Compare(a.at, b.at) })
		if !slices.IsSortedFunc(sorted, func(a, b appliedOrder) int { return cmp.Compare(a.fence, b.fence) }) {
			t.Fatalf("engine %d applied orders in the sequence %+v", engine, sorted)
		}
	}
}

// Guards against a lease that can never be acquired, which the property test
// would not notice, and against a lease that is never granted again after its
// holder is gone.
func TestLeaseIsGrantedAfterExpiryAndRelease(t *testing.T) {
	w, ctx := newTestCluster(), t.Context()
	if _, err := w.managers[0].Acquire(ctx, "r"); err != nil {
		t.Fatal(err)
	}
	if _, err := w.managers[1].Acquire(ctx, "r"); !errors.Is(err, kclease.ErrHeld) {
		t.Fatalf("error %v, want ErrHeld", err)
	}
	w.clock.Advance(leaseMs)
	l, err := w.managers[1].Acquire(ctx, "r")
	if err != nil {
		t.Fatal(err)
	}
	if now := w.clockOf(1).Now(); l.MaySend(now, true) || !l.MaySend(now, false) || !l.MaySend(now+maxOrderDelayMs+15, true) {
		t.Fatalf("lease %+v at %d", l, now)
	}
	if err := w.managers[1].Release(ctx, &l); err != nil {
		t.Fatal(err)
	}
	w.log.SetFaults("ok", "ok", "lose")
	if _, err := w.managers[2].Acquire(ctx, "r"); err != nil {
		t.Fatalf("acquire after a release and with a lost response: %v", err)
	}
}

// Guards against an instance without state that takes a trimmed lease for a
// free one, and against one that never starts although a snapshot covers the
// trimmed records.
func TestSnapshotReplacesTrimmedLeases(t *testing.T) {
	w, ctx := newTestCluster(), t.Context()
	l, err := w.managers[0].Acquire(ctx, "r")
	if err != nil {
		t.Fatal(err)
	}
	for range 7 {
		w.clock.Advance(900)
		w.log.ApplyRetention()
		if err := w.managers[0].Renew(ctx, &l); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.managers[1].Acquire(ctx, "r"); !errors.Is(err, kclease.ErrHistoryUnknown) {
		t.Fatalf("error %v, want ErrHistory", err)
	}
	if err := w.managers[0].AppendSnapshot(ctx, 1000); err != nil {
		t.Fatal(err)
	}
	if _, err := w.managers[1].Acquire(ctx, "r"); !errors.Is(err, kclease.ErrHeld) {
		t.Fatalf("error %v, want ErrHeld", err)
	}
}
