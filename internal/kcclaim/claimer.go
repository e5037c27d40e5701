package kcclaim

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Verdict is the result of an attempt to acquire a key.
type Verdict int

// Values of Verdict. The numbers are part of the peer protocol; append new
// values at the end.
const (
	// Acquired means that the caller holds the key and must dispatch at most once.
	Acquired Verdict = iota + 1
	// InProgress means that another attempt holds the key and has not reported its
	// outcome.
	InProgress
	// HasOutcome means that the outcome of the key is recorded.
	HasOutcome
	// KeyReused means that the key was used with another request body.
	KeyReused
	// Unavailable means that the key could not be acquired. Nothing was sent and
	// nothing will be sent for this attempt.
	Unavailable
	// KeyExpired means that the key is older than the deduplication window.
	KeyExpired
	// HolderLost means that the attempt that holds the key is not expected to
	// report its outcome.
	HolderLost
)

// Decision is a verdict and the entry that it is based on.
type Decision struct {
	Verdict Verdict
	// Entry is set for Acquired, InProgress, HasOutcome, KeyReused and HolderLost.
	Entry Entry
	// Err is the reason why the key could not be acquired; set for Unavailable.
	Err error

	// recordMayArrive is true if the claim record may still be appended to the
	// log.
	recordMayArrive bool
}

// Reasons for Unavailable besides an outage of the log.
var (
	// ErrHistoryUnknown means that claims were trimmed before this instance read
	// them and the key carries no time that is newer than them.
	ErrHistoryUnknown = errors.New("claim: older claims are not known; use a UUIDv7 as the idempotency key")
	// ErrKeyTimeAhead means that the key is a UUIDv7 from a clock that is ahead.
	ErrKeyTimeAhead = errors.New("claim: the idempotency key carries a time more than a minute ahead; check the caller's clock")
	// ErrShardFull means that the shard has reached its maximum number of keys.
	ErrShardFull = errors.New("claim: the shard holds too many keys")
	// ErrAttemptClosed means that the attempt was closed or missed its deadline.
	ErrAttemptClosed = errors.New("claim: the attempt came too late")
)

const (
	claimIDPrefix   = "claim-"
	outcomeIDPrefix = "outcome-"

	defaultWindowMs         = kcclock.Day
	defaultMaxAnswerBytes   = 2 << 20
	defaultMaxKeys          = 10_000
	defaultForwardTimeoutMs = 250 * kcclock.Millisecond
	defaultOutcomeRetryMs   = 10 * kcclock.Minute

	// outcomeGraceMs is how long after its deadline an attempt may still report
	// its outcome.
	outcomeGraceMs = 10 * kcclock.Second
	// listingGraceMs is the minimum age of a claim before its instance counts as
	// gone for not being on the instance list. The list shows new instances with a
	// delay.
	listingGraceMs = 10 * kcclock.Second
	// maxOutcomeWaiters bounds the repeated requests that wait for an outcome on
	// one instance.
	maxOutcomeWaiters = 200
	minPollIntervalMs = 20 * kcclock.Millisecond
	maxPollIntervalMs = 500 * kcclock.Millisecond
)

// ClaimerOptions configures a Claimer. All instances must agree on Shards and
// WindowMs.
type ClaimerOptions struct {
	Log   kclog.Log
	Clock kcclock.Clock
	// Instance is the id of this instance.
	Instance string
	// Shards is the number of claim streams.
	Shards int
	// Budget bounds the appends; nil means no bound.
	Budget *kclog.Budget
	// BatchDelayMs is how long a claim waits for others to share its append.
	BatchDelayMs kcclock.Millis
	// WindowMs is the deduplication window: how long a key is remembered. 0 means
	// a day. The log must retain records for at least twice as long.
	WindowMs kcclock.Millis
	// MaxAnswerBytes bounds the recorded answers kept per shard; 0 means 2 MiB.
	MaxAnswerBytes int
	// MaxKeys bounds the held keys per shard, and the expired keys to 20 times as
	// many. 0 means 10,000, which take 8 MB with their outcomes and without
	// answers. Further keys are rejected with notRun until older ones leave the
	// window.
	MaxKeys int
	// ForwardTimeoutMs bounds a call to the owner of a shard; 0 means 250 ms.
	ForwardTimeoutMs kcclock.Millis
	// OutcomeRetryMs bounds how long an outcome record is retried; 0 means 10
	// minutes.
	OutcomeRetryMs kcclock.Millis
	// IsListed reports whether an instance is on the instance list, including
	// leaving ones. If nil, every instance counts as listed.
	IsListed func(instance string) bool
	// CountEvent increments the counter of the named event; nil disables counting.
	CountEvent func(name string)
	// BackoffMs is passed to kclog.AppenderOptions.
	BackoffMs kcclock.Millis
}

