package kcedge

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

const (
	// rolloutCheckIntervalMs is the time between checks of the open rollout
	// orders.
	rolloutCheckIntervalMs = 250 * kcclock.Millisecond
	// evidenceIntervalMs and badEvidenceIntervalMs are the shortest times between
	// publications of evidence: without and with new answers that speak against
	// the target version. Instances send theirs to the one that reads the store
	// for their availability zone.
	evidenceIntervalMs    = 3000 * kcclock.Millisecond
	badEvidenceIntervalMs = 500 * kcclock.Millisecond
	// groupMemberTTLMs is the time after which a leader that no longer renews its
	// membership is replaced.
	groupMemberTTLMs = 3000 * kcclock.Millisecond
	// groupRenewIntervalMs is the time between calls that renew the membership in
	// the leader group.
	groupRenewIntervalMs = 600 * kcclock.Millisecond
	// takeoverDelayMs is the time after which another member of the group
	// publishes the first or last step of an order. The group may be rebalanced
	// at any time, and the new leader learns of it at its next call.
	takeoverDelayMs = 400 * kcclock.Millisecond
	// evidenceReadIntervalMs is the time between reads of the evidence by the
	// leader.
	evidenceReadIntervalMs = 500 * kcclock.Millisecond
	// startJitterMs spreads the publication of the start of an order over the
	// instances, so that most of them see that of another instance first.
	startJitterMs = 600
	leaderGroup   = "orders"
)

// rolloutController publishes evidence about rollout orders and, while it is
// the leader, concludes the orders. The leader is the group member to which the
// store assigns the first partition of the evidence topic. Every write of a
// state is conditional on the end of the log, so that two leaders cannot
// contradict each other.
type rolloutController struct {
	edge  *Edge
	clock kcclock.Clock
	// publishedAt holds the time of the last publication of evidence by service.
	publishedAt map[string]kcclock.Millis
	// startDueAt holds the time at which this instance publishes the start of an
	// order, by the first position of the order.
	startDueAt  map[kctable.Position]kcclock.Millis
	leader      bool
	joined      bool
	generation  int64
	nextRenewAt kcclock.Millis
	nextReadAt  kcclock.Millis
	// evidencePosition is the one after the last evidence that was read.
	evidencePosition kcfeed.Position
	// evidenceComplete is true if the last read of the evidence reached its end.
	evidenceComplete bool
}

func newRolloutController(e *Edge, clock kcclock.Clock) *rolloutController {
	return &rolloutController{
		edge: e, clock: clock, publishedAt: make(map[string]kcclock.Millis), startDueAt: make(map[kctable.Position]kcclock.Millis),
	}
}

func (k *rolloutController) run(ctx context.Context) {
	for kcclock.Wait(ctx, k.clock, rolloutCheckIntervalMs) == nil {
		open := k.edge.gate.Rollouts.Active()
		if len(open) == 0 {
			k.leaveGroup(ctx)
			continue
		}
		for _, o := range open {
			if !o.StatePublished {
				k.publishStart(ctx, o)
				continue
			}
			k.publishEvidence(ctx, o)
		}
		k.renewMembership(ctx)
		if due := k.dueOrders(open); len(due) > 0 {
			k.decideOrders(ctx, due)
		}
	}
	if k.joined {
		ctx, cancel := kcclock.WithTimeout(context.WithoutCancel(ctx), k.clock, storeCallTimeoutMs)
		defer cancel()
		k.leaveGroup(ctx)
	}
}

func (k *rolloutController) callStore(ctx context.Context, what string, f func(ctx context.Context) error) bool {
	ctx, cancel := kcclock.WithTimeout(ctx, k.clock, storeCallTimeoutMs)
	defer cancel()
	err := f(ctx)
	if err != nil && !kcplatform.IsConflict(err) && !errors.Is(err, context.Canceled) {
		k.edge.Log.Warn("call of the store failed", "call", what, "error", err)
	}
	return err == nil
}

