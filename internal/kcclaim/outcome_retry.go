package kcclaim

import (
	"context"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const (
	// maxPendingOutcomes bounds the outcomes queued for retries.
	maxPendingOutcomes     = 1000
	outcomeRetryIntervalMs = 200 * kcclock.Millisecond
	// checkpointCheckIntervalMs is the interval between checks for due
	// checkpoints.
	checkpointCheckIntervalMs = kcclock.Minute
)

// outcomeRetryQueue holds the outcomes that are not in the log yet.
type outcomeRetryQueue struct {
	c    *Claimer
	wake chan struct{}

	mu              sync.Mutex
	pendingOutcomes []pendingOutcome
}

type pendingOutcome struct {
	outcome    Outcome
	retryUntil kcclock.Millis
}

func newOutcomeRetryQueue(c *Claimer) *outcomeRetryQueue {
	return &outcomeRetryQueue{c: c, wake: make(chan struct{}, 1)}
}

func (r *outcomeRetryQueue) enqueue(o Outcome) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pendingOutcomes) >= maxPendingOutcomes {
		r.c.opts.CountEvent("claims.outcomesDropped")
		return errs.New("claim: the retry queue is full with %d outcomes", maxPendingOutcomes)
	}
	r.pendingOutcomes = append(r.pendingOutcomes, pendingOutcome{
		outcome: o, retryUntil: r.c.opts.Clock.Now() + r.c.opts.OutcomeRetryMs,
	})
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return nil
}

// appendPending tries to append the pending outcomes once and returns how many
// are left.
func (r *outcomeRetryQueue) appendPending(ctx context.Context) int {
	r.mu.Lock()
	batch := r.pendingOutcomes
	r.pendingOutcomes = nil
	r.mu.Unlock()
	failed := make([]bool, len(batch))
	var wg sync.WaitGroup
	for i, p := range batch {
		wg.Go(func() { failed[i] = r.c.appendOutcome(ctx, p.outcome) != nil })
	}
	wg.Wait()
	now := r.c.opts.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range batch {
		switch {
		case !failed[i]:
		case p.retryUntil <= now:
			r.c.opts.CountEvent("claims.outcomesDropped")
		default:
			r.pendingOutcomes = append(r.pendingOutcomes, p)
		}
	}
	return len(r.pendingOutcomes)
}

// FlushOutcomes retries the pending outcomes until all are appended or ctx
// ends.
func (c *Claimer) FlushOutcomes(ctx context.Context) error {
	for {
		remaining := c.outcomeRetries.appendPending(ctx)
		if remaining == 0 {
			return nil
		}
		if kcclock.Wait(ctx, c.opts.Clock, outcomeRetryIntervalMs) != nil {
			return errs.New("claim: %d outcomes could not be appended to the log; the outcomes of their keys stay unknown", remaining)
		}
	}
}

// Run retries pending outcomes and appends due checkpoints until ctx ends. It
// then closes the returned channel.
func (c *Claimer) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		checkpointDue := c.opts.Clock.After(checkpointCheckIntervalMs)
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-c.outcomeRetries.wake:
				_ = c.FlushOutcomes(ctx)
			case <-checkpointDue:
				c.AppendCheckpoints(ctx)
				checkpointDue = c.opts.Clock.After(checkpointCheckIntervalMs)
			}
		}
	}()
	return done
}

// AppendCheckpoints appends the due checkpoints of the shards that this
// instance owns. A second checkpoint from another instance does no harm.
func (c *Claimer) AppendCheckpoints(ctx context.Context) {
	for _, s := range c.shards {
		if c.peers != nil && kcset.Owner(s.stream, c.peers.LiveInstances()) != c.opts.Instance {
			continue
		}
		if s.follower.CatchUp(ctx) != nil {
			continue
		}
		var recs []kclog.NewRecord
		s.withLock(func() { recs = s.state.CheckpointRecords(kclog.NewID()) })
		if len(recs) == 0 {
			continue
		}
		if _, err := c.appender.Append(ctx, s.stream, recs); err != nil {
			c.opts.CountEvent("claims.checkpointsFailed")
		}
	}
}
