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

// Errors that callers distinguish.
var (
	// ErrHeld means that another instance holds the lease.
	ErrHeld = errors.New("lease: held by another instance")
	// ErrExpired means that the lease has ended or may have ended.
	ErrExpired = errors.New("lease: expired")
	// ErrHistoryUnknown means that lease records were trimmed before this instance
	// read them and no snapshot covers them yet.
	ErrHistoryUnknown = errors.New("lease: older lease records were trimmed and no snapshot covers them")
)

const (
	defaultLeaseMs = 30 * kcclock.Second
	// clockDriftDivisor bounds clock drift: a clock may gain or lose up to 1/20 of
	// a lease.
	clockDriftDivisor = 20
)

// ManagerOptions configures a Manager.
type ManagerOptions struct {
	Log   kclog.Log
	Clock kcclock.Clock
	// Instance is the id of this instance, which is also the sender of its orders.
	Instance string
	Budget   *kclog.Budget
	// DurationMs is the length of a lease; 0 means 30 s.
	DurationMs kcclock.Millis
	// MaxOrderDelayMs is the longest time between sending an order and its effect
	// at an upstream that ignores fencing tokens.
	MaxOrderDelayMs kcclock.Millis
	// BackoffMs is passed to kclog.AppenderOptions.
	BackoffMs kcclock.Millis
}

// Lease is the exclusive right to send orders for a resource. Its times are
// those of the local clock. They are conservative: by the log time, the lease
// ends no earlier than ValidUntil.
type Lease struct {
	Resource string
	Fence    int64
	// ValidUntil is the time from which the holder must not send orders.
	ValidUntil kcclock.Millis
	// UnfencedSendFrom is the earliest time to send an order to an upstream that
	// ignores fencing tokens. By then every order sent under the previous lease
	// has taken effect.
	UnfencedSendFrom kcclock.Millis
}

// MaySend reports whether the holder may send an order at local time now.
func (l Lease) MaySend(now kcclock.Millis, ignoresFence bool) bool {
	return now < l.ValidUntil && (!ignoresFence || now >= l.UnfencedSendFrom)
}

// Manager acquires, renews and releases leases on behalf of one instance.
type Manager struct {
	opts     ManagerOptions
	appender *kclog.Appender
	follower *kclog.Follower

	mu    sync.Mutex
	state *StreamState
}

// NewManager returns a Manager that has not read the log yet.
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

// Acquire tries to get the lease of a resource. The error wraps ErrHeld if
// another instance holds it.
func (k *Manager) Acquire(ctx context.Context, resource string) (Lease, error) {
	if s, err := k.readResource(ctx, resource); err != nil {
		return Lease{}, err
	} else if s.CurrentLease.End > k.logTime() {
		return Lease{}, fmt.Errorf("%w: %s holds %s", ErrHeld, s.CurrentLease.Holder, resource)
	}
	id, sentAt := "lease-"+kclog.NewID(), k.opts.Clock.Now()
	request := LeaseRequest{
		Resource: resource, Holder: k.opts.Instance, DurationMs: k.opts.DurationMs, Deadline: k.logTime() + k.opts.DurationMs,
	}
	if err := k.appendRecord(ctx, kclog.Encode(id, KindLease, request)); errors.Is(err, kclog.ErrUnavailable) {
		return Lease{}, err
	}
	// If the append response was lost, the log shows whether the lease was
	// granted.
	s, err := k.readResource(ctx, resource)
	if err != nil {
		return Lease{}, err
	}
	if s.CurrentLease.ID != id {
		return Lease{}, fmt.Errorf("%w: %s holds %s", ErrHeld, s.CurrentLease.Holder, resource)
	}
	l := Lease{Resource: resource, Fence: s.CurrentLease.Fence, UnfencedSendFrom: k.opts.Clock.Now()}
	l.ValidUntil = k.validUntil(sentAt)
	if s.PreviousLeaseEnd > 0 {
		// The log appended the record before now, so adding the wait to the local
		// time is late enough regardless of the clock offset.
		wait := s.PreviousLeaseEnd + k.opts.MaxOrderDelayMs - s.CurrentLease.Start
		l.UnfencedSendFrom += max(wait, 0) + max(wait, 0)/clockDriftDivisor
	}
	return l, nil
}

// validUntil returns the local time until which a lease may be used whose
// record was sent at sentAt. The log cannot have appended the record before
// that. The drift allowance is subtracted.
func (k *Manager) validUntil(sentAt kcclock.Millis) kcclock.Millis {
	return sentAt + k.opts.DurationMs - k.opts.DurationMs/clockDriftDivisor
}

// Renew extends the lease. If the append fails or its result cannot be read
// back, the lease keeps its previous end.
func (k *Manager) Renew(ctx context.Context, l *Lease) error {
	if k.opts.Clock.Now() >= l.ValidUntil {
		return ErrExpired
	}
	sentAt := k.opts.Clock.Now()
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
	l.ValidUntil = k.validUntil(sentAt)
	return nil
}

// Release ends the lease early. The holder must not send orders afterwards.
func (k *Manager) Release(ctx context.Context, l *Lease) error {
	l.ValidUntil = 0
	return k.appendRecord(ctx, kclog.Encode("release-"+kclog.NewID(), KindRelease, LeaseUpdate{
		Resource: l.Resource, Fence: l.Fence,
	}))
}

// AppendSnapshot appends the current state to the log, so that instances
// without state can start after older records have been trimmed. It does
// nothing if the newest snapshot is younger than everyMs.
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

// readResource reads to the end of the log and returns a copy of the state of
// the resource.
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
