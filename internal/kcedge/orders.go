package kcedge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kcgate"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

const (
	// orderTickMs is the time between looks at open orders.
	orderTickMs = 250 * kcclock.Millisecond
	// quietMs and badMs are the times between publications of evidence:
	// without and with new answers that speak against the target. Instances
	// give theirs to the one that reads the store for their availability zone.
	quietMs = 3000 * kcclock.Millisecond
	badMs   = 500 * kcclock.Millisecond
	// holdMs is the time after which the judge of an order is replaced.
	holdMs = 3000 * kcclock.Millisecond
	// joinMs is the time between calls that keep the judge.
	joinMs = 600 * kcclock.Millisecond
	// lateMs is the time after which another member of the group takes the first
	// or last step of an order. The group may be dealt anew at any time, and the
	// new judge learns of it at its next call.
	lateMs = 400 * kcclock.Millisecond
	// readMs is the time between reads of evidence by the judge.
	readMs = 500 * kcclock.Millisecond
	// startSpreadMs spreads the first publication of an order over the
	// instances, so that most of them see that of another.
	startSpreadMs = 600
	judgeGroup    = "orders"
)

// orderKeeper publishes evidence and, while it holds the part of the log that
// names the judge, concludes orders. Every write of a state is conditional on
// the end of the log, so that two judges cannot contradict each other.
type orderKeeper struct {
	e     *Edge
	clock kcclock.Clock
	// published holds the time of the last publication per service.
	published map[string]kcclock.Millis
	// startAt holds the time at which the start of an order is published.
	startAt    map[int64]kcclock.Millis
	judge      bool
	joined     bool
	generation int64
	joinAt     kcclock.Millis
	readAt     kcclock.Millis
	from       int64
}

func newOrderKeeper(e *Edge, clock kcclock.Clock) *orderKeeper {
	return &orderKeeper{
		e: e, clock: clock, published: make(map[string]kcclock.Millis), startAt: make(map[int64]kcclock.Millis),
	}
}

func (k *orderKeeper) run(ctx context.Context) {
	for kcclock.Wait(ctx, k.clock, orderTickMs) == nil {
		open := k.e.gate.Rollouts.Active()
		if len(open) == 0 {
			k.leave(ctx)
			continue
		}
		for _, o := range open {
			if !o.StatePublished {
				k.begin(ctx, o)
				continue
			}
			k.publish(ctx, o)
		}
		k.hold(ctx)
		if due := k.due(open); len(due) > 0 {
			k.decide(ctx, due)
		}
	}
	if k.joined {
		ctx, cancel := kcclock.WithTimeout(context.WithoutCancel(ctx), k.clock, callMs)
		defer cancel()
		k.leave(ctx)
	}
}

func (k *orderKeeper) call(ctx context.Context, what string, f func(ctx context.Context) error) bool {
	ctx, cancel := kcclock.WithTimeout(ctx, k.clock, callMs)
	defer cancel()
	err := f(ctx)
	if err != nil && !kcplatform.IsConflict(err) && !errors.Is(err, context.Canceled) {
		k.e.Log.Warn("call of the store failed", "call", what, "error", err)
	}
	return err == nil
}

// begin publishes the start of an order.
func (k *orderKeeper) begin(ctx context.Context, o kcgate.ActiveRollout) {
	now := k.clock.Now()
	at, ok := k.startAt[o.Offset]
	if !ok {
		at = now + kcclock.Millis(rand.IntN(startSpreadMs))
		k.startAt[o.Offset] = at
	}
	if age, known := k.e.progress.Age(now); now < at || !known || age > holdMs+progressWaitMs {
		return
	}
	k.startAt[o.Offset] = now + kcclock.Second
	k.write(ctx, kctable.Progress{
		Service: o.Service, Target: o.Target, Stage: kctable.Running, Order: o.Offset,
		StartedAt: kcclock.System{}.Now() - o.ElapsedMs,
	}, "evidence", "none")
}

// write publishes the state of an order if nothing was published since the
// last state that this instance knows.
func (k *orderKeeper) write(ctx context.Context, p kctable.Progress, cause ...any) bool {
	raw, err := kcplatform.EncodeProgress(p)
	if err != nil {
		k.e.Log.Error("state of an order not written", "error", err)
		return false
	}
	at := k.e.progress.End()
	ok := k.call(ctx, "write state", func(ctx context.Context) error {
		return k.e.store.AppendKey(ctx, kcplatform.TopicProgress, kcplatform.OrderKey(p.Service), raw, at)
	})
	k.e.Log.Info("order decided", append([]any{
		"service", p.Service, "target", p.Target, "stage", p.Stage, "opened", p.Opened, "step", p.Step,
		"order", p.Order, "at", at, "written", ok,
	}, cause...)...)
	return ok
}

