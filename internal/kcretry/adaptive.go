package kcretry

import (
	"math"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// AdaptiveLimitOptions configures an Adaptive limit.
type AdaptiveLimitOptions struct {
	Min, Max float64
	// Tolerance is the ratio of the latency to the usual one above which the
	// limit falls.
	Tolerance float64
}

// Adaptive limits the requests that run at the same time at an upstream. It
// grows by one per limit's worth of answers and falls by a tenth when answers
// are slow or fail. It is not safe for concurrent use.
type AdaptiveLimit struct {
	opts    AdaptiveLimitOptions
	limit   float64
	running int
	// full is true while the limit holds requests back; it grows only then.
	full  bool
	usual float64
	cutAt kcclock.Millis
	// raiseAt is the time of the last rise of usual by a slow answer.
	raiseAt kcclock.Millis
}

// NewAdaptiveLimit returns a limit that starts at the middle of its range on a
// logarithmic scale.
func NewAdaptiveLimit(opts AdaptiveLimitOptions) *AdaptiveLimit {
	return &AdaptiveLimit{opts: opts, limit: math.Sqrt(opts.Min * opts.Max)}
}

// Limit returns the present limit.
func (a *AdaptiveLimit) Limit() int { return int(a.limit) }

// Start reports whether another request may run and counts it.
func (a *AdaptiveLimit) TryAcquire() bool {
	if a.running >= int(a.limit) {
		return false
	}
	a.running++
	a.full = a.full || a.running >= int(a.limit)
	return true
}

// hasRoom reports whether less than share of the limit is taken. A limit of
// any size has room for one request.
func (a *AdaptiveLimit) hasRoom(share float64) bool { return a.running < max(int(a.limit*share), 1) }

const (
	decrease = 0.9
	// usualPart is the weight of an answer in the usual latency.
	usualPart = 0.01
	// raiseEvery is the least time between slow answers that raise the usual
	// latency. An overload of minutes is then not taken for the usual state,
	// while an upstream that stays three times slower is after 7 minutes.
	raiseEvery = 10 * kcclock.Second
	// minSlow is the latency up to which no answer counts as slow. An upstream
	// that answers within a millisecond takes three times as long whenever the
	// machine is busy, and requests were refused although nothing was overloaded.
	minSlow = 50 * kcclock.Millisecond
)

// Done counts the end of a request with its latency.
func (a *AdaptiveLimit) Release(now, latency kcclock.Millis, ok bool) {
	busy := a.busy()
	a.running = max(a.running-1, 0)
	ms := float64(max(latency, 1))
	if a.usual == 0 {
		a.usual = ms
	}
	slow := a.isSlow(ms)
	switch {
	case !ok || slow && busy:
		a.cut(now, latency)
	case a.full:
		a.limit = min(a.limit+1/a.limit, a.opts.Max)
	}
	if a.running < int(a.limit)/2 {
		a.full = false
	}
	if slow && now-a.raiseAt < raiseEvery {
		return
	}
	if slow {
		a.raiseAt = now
	}
	if ok {
		a.usual += usualPart * (min(ms, a.usual*a.opts.Tolerance) - a.usual)
	}
}

// Cancel counts the end of a request that has no result. One that took longer
// than the tolerance counts as slow.
func (a *AdaptiveLimit) ReleaseUnfinished(now, latency kcclock.Millis) {
	busy := a.busy()
	a.running = max(a.running-1, 0)
	if a.usual > 0 && a.isSlow(float64(latency)) && busy {
		a.cut(now, latency)
	}
}

// isSlow reports whether a latency in milliseconds is a sign of an overload.
func (a *AdaptiveLimit) isSlow(ms float64) bool {
	return ms > max(a.usual*a.opts.Tolerance, float64(minSlow))
}

// busy reports whether at least half of the limit is taken. Below it a slow
// answer is due to the request, for example a long prompt. A limit that fell
// then would hold back the next burst, because it grows only while it is full.
func (a *AdaptiveLimit) busy() bool { return 2*a.running >= int(a.limit) }

// cut lowers the limit once per round trip: answers of the same overload count
// once.
func (a *AdaptiveLimit) cut(now, latency kcclock.Millis) {
	if now-a.cutAt >= latency {
		a.limit, a.cutAt = max(a.limit*decrease, a.opts.Min), now
	}
}