// publishStart publishes the start of an order unless another instance has done
// so by the time due.
func (k *rolloutController) publishStart(ctx context.Context, o kcrollout.ActiveOrder) {
	now := k.clock.Now()
	first := kctable.Position{Era: o.Era, Offset: o.Offset}
	at, ok := k.startDueAt[first]
	if !ok {
		at = now + kcclock.Millis(rand.IntN(startJitterMs))
		k.startDueAt[first] = at
	}
	if age, known := k.edge.progressFollower.Age(now); now < at || !known || age > groupMemberTTLMs+progressLongPollMs {
		return
	}
	k.startDueAt[first] = now + kcclock.Second
	p := kctable.RolloutProgress{
		Service: o.Service, Target: o.Target, State: kctable.RolloutRunning, StartedAt: kcclock.System{}.Now() - o.ElapsedMs,
	}
	k.writeState(ctx, p.WithOrder(o.RolloutOrder), "evidence", "none")
}

// writeState publishes the state of an order. It fails if anything was
// published since the last state that this instance knows.
func (k *rolloutController) writeState(ctx context.Context, p kctable.RolloutProgress, cause ...any) bool {
	raw, err := kcplatform.EncodeRolloutProgress(p)
	if err != nil {
		k.edge.Log.Error("cannot encode state of a rollout order", "error", err)
		return false
	}
	at := k.edge.progressFollower.NextOffset()
	ok := k.callStore(ctx, "write state", func(ctx context.Context) error {
		return k.edge.store.SetKeyAtOffset(ctx, kcplatform.TopicStatus, kcplatform.RolloutKey(p.Service), raw, at)
	})
	k.edge.Log.Info("order decided", append([]any{
		"service", p.Service, "target", p.Target, "stage", p.State, "opened", p.TargetServing, "step", p.Step,
		"order", p.OrderOffset, "at", at, "written", ok,
	}, cause...)...)
	return ok
}

// publishEvidence sends new evidence to the leader, through the instance that
// reads the store for this one if there is one.
func (k *rolloutController) publishEvidence(ctx context.Context, o kcrollout.ActiveOrder) {
	now := k.clock.Now()
	since := now - k.publishedAt[o.Service]
	if o.NewEvents == 0 || since < badEvidenceIntervalMs || (o.NewFailures == 0 && since < evidenceIntervalMs) {
		return
	}
	k.publishedAt[o.Service] = now
	reports := k.edge.gate.Rollouts.TakeReports(o.Service)
	if len(reports) == 0 {
		return
	}
	for i := range reports {
		reports[i].HasNewFailures = o.NewFailures > 0
	}
	if addr, other := k.edge.peers.readerAddr(); other && k.edge.peers.forwardEvidence(ctx, addr, reports) {
		return
	}
	raw, err := json.Marshal(reports)
	if err != nil {
		k.edge.Log.Error("cannot encode evidence", "error", err)
		return
	}
	k.callStore(ctx, "write evidence", func(ctx context.Context) error {
		return k.edge.store.Append(ctx, kcplatform.TopicEvidence, raw)
	})
}

// renewMembership keeps this instance in the group that the leader is elected
// from: the instances that read the store for their availability zones.
func (k *rolloutController) renewMembership(ctx context.Context) {
	now := k.clock.Now()
	if _, other := k.edge.peers.readerAddr(); other {
		k.leaveGroup(ctx)
		return
	}
	if now < k.nextRenewAt {
		return
	}
	k.nextRenewAt = now + groupRenewIntervalMs
	wasLeader := k.leader
	ok := k.callStore(ctx, "join", func(ctx context.Context) error {
		var err error
		k.leader, k.generation, err = k.edge.store.JoinGroup(ctx, leaderGroup, k.edge.Deployment.Instance, kcplatform.TopicEvidence,
			groupMemberTTLMs, k.generation)
		return err
	})
	k.joined = k.joined || ok
	if !ok {
		k.leader = false
	}
	if k.leader != wasLeader {
		k.edge.Log.Info("judge of orders", "judge", k.leader, "generation", k.generation)
	}
}

func (k *rolloutController) leaveGroup(ctx context.Context) {
	if !k.joined {
		return
	}
	k.joined, k.leader, k.generation, k.nextRenewAt = false, false, 0, 0
	k.callStore(ctx, "leave", func(ctx context.Context) error {
		return k.edge.store.LeaveGroup(ctx, leaderGroup, k.edge.Deployment.Instance)
	})
}

