// Package kcdetour tells whether an instance reaches its upstreams, and opens
// connections to them through other instances while it does not.
package kcdetour

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// minUnreached is the number of addresses that must fail in a row before the instance
// counts as cut off: a single upstream may be down.
const minUnreached = 2

// Failure is how a connection could not be opened.
type Failure string

// Values of Failure, as in logs and metrics.
const (
	TimedOut Failure = "timeout"
	Refused  Failure = "refused"
	Reset    Failure = "reset"
	Other    Failure = "other"
)

// ClassifyFailure returns how opening a connection failed. ok is false if the caller
// has given up, which says nothing about the address.
func ClassifyFailure(err error) (f Failure, ok bool) {
	var netErr net.Error
	switch {
	case errors.Is(err, context.Canceled):
		return Other, false
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused, true
	case errors.Is(err, syscall.ECONNRESET):
		return Reset, true
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded),
		errors.As(err, &netErr) && netErr.Timeout():
		return TimedOut, true
	}
	return Other, true
}

// Reach records which upstreams this instance reaches by connections of its own.
type Reach struct {
	Clock kcclock.Clock
	Log   *slog.Logger
	// Count, if set, counts an event by name.
	Count func(name string)

	mu sync.Mutex
	// unreached holds the addresses that have failed since the last success, and
	// failures how often connections have failed in which way since then.
	unreached kcset.Set[string]
	failures  map[Failure]int
	// reachedAt is the time of the last success, 0 for never.
	reachedAt kcclock.Millis
	// lostAt is when the instance was found to be cut off, 0 if it is not.
	lostAt kcclock.Millis
}

// Record records the result of opening a connection to an upstream.
func (r *Reach) Record(addr string, err error) {
	now := r.Clock.Now()
	if err == nil {
		r.recordSuccess(addr, now)
		return
	}
	failure, ok := ClassifyFailure(err)
	if !ok {
		return
	}
	if r.Count != nil {
		r.Count("upstream.dialFailed." + string(failure))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreached == nil {
		r.unreached, r.failures = kcset.New[string](), make(map[Failure]int)
	}
	r.unreached.Add(addr)
	r.failures[failure]++
	if r.lostAt != 0 || len(r.unreached) < minUnreached {
		return
	}
	r.lostAt = now
	r.Log.Warn("upstreams are out of reach", "addresses", len(r.unreached), "timeouts", r.failures[TimedOut],
		"refused", r.failures[Refused], "resets", r.failures[Reset], "others", r.failures[Other], "reachedMsAgo", now-r.reachedAt)
}

func (r *Reach) recordSuccess(addr string, now kcclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostAt != 0 {
		r.Log.Info("upstreams are within reach again", "address", addr, "addresses", len(r.unreached), "timeouts",
			r.failures[TimedOut], "refused", r.failures[Refused], "resets", r.failures[Reset], "others", r.failures[Other],
			"lostMs", now-r.lostAt)
	}
	r.reachedAt, r.lostAt = now, 0
	clear(r.unreached)
	clear(r.failures)
}

// Unreached returns the number of addresses that have failed since the last success.
func (r *Reach) Unreached() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.unreached))
}

// LostMs returns for how long the instance has been cut off, 0 if it is not.
func (r *Reach) LostMs() kcclock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostAt == 0 {
		return 0
	}
	return r.Clock.Now() - r.lostAt
}
