package kclease_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kclease"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// stepTimeoutMs is longer than any other wait, so that the test can tell the
// step timeout from the other waits.
const stepTimeoutMs = kcclock.Day

// engineFixture is two engines behind HTTP that every instance of a test
// cluster can reach.
type engineFixture struct {
	*testCluster
	kclease.HTTPEngineClient
	engines []*kcstandin.Engine
	targets map[string]kclease.EngineTarget
	orders  []kclease.Order
	sentAt  []kcclock.Millis
	// beforeSend runs after the last lease check and before the order is sent.
	beforeSend func() error
	// resendMs is the time after which an order is sent again.
	resendMs kcclock.Millis
	// runnerWaits receives the length of each wait of the plan runner.
	runnerWaits chan kcclock.Millis
}

func newEngineFixture(t *testing.T, ignoresFence bool) *engineFixture {
	t.Helper()
	w := newTestCluster()
	f := &engineFixture{
		testCluster: w, resendMs: kcclock.Hour,
		targets: make(map[string]kclease.EngineTarget), runnerWaits: make(chan kcclock.Millis, 1000),
		HTTPEngineClient: kclease.HTTPEngineClient{HTTP: &http.Client{Transport: &http.Transport{}}, Clock: w.clock, TimeoutMs: 1000},
	}
	for _, id := range []string{"e0", "e1"} {
		e := kcstandin.NewEngine(kcstandin.EngineOptions{
			ID: id, Clock: w.clock, Versions: []string{"m@1"}, IgnoresFence: ignoresFence,
		})
		mux := http.NewServeMux()
		e.Register(mux)
		srv := httptest.NewServer(mux)
		t.Cleanup(func() { e.Close(); srv.Close() })
		f.engines = append(f.engines, e)
		f.targets[id] = kclease.EngineTarget{Addr: srv.Listener.Addr().String(), IgnoresFence: ignoresFence}
	}
	return f
}

func (f *engineFixture) SendOrder(ctx context.Context, addr string, o kclease.Order) error {
	if f.beforeSend != nil {
		if err := f.beforeSend(); err != nil {
			return err
		}
	}
	f.orders = append(f.orders, o)
	f.sentAt = append(f.sentAt, f.clock.Now())
	return f.HTTPEngineClient.SendOrder(ctx, addr, o)
}

// runnerClock reports the length of each wait of the plan runner to the test.
type runnerClock struct {
	kcclock.Clock
	waits chan<- kcclock.Millis
}

func (c runnerClock) After(d kcclock.Millis) <-chan struct{} {
	done := c.Clock.After(d)
	c.waits <- d
	return done
}

func (f *engineFixture) runner(i int) *kclease.PlanRunner {
	return kclease.NewPlanRunner(kclease.PlanRunnerOptions{
		Leases: f.managers[i], Engines: f, Clock: runnerClock{f.clockOf(i), f.runnerWaits},
		FindEngine:    func(engine string) (kclease.EngineTarget, bool) { t, ok := f.targets[engine]; return t, ok },
		StepTimeoutMs: stepTimeoutMs, OrderResendMs: f.resendMs,
	})
}

// runPlan executes the plan as instance i and advances the clock whenever the
// plan runner waits.
func (f *engineFixture) runPlan(t *testing.T, i int) error {
	t.Helper()
	return f.runPlanUntil(t.Context(), i)
}

func (f *engineFixture) runPlanUntil(ctx context.Context, i int) error {
	done := make(chan error, 1)
	go func() { done <- f.runner(i).Run(ctx, &f.leases[i]) }()
	for {
		select {
		case err := <-done:
			return err
		case d := <-f.runnerWaits:
			if d < stepTimeoutMs {
				f.clock.Advance(d)
			}
		}
	}
}

func (f *engineFixture) acquireLease(t *testing.T, i int) {
	t.Helper()
	var err error
	if f.leases[i], err = f.managers[i].Acquire(t.Context(), "r"); err != nil {
		t.Fatal(err)
	}
}

// startPlan acquires the lease for instance 0 and starts a plan that loads m@2
// beside m@1 on both engines.
func (f *engineFixture) startPlan(t *testing.T) {
	t.Helper()
	f.acquireLease(t, 0)
	step := func(engine string) kclease.PlanStep {
		return kclease.PlanStep{
			Engine: engine, Apply: kclease.Order{Versions: []string{"m@1", "m@2"}}, Rollback: kclease.Order{Versions: []string{"m@1"}},
		}
	}
	if err := f.runner(0).Start(t.Context(), &f.leases[0], []kclease.PlanStep{step("e0"), step("e1")}); err != nil {
		t.Fatal(err)
	}
}

func (f *engineFixture) wantVersions(t *testing.T, want ...string) {
	t.Helper()
	for _, e := range f.engines {
		if got := e.State().Versions; !slices.Equal(got, want) {
			t.Errorf("engine %s serves %v, want %v", e.State().ID, got, want)
		}
	}
}

var errKilled = errors.New("the instance is killed")

