package kcretry

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// GateOptions configures a Gate.
type GateOptions struct {
	Breaker BreakerOptions
	Limit   AdaptiveLimitOptions
	// PatientShare is the part of the limit that patient requests may fill.
	PatientShare float64
}

// Verdict is the answer of a Gate.
type Admission int

// Values of Verdict.
const (
	Admitted Admission = iota
	// BreakerOpen means that the upstream fails or has just recovered.
	BreakerOpen
	// LimitReached means that as many requests run as the upstream can take.
	LimitReached
)

// Result is how a request ended for its upstream.
type Result int

// Values of Result.
const (
	Succeeded Result = iota
	Failed
	// Unfinished requests were not sent, or ended by their caller or their
	// deadline. They say nothing about failures, but a long one is slow.
	Unfinished
)

// Gate admits requests to one upstream by its circuit breaker and its adaptive
// limit. It is not safe for concurrent use.
type Gate struct {
	patientShare float64
	breaker      *Breaker
	limit        *AdaptiveLimit
}

// NewGate returns a gate with a closed breaker.
func NewGate(opts GateOptions) *Gate {
	return &Gate{patientShare: opts.PatientShare, breaker: NewBreaker(opts.Breaker), limit: NewAdaptiveLimit(opts.Limit)}
}

// Admit asks for a request and counts it if it is admitted; each one needs a
// call of Done. random is from 0 to 1.
func (g *Gate) Admit(now kcclock.Millis, random float64, patient bool) Admission {
	share := 1.0
	if patient {
		share = g.patientShare
	}
	// The limit comes first: a probe that it refuses would be lost.
	if !g.limit.hasCapacity(share) {
		return LimitReached
	}
	if !g.breaker.Allow(now, random) {
		return BreakerOpen
	}
	g.limit.TryAcquire()
	return Admitted
}

// Done counts the end of an admitted request.
func (g *Gate) Done(now, latency kcclock.Millis, result Result) {
	if result == Unfinished {
		g.limit.ReleaseUnfinished(now, latency)
		return
	}
	g.limit.Release(now, latency, result == Succeeded)
	g.breaker.Record(now, result == Succeeded)
}

// Ready reports whether the breaker lets any request pass, a probe included.
func (g *Gate) Ready(now kcclock.Millis) bool { return g.breaker.Ready(now) }

// Failing reports whether the breaker waits for a successful probe.
func (g *Gate) BreakerTripped() bool { return g.breaker.state == Open || g.breaker.state == HalfOpen }

// Idle reports whether the gate holds no state that a new one lacks, apart from
// the latency that it has learned.
func (g *Gate) Idle() bool { return g.limit.running == 0 && g.breaker.state == Closed }
