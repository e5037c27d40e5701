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
	Won Verdict = iota + 1
	// Running means that another attempt holds the key and has not reported.
	Running
	// Done means that the key has an outcome.
	Done
	// Reused means that the key was used with another request body.
	Reused
	// Unavailable means that the key could not be acquired. Nothing was sent
	// and nothing will be sent for this attempt.
	Unavailable
	// Expired means that the key is older than the window.
	Expired
	// Lost means that the attempt that holds the key will not report any more.
	Lost
)

// Decision is the verdict and the entry it rests on.
type Decision struct {
	Verdict Verdict
	// Entry is set for Won, Running, Done, Reused and Lost.
	Entry Entry
	// Err tells why the key could not be acquired; set for Unavailable.
	Err error

	// late is true if the claim record may still reach the log.
	late bool
}

// Reasons for Unavailable beside an outage of the log.
var (
	// ErrHistory means that claims were trimmed unread and the key carries no
	// time that is newer than them.
	ErrHistory = errors.New("claim: older claims are not known; use a UUIDv7 as the idempotency key")
	// ErrAhead means that the key is a UUIDv7 of a clock that is wrong.
	ErrAhead = errors.New("claim: the idempotency key carries a time more than a minute ahead; check the caller's clock")
	// ErrFull means that the shard holds as many keys as it may.
	ErrFull = errors.New("claim: the shard holds too many keys")
	// ErrGivenUp means that the attempt was closed or came too late.
	ErrGivenUp = errors.New("claim: the attempt came too late")
)

const (
	idClaim   = "claim-"
	idOutcome = "outcome-"

	defaultWindow      = kcclock.Day
	defaultAnswerBytes = 2 << 20
	defaultMaxKeys     = 10_000
	defaultForward     = 250 * kcclock.Millisecond
	defaultRelease     = 10 * kcclock.Minute

	// outcomeGrace is how long after its deadline an attempt may still report.
	outcomeGrace = 10 * kcclock.Second
	// listGrace is the age of a claim from which an instance that is not on the
	// list counts as gone; the list lags behind for new instances.
	listGrace = 10 * kcclock.Second
	// maxWaiters bounds the repeats that wait for an outcome at one instance.
	maxWaiters = 200
	firstPause = 20 * kcclock.Millisecond
	maxPause   = 500 * kcclock.Millisecond
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
	// BatchMs is how long a claim waits for others.
	BatchMs kcclock.Millis
	// WindowMs is how long a key is remembered; 0 means a day. The log must
	// retain records for at least twice as long.
	WindowMs kcclock.Millis
	// MaxResponseBytes bounds the recorded answers kept per shard; 0 means 2 MiB.
	MaxAnswerBytes int
	// MaxKeys bounds the held keys per shard, and 20 times as many expired ones;
	// 0 means 10,000, which take 8 MB with their outcomes and without answers.
	// More keys are refused with notRun until older ones leave the window.
	MaxKeys int
	// ForwardMs bounds a call to the owner of a shard; 0 means 250.
	ForwardMs kcclock.Millis
	// ReleaseMs bounds the retries of an outcome record; 0 means 10 minutes.
	ReleaseMs kcclock.Millis
	// Live tells whether an instance is on the list, leaving ones included; nil
	// means that nothing is known about others.
	Live func(instance string) bool
	// Count counts an event by name; nil counts nothing.
	Count func(name string)
	// BackoffMs is that of kclog.AppenderOptions.
	BackoffMs kcclock.Millis
}

// Claimer acquires keys on behalf of one instance.
type Claimer struct {
	opts     ClaimerOptions
	appender *kclog.Appender
	shards   []*shard
	releases *releases
	waiters  atomic.Int64
	peers    Peers
}

