package kclimit

import (
	"math"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Kind names a limit.
type Kind string

// Values of Kind.
const (
	Requests    Kind = "requestsPerSecond"
	Concurrency Kind = "concurrency"
	Tokens      Kind = "tokensPerMinute"
	Spend       Kind = "spendPerDay"
)

// Bursts of the limits, in seconds of their rate. The share of one instance is
// small, so a burst of one second would refuse ordinary random arrivals. Up to
// a quarter of the daily spend may be used at once.
const (
	requestBurstSeconds = 10
	tokenBurstSeconds   = 60
	spendBurstSeconds   = 6 * 3600
	// minBurstRequests is the least capacity of a bucket, in units of its
	// limit. The share of one instance in a small limit can be below one
	// request in ten seconds; without this minimum, two requests that reach one
	// instance at the same time would be refused.
	minBurstRequests = 5
	secondsPerMinute = 60
	secondsPerDay    = 24 * 3600
)

// demandHalfLife is the time in which the weight of past demand halves. It is
// several times the delay of messages between instances, and long enough that
// random variation of arrivals does not change the shares.
const demandHalfLife = 30 * kcclock.Second

// Usage is what a request uses of the limits.
type Usage struct {
	// Tokens is the largest number of tokens that may be generated.
	Tokens int
	// Price is in micro-units of currency.
	Price int64
}

// Limiter applies an instance's share of the limits of all workspaces. It is
// not safe for concurrent use.
type Limiter struct {
	liveInstances int
	otherDemand   map[string]float64
	workspaces    map[string]*workspaceAccount
}

type workspaceAccount struct {
	requests, tokens, spend Bucket
	running                 int
	demand                  float64
	demandAt                kcclock.Millis
}

// NewLimiter returns a limiter for a single instance.
func NewLimiter() *Limiter {
	return &Limiter{liveInstances: 1, otherDemand: make(map[string]float64), workspaces: make(map[string]*workspaceAccount)}
}

// SetPeers sets the number of live instances, including this one, and the
// demand of the other instances per workspace.
func (l *Limiter) SetPeers(live int, demand map[string]float64) {
	l.liveInstances, l.otherDemand = max(live, 1), demand
}

// Demand returns the demand of this instance per workspace, as an exponentially
// decaying count of requests.
func (l *Limiter) Demand(now kcclock.Millis) map[string]float64 {
	out := make(map[string]float64, len(l.workspaces))
	for ws, a := range l.workspaces {
		a.decayDemand(now)
		out[ws] = a.demand
	}
	return out
}

func (a *workspaceAccount) decayDemand(now kcclock.Millis) {
	if now > a.demandAt {
		a.demand *= math.Exp2(-float64(now-a.demandAt) / float64(demandHalfLife))
		a.demandAt = now
	}
}

// Decision is the result of Limiter.Admit.
type Decision struct {
	// Exceeded is the limit that refuses the request, or "".
	Exceeded Kind
	// RetryAfter is the time until a retry can succeed.
	RetryAfter kcclock.Millis
}

// Admit takes the usage of a request from the limits of the workspace. Each
// admitted request needs one call of Done.
func (l *Limiter) Admit(now kcclock.Millis, name string, w kcrules.Workspace, use Usage) Decision {
	a := l.workspaces[name]
	if a == nil {
		a = &workspaceAccount{}
		l.workspaces[name] = a
	}
	a.decayDemand(now)
	a.demand++
	share := InstanceShare(a.demand, a.demand+l.otherDemand[name], l.liveInstances)
	if w.Concurrency > 0 && a.running >= concurrencyShare(w.Concurrency, share) {
		return Decision{Exceeded: Concurrency, RetryAfter: kcclock.Second}
	}
	var refunds []func()
	for _, c := range []struct {
		kind           Kind
		bucket         *Bucket
		n, rate, burst float64
	}{
		{Requests, &a.requests, 1, w.RequestsPerSecond, requestBurstSeconds},
		{Tokens, &a.tokens, float64(use.Tokens), float64(w.TokensPerMinute) / secondsPerMinute, tokenBurstSeconds},
		{Spend, &a.spend, float64(use.Price), float64(w.SpendPerDay) / secondsPerDay, spendBurstSeconds},
	} {
		if c.rate <= 0 {
			continue
		}
		// An instance with little demand keeps the burst of an equal share.
		burst := c.rate * c.burst * max(share, 1/float64(l.liveInstances))
		ok, wait := c.bucket.Take(now, c.n, c.rate*share, max(burst, minBurstRequests))
		if !ok {
			for _, undo := range refunds {
				undo()
			}
			return Decision{Exceeded: c.kind, RetryAfter: wait}
		}
		refunds = append(refunds, func() { c.bucket.Refund(c.n) })
	}
	a.running++
	return Decision{}
}

// concurrencyShare returns the number of requests that an instance with the
// given share may run at the same time. It is at least 1, so the sum over all
// instances can exceed the limit by at most one request per instance.
func concurrencyShare(limit int, share float64) int {
	return max(int(float64(limit)*share), 1)
}

// Done ends an admitted request and refunds unused tokens. used is the number
// of tokens generated, reserved the number taken on admission.
func (l *Limiter) Done(name string, reserved, used int) {
	a := l.workspaces[name]
	if a == nil {
		return
	}
	a.running = max(a.running-1, 0)
	if used < reserved {
		a.tokens.Refund(float64(reserved - used))
	}
}
