package kclog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// GuardOptions configures a Guard.
type GuardOptions struct {
	Log   Log
	Clock kcclock.Clock
	// Failures is the number of consecutive failed calls that begins an outage;
	// 0 means 3.
	Failures int
	// ProbeMs is the backoff before the first probe of an outage. It doubles
	// with each probe up to MaxProbeMs. 0 means 100 for ProbeMs and 2000 for
	// MaxProbeMs.
	ProbeMs    kcclock.Millis
	MaxProbeMs kcclock.Millis
	// Jitter returns a number from 0 to 1; nil means a random number.
	Jitter func() float64
	// Outage is called when an outage begins; nil is allowed. It must not call
	// the Guard.
	Outage func()
}

// Guard is a circuit breaker for a Log. During an outage calls fail at once
// with ErrUnavailable, except for one probe per backoff period. A successful
// call ends the outage.
type Guard struct {
	opts GuardOptions

	mu                  sync.Mutex
	consecutiveFailures int
	down                bool
	outageCount         int64
	backoff             kcclock.Millis
	nextProbeAt         kcclock.Millis
}

// NewGuard returns a Guard in the state without an outage.
func NewGuard(opts GuardOptions) *Guard {
	if opts.Failures <= 0 {
		opts.Failures = 3
	}
	if opts.ProbeMs <= 0 {
		opts.ProbeMs = 100
	}
	if opts.MaxProbeMs <= 0 {
		opts.MaxProbeMs = 2 * kcclock.Second
	}
	if opts.Jitter == nil {
		opts.Jitter = rand.Float64
	}
	if opts.Outage == nil {
		opts.Outage = func() {}
	}
	return &Guard{opts: opts}
}

// Down reports whether there is an outage.
func (g *Guard) Down() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down
}

// Outages returns the number of outages so far.
func (g *Guard) Outages() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outageCount
}

// Append adds recs to stream. It fails at once during an outage.
func (g *Guard) Append(ctx context.Context, stream string, recs []NewRecord) (int64, error) {
	if !g.allowCall() {
		return 0, fmt.Errorf("%w: stream %s: outage", ErrUnavailable, stream)
	}
	first, err := g.opts.Log.Append(ctx, stream, recs)
	g.recordResult(ctx, err)
	return first, err
}

// Read reads from stream. It fails at once during an outage.
func (g *Guard) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (Page, error) {
	if !g.allowCall() {
		return Page{}, fmt.Errorf("%w: stream %s: outage", ErrUnavailable, stream)
	}
	page, err := g.opts.Log.Read(ctx, stream, from, limit, wait)
	g.recordResult(ctx, err)
	return page, err
}

func (g *Guard) allowCall() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.down {
		return true
	}
	now := g.opts.Clock.Now()
	if now < g.nextProbeAt {
		return false
	}
	g.scheduleProbe(now)
	return true
}

func (g *Guard) recordResult(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return // the context of the caller ended; the log need not have failed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.consecutiveFailures, g.down, g.backoff = 0, false, 0
		return
	}
	g.consecutiveFailures++
	if g.down || g.consecutiveFailures < g.opts.Failures {
		return
	}
	g.down = true
	g.outageCount++
	g.opts.Outage()
	g.scheduleProbe(g.opts.Clock.Now())
}

// scheduleProbe doubles the backoff and sets the next probe to a time between
// half of the backoff and all of it, so that instances do not probe at the same
// time.
func (g *Guard) scheduleProbe(now kcclock.Millis) {
	g.backoff = min(max(g.backoff*2, g.opts.ProbeMs), g.opts.MaxProbeMs)
	g.nextProbeAt = now + kcclock.Millis(float64(g.backoff)*(0.5+g.opts.Jitter()/2))
}