// dueOrders returns the orders that this instance decides. The leader decides
// all of them. Another member of the group decides those whose first or last
// step is overdue.
func (k *rolloutController) dueOrders(open []kcrollout.ActiveOrder) []kcrollout.ActiveOrder {
	if k.leader {
		return open
	}
	var overdue []kcrollout.ActiveOrder
	for _, o := range open {
		at := kcrollout.LastStepMs(o.RolloutOrder)
		if !o.Progress.TargetServing {
			at = min(at, kcrollout.FirstStepDelayMs)
		}
		if k.joined && o.StatePublished && o.ElapsedMs > at+takeoverDelayMs {
			overdue = append(overdue, o)
		}
	}
	return overdue
}

// decideOrders reads the evidence of all instances and publishes the resulting
// states.
func (k *rolloutController) decideOrders(ctx context.Context, open []kcrollout.ActiveOrder) {
	now := k.clock.Now()
	// Before the first step there is no evidence.
	anyServing := slices.ContainsFunc(open, func(o kcrollout.ActiveOrder) bool { return o.Progress.TargetServing })
	if anyServing && now >= k.nextReadAt {
		k.nextReadAt = now + evidenceReadIntervalMs
		k.evidenceComplete = k.readEvidence(ctx)
	}
	for _, o := range open {
		p, seen, ok := k.edge.gate.NextRolloutState(o.Service)
		// What is missing may speak against the target version, so a part of the
		// evidence is enough to stop it and not to go on with it.
		if !ok || o.Progress.TargetServing && !k.evidenceComplete && p.State != kctable.RolloutReverted {
			continue
		}
		if k.writeState(ctx, p, "evidence", seen) {
			k.edge.gate.Rollouts.ApplyProgress(p)
		}
	}
}

// readEvidence merges the evidence that was published since the last call and
// reports whether it has read all of it.
func (k *rolloutController) readEvidence(ctx context.Context) bool {
	for {
		page, ok := k.readEvidencePage(ctx)
		if !ok {
			return false
		}
		k.mergeEvidence(page)
		if !page.Partial() {
			return true
		}
		if len(page.Records) == 0 {
			k.edge.Log.Warn("evidence ends before the end of its log", "offset", page.NextOffset, "end", page.EndOffset)
			return false
		}
	}
}

func (k *rolloutController) readEvidencePage(ctx context.Context) (page kcfeed.Page, ok bool) {
	ok = k.callStore(ctx, "read evidence", func(ctx context.Context) error {
		var err error
		// Reports are cumulative counts of their instance: they may be merged again, and
		// those that were trimmed are not needed.
		page, err = k.edge.store.ReadLog(ctx, kcplatform.TopicEvidence, k.evidencePosition, 0)
		if err == nil && page.InOtherEra(k.evidencePosition) {
			k.evidencePosition = kcfeed.Position{Era: page.Era}
			page, err = k.edge.store.ReadLog(ctx, kcplatform.TopicEvidence, k.evidencePosition, 0)
		}
		var trimmed kcfeed.TrimmedError
		if errors.As(err, &trimmed) {
			k.evidencePosition.Offset = trimmed.FirstOffset
			page, err = k.edge.store.ReadLog(ctx, kcplatform.TopicEvidence, k.evidencePosition, 0)
		}
		return err
	})
	return page, ok
}

func (k *rolloutController) mergeEvidence(page kcfeed.Page) {
	k.evidencePosition = kcfeed.Position{Era: cmp.Or(page.Era, k.evidencePosition.Era), Offset: page.NextOffset}
	for _, r := range page.Records {
		var reports []kcrollout.EvidenceReport
		if err := json.Unmarshal(r.Value, &reports); err != nil {
			k.edge.Log.Warn("cannot decode evidence; ignoring it", "offset", r.Offset, "error", err)
			continue
		}
		for _, report := range reports {
			k.edge.gate.Rollouts.MergeReport(report)
		}
	}
}