// NewClaimer returns a claimer that has read nothing yet.
func NewClaimer(opts ClaimerOptions) *Claimer {
	setDefault(&opts.WindowMs, defaultWindow)
	setDefault(&opts.MaxAnswerBytes, defaultAnswerBytes)
	setDefault(&opts.MaxKeys, defaultMaxKeys)
	setDefault(&opts.ForwardMs, defaultForward)
	setDefault(&opts.ReleaseMs, defaultRelease)
	if opts.Count == nil {
		opts.Count = func(string) {}
	}
	c := &Claimer{opts: opts}
	c.appender = kclog.NewAppender(kclog.AppenderOptions{
		Log: opts.Log, Clock: opts.Clock, Budget: opts.Budget, MaxDelayMs: opts.BatchMs,
		BackoffMs: opts.BackoffMs,
	})
	c.releases = newReleases(c)
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
	d := c.acquire(ctx, claim)
	if d.Verdict == Running {
		d = c.await(ctx, claim, d)
	}
	if d.Verdict == Won && c.opts.Clock.Now() > claim.Deadline {
		d = Decision{Verdict: Unavailable, Err: ErrGivenUp, late: true}
	}
	if d.late && d.Verdict != Won {
		// The record may still arrive. A closed attempt cannot hold the key.
		c.opts.Count("claims.closed")
		err := c.releases.add(Outcome{Key: claim.Key, Attempt: claim.Attempt, Deadline: claim.Deadline, Execution: notRun})
		d.Err = errors.Join(d.Err, err)
	}
	return d
}

// acquire is one try. It goes on when the caller leaves, because its append
// cannot be taken back.
func (c *Claimer) acquire(ctx context.Context, claim Claim) Decision {
	left := claim.Deadline - c.opts.Clock.Now()
	if left <= 0 {
		return Decision{Verdict: Unavailable, Err: ErrGivenUp}
	}
	ctx, cancel := kcclock.WithTimeout(context.WithoutCancel(ctx), c.opts.Clock, left)
	defer cancel()
	s := c.shardOf(claim.Key)
	d, sent, err := c.forward(ctx, s, claim)
	if err == nil {
		return d
	}
	d = c.acquireHere(ctx, s, claim)
	d.late = d.late || sent
	return d
}

// acquireHere appends the claim from this instance unless the key is taken.
func (c *Claimer) acquireHere(ctx context.Context, s *shard, claim Claim) Decision {
	if err := s.follower.CatchUp(ctx); err != nil {
		return Decision{Verdict: Unavailable, Err: err}
	}
	if d, free := s.decide(claim); !free {
		return d
	}
	_, err := c.appender.Append(ctx, s.stream, []kclog.NewRecord{kclog.Encode(idClaim+claim.Attempt, KindClaim, claim)})
	if err != nil && !errors.Is(err, kclog.ErrAnswerLost) {
		return Decision{Verdict: Unavailable, Err: err}
	}
	lost := err != nil
	if err := s.follower.CatchUp(ctx); err != nil {
		return Decision{Verdict: Unavailable, Err: err, late: true}
	}
	d, free := s.decide(claim)
	if free {
		d = Decision{Verdict: Unavailable, Err: errors.Join(ErrGivenUp, err)}
	}
	d.late = lost
	return d
}

// await repeats the try until the holder of the key has reported.
func (c *Claimer) await(ctx context.Context, claim Claim, d Decision) Decision {
	if c.waiters.Add(1) > maxWaiters {
		c.waiters.Add(-1)
		return d
	}
	defer c.waiters.Add(-1)
	ctx, cancel := kcclock.WithTimeout(ctx, c.opts.Clock, claim.Deadline-c.opts.Clock.Now())
	defer cancel()
	for pause := firstPause; d.Verdict == Running; pause = min(2*pause, maxPause) {
		if kcclock.Wait(ctx, c.opts.Clock, pause) != nil || c.opts.Clock.Now() >= claim.Deadline {
			return d
		}
		next := c.acquire(ctx, claim)
		next.late = next.late || d.late
		d = next
	}
	return d
}

// Report records the outcome of an attempt. An outcome that does not reach the
// log at once is retried in the background; the error says that this was not
// possible either.
func (c *Claimer) Report(ctx context.Context, o Outcome) error {
	if err := c.appendOutcome(ctx, o); err == nil {
		return nil
	}
	return c.releases.add(o)
}

// appendOutcome lets the owner of the shard append the outcome in a batch, or
// appends it from here.
func (c *Claimer) appendOutcome(ctx context.Context, o Outcome) error {
	if c.forwardOutcome(ctx, c.shardOf(o.Key), o) == nil {
		return nil
	}
	return c.appendHere(ctx, o)
}

func (c *Claimer) appendHere(ctx context.Context, o Outcome) error {
	_, err := c.appender.Append(ctx, c.shardOf(o.Key).stream,
		[]kclog.NewRecord{kclog.Encode(idOutcome+o.Attempt, KindOutcome, o)})
	return err
}

func (c *Claimer) shardOf(k Key) *shard {
	return c.shards[kcset.Shard(k.String(), len(c.shards))]
}
