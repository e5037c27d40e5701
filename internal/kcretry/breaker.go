package kcretry

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// BreakerOptions configures a Breaker.
type BreakerOptions struct {
	// Failures is the number of consecutive failures that opens the breaker.
	Failures int
	// OpenMs is the time from opening to the first probe, and between probes
	// without a result.
	OpenMs kcclock.Millis
	// RampMs is the time after a successful probe in which the permitted share
	// of requests grows linearly from RampStart to all. Without it, all
	// requests that were held back would arrive at once and overload the
	// upstream again.
	RampMs kcclock.Millis
}

// RampStart is the permitted share of requests right after the recovery.
const RampStart = 0.1

// BreakerState is the state of a Breaker.
type BreakerState int

// Values of BreakerState.
const (
	Closed BreakerState = iota
	Open
	HalfOpen
	Ramping
)

// Breaker is a circuit breaker for one upstream. It is not safe for concurrent
// use.
type Breaker struct {
	opts                BreakerOptions
	state               BreakerState
	consecutiveFailures int
	stateSince          kcclock.Millis
}

// NewBreaker returns a closed breaker.
func NewBreaker(opts BreakerOptions) *Breaker { return &Breaker{opts: opts} }

// State returns the state.
func (b *Breaker) State() BreakerState { return b.state }

// Allow reports whether a request may be sent. random is a random number from 0
// to 1.
func (b *Breaker) Allow(now kcclock.Millis, random float64) bool {
	switch b.state {
	case Open:
		if now-b.stateSince < b.opts.OpenMs {
			return false
		}
		b.state, b.stateSince = HalfOpen, now
		return true
	case HalfOpen:
		// A probe without a result is repeated after OpenMs.
		if now-b.stateSince < b.opts.OpenMs {
			return false
		}
		b.stateSince = now
		return true
	case Ramping:
		part := float64(now-b.stateSince) / float64(max(b.opts.RampMs, 1))
		if part >= 1 {
			b.state = Closed
			return true
		}
		return random < RampStart+(1-RampStart)*part
	default:
		return true
	}
}

// Ready reports whether Allow may permit a request.
func (b *Breaker) Ready(now kcclock.Millis) bool {
	return (b.state != Open && b.state != HalfOpen) || now-b.stateSince >= b.opts.OpenMs
}

// Record counts the result of a request that was sent.
func (b *Breaker) Record(now kcclock.Millis, ok bool) {
	if ok {
		b.consecutiveFailures = 0
		if b.state == HalfOpen {
			b.state, b.stateSince = Ramping, now
		}
		return
	}
	b.consecutiveFailures++
	if b.state == HalfOpen || b.state == Ramping || (b.state == Closed && b.consecutiveFailures >= b.opts.Failures) {
		b.state, b.stateSince = Open, now
	}
}
