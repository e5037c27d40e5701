package kclease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Errors that a caller has to tell apart.
var (
	// ErrHeld means that another instance holds the lease.
	ErrHeld = errors.New("lease: held by another instance")
	// ErrExpired means that the lease is over or may be over.
	ErrExpired = errors.New("lease: lapsed")
	// ErrHistoryUnknown means that leases were trimmed unread and no snapshot covers
	// them yet.
	ErrHistoryUnknown = errors.New("lease: older leases are not known")
)

const (
	defaultLeaseMs = 30 * kcclock.Second
	// clockDriftDivisor is the part of a lease that a clock may gain or lose: 1/20.
	clockDriftDivisor = 20
)

// ManagerOptions configures a Keeper.
type ManagerOptions struct {
	Log   kclog.Log
	Clock kcclock.Clock
	// Instance is the id of this instance and the sender of its orders.
	Instance string
	Budget   *kclog.Budget
	// DurationMs is the length of a lease; 0 means 30 s.
	DurationMs kcclock.Millis
	// MaxOrderDelayMs is the longest time from the send of an order to its
	// effect at an upstream that ignores fencing numbers.
	MaxOrderDelayMs kcclock.Millis
	// BackoffMs is that of kclog.AppenderOptions.
	BackoffMs kcclock.Millis
}

// Lease is the right to give orders for a resource. Its times are those of
// the own clock, and on the safe side of those of the log.
type Lease struct {
	Resource string
	Fence    int64
	// ValidUntil is the time at which the holder must stop.
	ValidUntil kcclock.Millis
	// UnfencedSendFrom is the earliest time for an order to an upstream that
	// ignores fencing numbers: by then every order of the lease before has
	// taken effect.
	UnfencedSendFrom kcclock.Millis
}

// MaySend reports whether the holder may send an order at the time now of its
// own clock.
func (l Lease) MaySend(now kcclock.Millis, ignoresFence bool) bool {
	return now < l.ValidUntil && (!ignoresFence || now >= l.UnfencedSendFrom)
}

// Manager acquires leases on behalf of one instance.
type Manager struct {
	opts     ManagerOptions
	appender *kclog.Appender
	follower *kclog.Follower

	mu    sync.Mutex
	state *StreamState
}

// NewManager returns a keeper that has read nothing yet.
func NewManager(opts ManagerOptions) *Manager {
	if opts.DurationMs <= 0 {
		opts.DurationMs = defaultLeaseMs
	}
	k := &Manager{opts: opts, state: NewStreamState()}
	k.appender = kclog.NewAppender(kclog.AppenderOptions{
		Log: opts.Log, Clock: opts.Clock, Budget: opts.Budget, BackoffMs: opts.BackoffMs,
	})
	k.follower = kclog.NewFollower(kclog.FollowerOptions{
		Log: opts.Log, Clock: opts.Clock, Stream: Stream,
		Fold: func(r kclog.Record) { k.withLock(func() { k.state.Fold(r) }) },
		Gap:  func(from, to int64) { k.withLock(func() { k.state.HandleGap(from, to) }) },
		Page: func(p kclog.Page) { k.withLock(func() { k.state.HandlePage(p) }) },
	})
	return k
}

func (k *Manager) withLock(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
}