// publish tells the judge of new evidence.
func (k *orderKeeper) publish(ctx context.Context, o kcgate.ActiveRollout) {
	now := k.clock.Now()
	since := now - k.published[o.Service]
	if o.NewEvents == 0 || since < badMs || (o.NewFailures == 0 && since < quietMs) {
		return
	}
	k.published[o.Service] = now
	reports := k.e.gate.Rollouts.TakeReports(o.Service)
	if len(reports) == 0 {
		return
	}
	for i := range reports {
		reports[i].HasNewFailures = o.NewFailures > 0
	}
	if addr, other := k.e.peers.reader(); other && k.e.peers.pass(ctx, addr, reports) {
		return
	}
	raw, err := json.Marshal(reports)
	if err != nil {
		k.e.Log.Error("evidence not written", "error", err)
		return
	}
	k.call(ctx, "write evidence", func(ctx context.Context) error {
		return k.e.store.Append(ctx, kcplatform.TopicEvidence, raw)
	})
}

// hold keeps this instance in the group that the judge is taken from: the
// instances that read the store for their availability zones.
func (k *orderKeeper) hold(ctx context.Context) {
	now := k.clock.Now()
	if _, other := k.e.peers.reader(); other {
		k.leave(ctx)
		return
	}
	if now < k.joinAt {
		return
	}
	k.joinAt = now + joinMs
	was := k.judge
	ok := k.call(ctx, "join", func(ctx context.Context) error {
		var err error
		k.judge, k.generation, err = k.e.store.Holds(ctx, judgeGroup, k.e.Deployment.Instance, kcplatform.TopicEvidence,
			holdMs, k.generation)
		return err
	})
	k.joined = k.joined || ok
	if !ok {
		k.judge = false
	}
	if k.judge != was {
		k.e.Log.Info("judge of orders", "judge", k.judge, "generation", k.generation)
	}
}

func (k *orderKeeper) leave(ctx context.Context) {
	if !k.joined {
		return
	}
	k.joined, k.judge, k.generation, k.joinAt = false, false, 0, 0
	k.call(ctx, "leave", func(ctx context.Context) error {
		return k.e.store.Leave(ctx, judgeGroup, k.e.Deployment.Instance)
	})
}

// due returns the orders that this instance decides: all of them as the judge,
// and as another member of the group those whose first or last step the judge
// is late with.
func (k *orderKeeper) due(open []kcgate.ActiveRollout) []kcgate.ActiveRollout {
	if k.judge {
		return open
	}
	var late []kcgate.ActiveRollout
	for _, o := range open {
		at := kcrollout.LastStepMs(o.Order)
		if !o.Progress.Opened {
			at = min(at, kcrollout.GatherMs)
		}
		if k.joined && o.StatePublished && o.ElapsedMs > at+lateMs {
			late = append(late, o)
		}
	}
	return late
}

// decide reads the evidence of all instances and concludes orders.
func (k *orderKeeper) decide(ctx context.Context, open []kcgate.ActiveRollout) {
	now := k.clock.Now()
	// There is no evidence before the first step.
	opened := slices.ContainsFunc(open, func(o kcgate.ActiveRollout) bool { return o.Progress.Opened })
	if opened && now >= k.readAt {
		k.readAt = now + readMs
		k.read(ctx)
	}
	for _, o := range open {
		p, seen, ok := k.e.gate.NextRolloutState(o.Service)
		if ok && k.write(ctx, p, "evidence", seen) {
			k.e.gate.Rollouts.ApplyProgress(p)
		}
	}
}

func (k *orderKeeper) read(ctx context.Context) {
	var page kcfeed.Page
	ok := k.call(ctx, "read evidence", func(ctx context.Context) error {
		var err error
		page, err = k.e.store.ReadLog(ctx, kcplatform.TopicEvidence, k.from, 0)
		var trimmed kcfeed.Trimmed
		if errors.As(err, &trimmed) {
			// Reports hold all counts of their instance, so old ones are not
			// missed.
			k.from = trimmed.First
			page, err = k.e.store.ReadLog(ctx, kcplatform.TopicEvidence, k.from, 0)
		}
		return err
	})
	if !ok {
		return
	}
	k.from = page.End
	for _, r := range page.Records {
		var reports []kcgate.EvidenceReport
		if err := json.Unmarshal(r.Value, &reports); err != nil {
			k.e.Log.Warn("evidence ignored", "offset", r.Offset, "error", err)
			continue
		}
		for _, report := range reports {
			k.e.gate.Rollouts.MergeReport(report)
		}
	}
}
