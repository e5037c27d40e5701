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

// Verdict is the result of a try to acquire a key.
type Verdict int

// Values of Verdict. They cross the wire; new ones go to the end.
const (
	// Won means that the caller holds the key and must dispatch at most once.
	Acquired Verdict = iota + 1
	// Running means that another attempt holds the key and has not reported.
	InProgress
	// Done means that the key has an outcome.
	HasOutcome
	// Reused means that the key was used with another request body.
	KeyReused
	// Unavailable means that the key could not be acquired. Nothing was sent
	// and nothing will be sent for this attempt.
	Unavailable
	// Expired means that the key is older than the window.
	KeyExpired
	// Lost means that the attempt that holds the key will not report any more.
	HolderLost
)

// Decision is the verdict and the entry it rests on.
type Decision struct {
	Verdict Verdict
	// Entry is set for Won, Running, Done, Reused and Lost.
	Entry Entry
	// Err tells why the key could not be acquired; set for Unavailable.
	Err error

	// late is true if the claim record may still reach the log.
	recordMayArrive bool
}

// Reasons for Unavailable beside an outage of the log.
var (
	// ErrHistoryUnknown means that claims were trimmed unread and the key carries no
	// time that is newer than them.
	ErrHistoryUnknown = errors.New("claim: older claims are not known; use a UUIDv7 as the idempotency key")
	// ErrKeyTimeAhead means that the key is a UUIDv7 of a clock that is wrong.
	ErrKeyTimeAhead = errors.New("claim: the idempotency key carries a time more than a minute ahead; check the caller's clock")
	// ErrShardFull means that the shard holds as many keys as it may.
	ErrShardFull = errors.New("claim: the shard holds too many keys")
	// ErrAttemptClosed means that the attempt was closed or came too late.
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

	// outcomeGraceMs is how long after its deadline an attempt may still report.
	outcomeGraceMs = 10 * kcclock.Second
	// listingGraceMs is the age of a claim from which an instance that is not on the
	// list counts as gone; the list lags behind for new instances.
	listingGraceMs = 10 * kcclock.Second
	// maxOutcomeWaiters bounds the repeats that wait for an outcome at one instance.
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
	// BatchDelayMs is how long a claim waits for others.
	BatchDelayMs kcclock.Millis
	// WindowMs is how long a key is remembered; 0 means a day. The log must
	// retain records for at least twice as long.
	WindowMs kcclock.Millis
	// MaxAnswerBytes bounds the recorded answers kept per shard; 0 means 2 MiB.
	MaxAnswerBytes int
	// MaxKeys bounds the held keys per shard, and 20 times as many expired ones;
	// 0 means 10,000, which take 8 MB with their outcomes and without answers.
	// More keys are refused with notRun until older ones leave the window.
	MaxKeys int
	// ForwardTimeoutMs bounds a call to the owner of a shard; 0 means 250.
	ForwardTimeoutMs kcclock.Millis
	// OutcomeRetryMs bounds the retries of an outcome record; 0 means 10 minutes.
	OutcomeRetryMs kcclock.Millis
	// Live tells whether an instance is on the list, leaving ones included; nil
	// means that nothing is known about others.
	IsListed func(instance string) bool
	// Count counts an event by name; nil counts nothing.
	CountEvent func(name string)
	// BackoffMs is that of kclog.AppenderOptions.
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

// NewClaimer returns a claimer that has read nothing yet.
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

// Acquire tries to get the key. It reads the log back to the own claim record
// before it says Won. If another attempt holds the key, it waits for the
// outcome until the deadline of claim or the end of ctx.
//
// A try takes at most the window. In a longer one, claims could come and be
// trimmed between the look at the key and the read-back.
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
		// The record may still arrive. A closed attempt cannot hold the key.
		c.opts.CountEvent("claims.closed")
		err := c.outcomeRetries.enqueue(Outcome{Key: claim.Key, Attempt: claim.Attempt, Deadline: claim.Deadline, Execution: notRun})
		d.Err = errors.Join(d.Err, err)
	}
	return d
}

// acquire is one try. It goes on when the caller leaves, because its append
// cannot be taken back.
func (c *Claimer) tryAcquire(ctx context.Context, claim Claim) Decision {
	left := claim.Deadline - c.opts.Clock.Now()
	if left <= 0 {
		return Decision{Verdict: Unavailable, Err: ErrAttemptClosed}
	}
	ctx, cancel := kcclock.WithTimeout(context.WithoutCancel(ctx), c.opts.Clock, left)
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

// acquireLocally appends the claim from this instance unless the key is taken.
func (c *Claimer) acquireLocally(ctx context.Context, s *shard, claim Claim) Decision {
	if err := s.follower.CatchUp(ctx); err != nil {
		return Decision{Verdict: Unavailable, Err: err}
	}
	if d, free := s.decideClaim(claim); !free {
		return d
	}
	_, err := c.appender.Append(ctx, s.stream, []kclog.NewRecord{kclog.Encode(claimIDPrefix+claim.Attempt, KindClaim, claim)})
	if err != nil && !errors.Is(err, kclog.ErrAnswerLost) {
		return Decision{Verdict: Unavailable, Err: err}
	}
	lost := err != nil
	if err := s.follower.CatchUp(ctx); err != nil {
		return Decision{Verdict: Unavailable, Err: err, recordMayArrive: true}
	}
	d, free := s.decideClaim(claim)
	if free {
		d = Decision{Verdict: Unavailable, Err: errors.Join(ErrAttemptClosed, err)}
	}
	d.recordMayArrive = lost
	return d
}

// await repeats the try until the holder of the key has reported.
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

// ReportOutcome records the outcome of an attempt. An outcome that does not reach the
// log at once is retried in the background; the error says that this was not
// possible either.
func (c *Claimer) ReportOutcome(ctx context.Context, o Outcome) error {
	if err := c.appendOutcome(ctx, o); err == nil {
		return nil
	}
	return c.outcomeRetries.enqueue(o)
}

// appendOutcome lets the owner of the shard append the outcome in a batch, or
// appends it from here.
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