// Claimer acquires keys on behalf of one instance.
type Claimer struct {
	opts           ClaimerOptions
	appender       *kclog.Appender
	shards         []*shard
	outcomeRetries *outcomeRetryQueue
	outcomeWaiters atomic.Int64
	peers          Peers
}

// NewClaimer returns a Claimer that has not read the log yet.
func NewClaimer(opts ClaimerOptions) *Claimer {
	setDefault(&opts.WindowMs, defaultWindowMs)
	setDefault(&opts.MaxAnswerBytes, defaultMaxAnswerBytes)
	setDefault(&opts.MaxKeys, defaultMaxKeys)
	setDefault(&opts.ForwardTimeoutMs, defaultForwardTimeoutMs)
	setDefault(&opts.OutcomeRetryMs, defaultOutcomeRetryMs)
	if opts.CountEvent == nil {
		opts.CountEvent = func(string) {}
	}
	c := &Claimer{opts: opts}
	c.appender = kclog.NewAppender(kclog.AppenderOptions{
		Log: opts.Log, Clock: opts.Clock, Budget: opts.Budget, MaxDelayMs: opts.BatchDelayMs,
		BackoffMs: opts.BackoffMs,
	})
	c.outcomeRetries = newOutcomeRetryQueue(c)
	for i := range opts.Shards {
		c.shards = append(c.shards, newShard(opts, Stream(i)))
	}
	return c
}

// Stream returns the name of the stream of a shard.
func Stream(shard int) string { return fmt.Sprintf("claims-%02d", shard) }

func setDefault[T comparable](v *T, fallback T) {
	var zero T
	if *v == zero {
		*v = fallback
	}
}

// Acquire tries to acquire the key of claim. It returns Acquired only after it
// has read its own claim record back from the log. If another attempt holds the
// key, it waits for the outcome until the deadline of claim or the end of ctx.
//
// An attempt is limited to the deduplication window. In a longer attempt, other
// claims could be appended and trimmed between the lookup of the key and the
// read-back.
func (c *Claimer) Acquire(ctx context.Context, claim Claim) Decision {
	claim.Deadline = min(claim.Deadline, c.opts.Clock.Now()+c.opts.WindowMs)
	d := c.tryAcquire(ctx, claim)
	if d.Verdict == InProgress {
		d = c.awaitOutcome(ctx, claim, d)
	}
	if d.Verdict == Acquired && c.opts.Clock.Now() > claim.Deadline {
		d = Decision{Verdict: Unavailable, Err: ErrAttemptClosed, recordMayArrive: true}
	}
	if d.recordMayArrive && d.Verdict != Acquired {
		// The claim record may still be appended. A closed attempt cannot hold the
		// key.
		c.opts.CountEvent("claims.closed")
		err := c.outcomeRetries.enqueue(Outcome{Key: claim.Key, Attempt: claim.Attempt, Deadline: claim.Deadline, Execution: notRun})
		d.Err = errors.Join(d.Err, err)
	}
	return d
}

