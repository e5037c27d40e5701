package kcretry

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// GateOptions configures a Gate.
type GateOptions struct {
	Breaker BreakerOptions
	Limit   AdaptiveLimitOptions
	// PatientShare is the part of the limit that patient requests, which can
	// wait long, may fill.
	PatientShare float64
}

// Admission is the result of Gate.Admit.
type Admission int

// Values of Verdict.
const (
	Admitted Admission = iota
	// BreakerOpen means that the circuit breaker refuses the request: the
	// upstream fails or has just recovered.
	BreakerOpen
	// LimitReached means that the concurrency limit of the upstream is in use.
	LimitReached
)

// Result is the outcome of a request for its upstream.
type Result int

// Values of Result.
const (
	Succeeded Result = iota
	Failed
	// Unfinished requests were not sent, or were ended by the caller or the
	// deadline. They do not count as failures, but a long one counts as slow.
	Unfinished
)

// Gate performs admission control for one upstream with a circuit breaker and
// an adaptive concurrency limit. It is not safe for concurrent use.
type Gate struct {
	patientShare float64
	breaker      *Breaker
	limit        *AdaptiveLimit
}

// NewGate returns a gate with a closed breaker.
func NewGate(opts GateOptions) *Gate {
	return &Gate{patientShare: opts.PatientShare, breaker: NewBreaker(opts.Breaker), limit: NewAdaptiveLimit(opts.Limit)}
}

// Admit decides on a request and counts it if it is admitted. Each admitted
// request needs one call of Done. random is a random number from 0 to 1.
func (g *Gate) Admit(now kcclock.Millis, random float64, patient bool) Admission {
	share := 1.0
	if patient {
		share = g.patientShare
	}
	// The limit is checked first: if it refused a request after the breaker
	// had permitted it as a probe, that probe would be lost.
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

// Ready reports whether the breaker would permit a request, including a probe.
func (g *Gate) Ready(now kcclock.Millis) bool { return g.breaker.Ready(now) }

// BreakerTripped reports whether the breaker waits for a successful probe.
func (g *Gate) BreakerTripped() bool { return g.breaker.state == Open || g.breaker.state == HalfOpen }

// Idle reports whether a new gate could replace this one: no request runs and
// the breaker is closed. The learned latency and limit would be lost.
func (g *Gate) Idle() bool { return g.limit.running == 0 && g.breaker.state == Closed }