// Guards against a plan that stays half done when its lease holder is lost,
// against steps that are ordered again although they are done, and against a
// plan that cannot be rolled back.
func TestNextHolderFinishesPlan(t *testing.T) {
	for _, rollback := range []bool{false, true} {
		f := newEngineFixture(t, false)
		f.startPlan(t)
		ctx, kill := context.WithCancel(t.Context())
		f.beforeSend = func() error {
			if len(f.orders) == 1 {
				kill()
				return errKilled
			}
			return nil
		}
		if err := f.runPlanUntil(ctx, 0); err == nil {
			t.Fatal("the plan was not interrupted")
		}
		f.beforeSend = nil
		f.clock.Advance(3 * leaseMs)
		f.acquireLease(t, 1)
		want, wantOrders := []string{"m@1", "m@2"}, 2
		if rollback {
			want, wantOrders = []string{"m@1"}, 3
			if err := f.runner(1).Rollback(t.Context(), &f.leases[1]); err != nil {
				t.Fatal(err)
			}
		}
		if err := f.runPlan(t, 1); err != nil {
			t.Fatal(err)
		}
		f.wantVersions(t, want...)
		if p, err := f.runner(1).UnfinishedPlan(t.Context(), "r"); p != nil || err != nil {
			t.Errorf("unfinished plan %+v, error %v", p, err)
		}
		if len(f.orders) != wantOrders || f.orders[0].Sender != "i0" || f.orders[wantOrders-1].Sender != "i1" {
			t.Errorf("rollback %v: orders %+v, want %d, the first from i0 and the last from i1", rollback, f.orders, wantOrders)
		}
	}
}

// Guards against an order that is treated as failed, or is sent again at once,
// because its response was lost.
func TestLostOrderResponseIsResolvedByEngineState(t *testing.T) {
	f := newEngineFixture(t, false)
	f.startPlan(t)
	for _, e := range f.engines {
		e.SetFaults(kcstandin.EngineFaults{OrderLoseAnswers: 1, OrderDelayMs: 2000})
	}
	if err := f.runPlan(t, 0); err != nil {
		t.Fatal(err)
	}
	f.wantVersions(t, "m@1", "m@2")
	if len(f.orders) != 2 {
		t.Errorf("%d orders, want 2: %+v", len(f.orders), f.orders)
	}
}

// Guards against a holder that continues after an engine rejected its order as
// outdated. The holder was paused between its last lease check and the send.
func TestPausedHolderStopsWhenFenced(t *testing.T) {
	f := newEngineFixture(t, false)
	f.startPlan(t)
	f.beforeSend = func() error {
		f.beforeSend = nil
		f.clock.Advance(leaseMs)
		f.acquireLease(t, 1)
		return f.runPlan(t, 1)
	}
	if err := f.runPlan(t, 0); !errors.Is(err, kclease.ErrFenced) {
		t.Fatalf("error %v, want ErrFenced", err)
	}
	if f.leases[0].MaySend(f.clockOf(0).Now(), false) {
		t.Error("the fenced lease still allows orders")
	}
	f.wantVersions(t, "m@1", "m@2")
}

// Guards against orders to an engine that ignores fencing tokens while orders
// of the previous holder may still take effect.
func TestOrdersWaitForUnfencedEngines(t *testing.T) {
	f := newEngineFixture(t, true)
	f.startPlan(t)
	f.clock.Advance(leaseMs)
	end := f.clock.Now()
	f.acquireLease(t, 1)
	if err := f.runPlan(t, 1); err != nil {
		t.Fatal(err)
	}
	f.wantVersions(t, "m@1", "m@2")
	if len(f.sentAt) == 0 || f.sentAt[0] < end+maxOrderDelayMs {
		t.Errorf("orders sent at %v, want none before %d", f.sentAt, end+maxOrderDelayMs)
	}
}

// Guards against a step whose order is never applied because the first send was
// lost in transit.
func TestOrderWithoutEffectIsResent(t *testing.T) {
	f := newEngineFixture(t, false)
	f.resendMs = 10 * kcclock.Second
	f.startPlan(t)
	lost := 0
	f.beforeSend = func() error {
		lost++
		if lost == 1 {
			return errKilled
		}
		return nil
	}
	if err := f.runPlan(t, 0); err != nil {
		t.Fatal(err)
	}
	f.wantVersions(t, "m@1", "m@2")
}

// Guards against plan or progress records that a holder appended after its
// lease had ended. The next holder would skip a step that its own orders have
// to complete.
func TestRecordsAfterLeaseExpiryHaveNoEffect(t *testing.T) {
	f := newEngineFixture(t, false)
	acquireBySecond := func() {
		f.clock.Advance(leaseMs)
		f.acquireLease(t, 1)
	}
	f.acquireLease(t, 0)
	f.log.BeforeAppend(acquireBySecond)
	if err := f.runner(0).Start(t.Context(), &f.leases[0], []kclease.PlanStep{{Engine: "e0"}}); err == nil {
		t.Fatal("a plan was started after the end of the lease")
	}
	f.clock.Advance(leaseMs)
	f.startPlan(t)
	f.beforeSend = func() error {
		f.beforeSend = nil
		f.log.BeforeAppend(acquireBySecond)
		return nil
	}
	_ = f.runPlan(t, 0)
	f.orders = nil
	if err := f.runPlan(t, 1); err != nil {
		t.Fatal(err)
	}
	if len(f.orders) != 2 {
		t.Errorf("the next holder sent %d orders, want one per step (2): %+v", len(f.orders), f.orders)
	}
}