// Acquire tries to get the lease of a resource.
func (k *Manager) Acquire(ctx context.Context, resource string) (Lease, error) {
	if s, err := k.readResource(ctx, resource); err != nil {
		return Lease{}, err
	} else if s.CurrentLease.End > k.logTime() {
		return Lease{}, fmt.Errorf("%w: %s holds %s", ErrHeld, s.CurrentLease.Holder, resource)
	}
	id, sent := "lease-"+kclog.NewID(), k.opts.Clock.Now()
	q := LeaseRequest{
		Resource: resource, Holder: k.opts.Instance, DurationMs: k.opts.DurationMs, Deadline: k.logTime() + k.opts.DurationMs,
	}
	if err := k.appendRecord(ctx, kclog.Encode(id, KindLease, q)); errors.Is(err, kclog.ErrUnavailable) {
		return Lease{}, err
	}
	// After a lost answer the fold tells whether the lease was granted.
	s, err := k.readResource(ctx, resource)
	if err != nil {
		return Lease{}, err
	}
	if s.CurrentLease.ID != id {
		return Lease{}, fmt.Errorf("%w: %s holds %s", ErrHeld, s.CurrentLease.Holder, resource)
	}
	l := Lease{Resource: resource, Fence: s.CurrentLease.Fence, UnfencedSendFrom: k.opts.Clock.Now()}
	l.ValidUntil = k.validUntil(sent)
	if s.PreviousLeaseEnd > 0 {
		// The log appended the record before now, so this is late enough
		// whatever the own clock shows.
		wait := s.PreviousLeaseEnd + k.opts.MaxOrderDelayMs - s.CurrentLease.Start
		l.UnfencedSendFrom += max(wait, 0) + max(wait, 0)/clockDriftDivisor
	}
	return l, nil
}

// validUntil is the end of a lease whose record was sent at sent: the log
// cannot have appended it earlier.
func (k *Manager) validUntil(sent kcclock.Millis) kcclock.Millis {
	return sent + k.opts.DurationMs - k.opts.DurationMs/clockDriftDivisor
}

// Renew extends the lease. If the answer is lost and the fold does not show the
// renewal, the lease keeps its old end.
func (k *Manager) Renew(ctx context.Context, l *Lease) error {
	if k.opts.Clock.Now() >= l.ValidUntil {
		return ErrExpired
	}
	sent := k.opts.Clock.Now()
	r := kclog.Encode("renew-"+kclog.NewID(), KindRenew, LeaseUpdate{
		Resource: l.Resource, Fence: l.Fence, DurationMs: k.opts.DurationMs,
	})
	if err := k.appendRecord(ctx, r); err != nil {
		return err
	}
	s, err := k.readResource(ctx, l.Resource)
	if err != nil {
		return err
	}
	if s.CurrentLease.Fence != l.Fence || s.CurrentLease.End <= k.logTime() {
		l.ValidUntil = 0
		return ErrExpired
	}
	l.ValidUntil = k.validUntil(sent)
	return nil
}

// Release ends the lease early. The holder must not send orders after it.
func (k *Manager) Release(ctx context.Context, l *Lease) error {
	l.ValidUntil = 0
	return k.appendRecord(ctx, kclog.Encode("release-"+kclog.NewID(), KindRelease, LeaseUpdate{Resource: l.Resource, Fence: l.Fence}))
}

// AppendSnapshot appends the folded state, so that readers without state can start
// when older records have been trimmed. It does nothing if the newest snapshot
// is younger than everyMs.
func (k *Manager) AppendSnapshot(ctx context.Context, everyMs kcclock.Millis) error {
	if err := k.follower.CatchUp(ctx); err != nil {
		return err
	}
	var rec kclog.NewRecord
	k.withLock(func() {
		if k.state.historyComplete && k.state.nextOffset > 0 && k.state.logNow >= k.state.lastSnapshotAt+everyMs {
			rec = kclog.Encode("snapshot-"+kclog.NewID(), KindSnapshot, k.state.Snapshot())
		}
	})
	if rec.ID == "" {
		return nil
	}
	return k.appendRecord(ctx, rec)
}

func (k *Manager) appendRecord(ctx context.Context, r kclog.NewRecord) error {
	_, err := k.appender.Append(ctx, Stream, []kclog.NewRecord{r})
	return err
}

// read folds to the end of the log and returns a copy of the resource.
func (k *Manager) readResource(ctx context.Context, resource string) (ResourceState, error) {
	if err := k.follower.CatchUp(ctx); err != nil {
		return ResourceState{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.state.historyComplete {
		return ResourceState{}, ErrHistoryUnknown
	}
	s, known := k.state.resources[resource]
	if !known {
		return ResourceState{}, nil
	}
	b, err := json.Marshal(s)
	if err != nil {
		return ResourceState{}, errs.Wrap(err)
	}
	var copied ResourceState
	return copied, errs.Wrap(json.Unmarshal(b, &copied))
}

func (k *Manager) logTime() kcclock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.logNow
}