// tryAcquire makes one attempt. It continues after the caller has disconnected,
// because an append cannot be undone.
func (c *Claimer) tryAcquire(ctx context.Context, claim Claim) Decision {
	remainingMs := claim.Deadline - c.opts.Clock.Now()
	if remainingMs <= 0 {
		return Decision{Verdict: Unavailable, Err: ErrAttemptClosed}
	}
	ctx, cancel := kcclock.WithTimeout(context.WithoutCancel(ctx), c.opts.Clock, remainingMs)
	defer cancel()
	s := c.shardOf(claim.Key)
	d, sent, err := c.forwardClaim(ctx, s, claim)
	if err == nil {
		return d
	}
	d = c.acquireLocally(ctx, s, claim)
	d.recordMayArrive = d.recordMayArrive || sent
	return d
}

// acquireLocally appends the claim from this instance unless the key is already
// held or cannot be claimed.
func (c *Claimer) acquireLocally(ctx context.Context, s *shard, claim Claim) Decision {
	if err := s.follower.CatchUp(ctx); err != nil {
		return Decision{Verdict: Unavailable, Err: err}
	}
	if d, claimable := s.decideClaim(claim); !claimable {
		return d
	}
	_, err := c.appender.Append(ctx, s.stream, []kclog.NewRecord{kclog.Encode(claimIDPrefix+claim.Attempt, KindClaim, claim)})
	if err != nil && !errors.Is(err, kclog.ErrAnswerLost) {
		return Decision{Verdict: Unavailable, Err: err}
	}
	answerLost := err != nil
	if err := s.follower.CatchUp(ctx); err != nil {
		return Decision{Verdict: Unavailable, Err: err, recordMayArrive: true}
	}
	d, claimable := s.decideClaim(claim)
	if claimable {
		d = Decision{Verdict: Unavailable, Err: errors.Join(ErrAttemptClosed, err)}
	}
	d.recordMayArrive = answerLost
	return d
}

// awaitOutcome retries with exponential backoff until the holder of the key has
// reported its outcome.
func (c *Claimer) awaitOutcome(ctx context.Context, claim Claim, d Decision) Decision {
	if c.outcomeWaiters.Add(1) > maxOutcomeWaiters {
		c.outcomeWaiters.Add(-1)
		return d
	}
	defer c.outcomeWaiters.Add(-1)
	ctx, cancel := kcclock.WithTimeout(ctx, c.opts.Clock, claim.Deadline-c.opts.Clock.Now())
	defer cancel()
	for pause := minPollIntervalMs; d.Verdict == InProgress; pause = min(2*pause, maxPollIntervalMs) {
		if kcclock.Wait(ctx, c.opts.Clock, pause) != nil || c.opts.Clock.Now() >= claim.Deadline {
			return d
		}
		next := c.tryAcquire(ctx, claim)
		next.recordMayArrive = next.recordMayArrive || d.recordMayArrive
		d = next
	}
	return d
}

// ReportOutcome records the outcome of an attempt. An outcome that cannot be
// appended at once is queued for retries in the background. It returns an error
// only if the queue is full.
func (c *Claimer) ReportOutcome(ctx context.Context, o Outcome) error {
	if err := c.appendOutcome(ctx, o); err == nil {
		return nil
	}
	return c.outcomeRetries.enqueue(o)
}

// appendOutcome has the owner of the shard append the outcome in a batch, and
// appends it from this instance if that fails.
func (c *Claimer) appendOutcome(ctx context.Context, o Outcome) error {
	if c.forwardOutcome(ctx, c.shardOf(o.Key), o) == nil {
		return nil
	}
	return c.appendOutcomeLocally(ctx, o)
}

func (c *Claimer) appendOutcomeLocally(ctx context.Context, o Outcome) error {
	_, err := c.appender.Append(ctx, c.shardOf(o.Key).stream,
		[]kclog.NewRecord{kclog.Encode(outcomeIDPrefix+o.Attempt, KindOutcome, o)})
	return err
}

func (c *Claimer) shardOf(k Key) *shard {
	return c.shards[kcset.Shard(k.String(), len(c.shards))]
}
