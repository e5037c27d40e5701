package kclease

import (
	"context"
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// EngineTarget is the address of an engine and whether it ignores fencing
// tokens.
type EngineTarget struct {
	Addr         string
	IgnoresFence bool
}

// PlanRunnerOptions configures a PlanRunner.
type PlanRunnerOptions struct {
	Leases  *Manager
	Engines EngineClient
	Clock   kcclock.Clock
	// FindEngine returns the target of an engine, or false if the engine is not
	// listed.
	FindEngine func(engine string) (EngineTarget, bool)
	// StatePollMs is the interval between reads of an engine's state. 0 means 500
	// ms; a negative value polls without a pause.
	StatePollMs kcclock.Millis
	// StepTimeoutMs bounds the execution of one step; 0 means 5 minutes.
	StepTimeoutMs kcclock.Millis
	// OrderResendMs is the time after which an order that has not taken effect is
	// sent again; 0 means 10 s.
	OrderResendMs kcclock.Millis
}

// PlanRunner executes plans under a lease.
type PlanRunner struct{ opts PlanRunnerOptions }

// NewPlanRunner returns a PlanRunner with defaults applied to opts.
func NewPlanRunner(opts PlanRunnerOptions) *PlanRunner {
	if opts.StatePollMs == 0 {
		opts.StatePollMs = 500
	}
	if opts.StepTimeoutMs <= 0 {
		opts.StepTimeoutMs = 5 * kcclock.Minute
	}
	if opts.OrderResendMs <= 0 {
		opts.OrderResendMs = 10 * kcclock.Second
	}
	return &PlanRunner{opts: opts}
}

// UnfinishedPlan returns the unfinished plan of the resource, or nil.
func (r *PlanRunner) UnfinishedPlan(ctx context.Context, resource string) (*PlanState, error) {
	s, err := r.opts.Leases.readResource(ctx, resource)
	return s.ActivePlan, err
}

// Start appends a plan to the log. Its steps may run only after the plan record
// has taken effect.
func (r *PlanRunner) Start(ctx context.Context, l *Lease, steps []PlanStep) error {
	id := "plan-" + kclog.NewID()
	err := r.opts.Leases.appendRecord(ctx, kclog.Encode(id, KindPlan, Plan{
		ID: id, Resource: l.Resource, Fence: l.Fence, Steps: steps,
	}))
	if err != nil && !errors.Is(err, kclog.ErrAnswerLost) {
		return err
	}
	p, err := r.UnfinishedPlan(ctx, l.Resource)
	if err != nil {
		return err
	}
	if p == nil || p.Plan.ID != id {
		return errs.New("lease: %s has another unfinished plan, or the lease has expired", l.Resource)
	}
	return nil
}

// Rollback switches the unfinished plan to rollback. It does nothing if there
// is no unfinished plan.
func (r *PlanRunner) Rollback(ctx context.Context, l *Lease) error {
	p, err := r.UnfinishedPlan(ctx, l.Resource)
	if err != nil || p == nil {
		return err
	}
	return r.appendProgress(ctx, l, p, PlanProgress{Event: EventRollback})
}

// Run executes the unfinished plan of the resource, which an earlier holder of
// the lease may have started. Steps that the log does not record as done are
// ordered again. Orders are idempotent, so this changes nothing on engines that
// are already in the desired state.
func (r *PlanRunner) Run(ctx context.Context, l *Lease) error {
	p, err := r.UnfinishedPlan(ctx, l.Resource)
	if err != nil || p == nil {
		return err
	}
	for n := range p.Plan.Steps {
		i, order := n, p.Plan.Steps[n].Apply
		if p.RollingBack {
			i = len(p.Plan.Steps) - 1 - n
			order = p.Plan.Steps[i].Rollback
		}
		if p.StepDone[i] {
			continue
		}
		if err := r.driveEngine(ctx, l, p.Plan.Steps[i].Engine, order); err != nil {
			return fmt.Errorf("lease: plan %s, step %d: %w", p.Plan.ID, i, err)
		}
		if err := r.appendProgress(ctx, l, p, PlanProgress{Event: EventStep, Step: i}); err != nil {
			return err
		}
	}
	return r.appendProgress(ctx, l, p, PlanProgress{Event: EventEnd})
}

func (r *PlanRunner) appendProgress(ctx context.Context, l *Lease, p *PlanState, g PlanProgress) error {
	g.Plan, g.Resource, g.Fence = p.Plan.ID, l.Resource, l.Fence
	return r.opts.Leases.appendRecord(ctx, kclog.Encode("progress-"+kclog.NewID(), KindProgress, g))
}

// driveEngine sends the order, and resends it after OrderResendMs, until the
// engine reports the desired state. If the response to an order is lost, the
// state of the engine shows whether it was applied.
func (r *PlanRunner) driveEngine(ctx context.Context, l *Lease, engine string, o Order) error {
	ctx, cancel := kcclock.WithTimeout(ctx, r.opts.Clock, r.opts.StepTimeoutMs)
	defer cancel()
	o.Fence, o.Sender = l.Fence, r.opts.Leases.opts.Instance
	var sentAt kcclock.Millis
	for orderSent := false; ; {
		target, ok := r.opts.FindEngine(engine)
		if !ok {
			return errs.New("engine %s is not listed", engine)
		}
		if err := r.renewIfDue(ctx, l); err != nil {
			return err
		}
		if !orderSent || r.opts.Clock.Now() >= sentAt+r.opts.OrderResendMs {
			if err := r.awaitSendTime(ctx, l, target); err != nil {
				return err
			}
			if err := r.opts.Engines.SendOrder(ctx, target.Addr, o); errors.Is(err, ErrFenced) {
				l.ValidUntil = 0
				return err
			}
			orderSent, sentAt = true, r.opts.Clock.Now()
		}
		state, err := r.opts.Engines.ReadState(ctx, target.Addr)
		if err == nil && state.Satisfies(o) {
			return nil
		}
		if err := kcclock.Wait(ctx, r.opts.Clock, r.opts.StatePollMs); err != nil {
			return err
		}
	}
}

// renewIfDue renews the lease once less than half of its duration is left.
func (r *PlanRunner) renewIfDue(ctx context.Context, l *Lease) error {
	if l.ValidUntil-r.opts.Clock.Now() >= r.opts.Leases.opts.DurationMs/2 {
		return nil
	}
	return r.opts.Leases.Renew(ctx, l)
}

// awaitSendTime waits until the lease allows an order to the target. The lease
// check is the last step before the send.
func (r *PlanRunner) awaitSendTime(ctx context.Context, l *Lease, t EngineTarget) error {
	for {
		if err := r.renewIfDue(ctx, l); err != nil {
			return err
		}
		now := r.opts.Clock.Now()
		switch {
		case l.MaySend(now, t.IgnoresFence):
			return nil
		case now >= l.ValidUntil:
			return ErrExpired
		}
		wait := min(l.UnfencedSendFrom-now, r.opts.Leases.opts.DurationMs/clockDriftDivisor)
		if err := kcclock.Wait(ctx, r.opts.Clock, max(wait, 1)); err != nil {
			return err
		}
	}
}
