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
	// Failures in a row make an outage; 0 means 3.
	Failures int
	// ProbeMs is the first time between two probes during an outage; it
	// doubles up to MaxProbeMs. 0 means 100 and 2000.
	ProbeMs    kcclock.Millis
	MaxProbeMs kcclock.Millis
	// Jitter returns a number from 0 to 1; nil means a random one.
	Jitter func() float64
	// Outage is called when an outage begins; nil is allowed. It must not call
	// the guard.
	Outage func()
}

// Guard is a Log that detects outages. While the log is down, calls fail at
// once with ErrUnavailable, but for one probe per backoff period.
type Guard struct {
	opts GuardOptions

	mu                  sync.Mutex
	consecutiveFailures int
	down                bool
	outageCount         int64
	backoff             kcclock.Millis
	nextProbeAt         kcclock.Millis
}

// NewGuard returns a guard that takes the log to be up.
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

// Down reports whether an outage is going on.
func (g *Guard) Down() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down
}

// Outages counts the outages so far.
func (g *Guard) Outages() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outageCount
}

// Append adds recs to stream, or fails fast during an outage.
func (g *Guard) Append(ctx context.Context, stream string, recs []NewRecord) (int64, error) {
	if !g.allowCall() {
		return 0, fmt.Errorf("%w: stream %s: outage", ErrUnavailable, stream)
	}
	first, err := g.opts.Log.Append(ctx, stream, recs)
	g.recordResult(ctx, err)
	return first, err
}

// Read reads from stream, or fails fast during an outage.
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
		return // the caller gave up, which says nothing about the log
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

// scheduleProbe sets the next probe to between half of the backoff and all of
// it from now, so that instances do not probe in step.
func (g *Guard) scheduleProbe(now kcclock.Millis) {
	g.backoff = min(max(g.backoff*2, g.opts.ProbeMs), g.opts.MaxProbeMs)
	g.nextProbeAt = now + kcclock.Millis(float64(g.backoff)*(0.5+g.opts.Jitter()/2))
}
