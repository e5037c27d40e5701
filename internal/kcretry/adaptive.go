package kcretry

import (
	"math"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// AdaptiveLimitOptions configures an AdaptiveLimit.
type AdaptiveLimitOptions struct {
	Min, Max float64
	// Tolerance is the ratio of the latency to the usual latency above which
	// the limit decreases.
	Tolerance float64
}

// AdaptiveLimit limits the concurrent requests to one upstream by additive
// increase and multiplicative decrease. It grows by one per limit's worth of
// answers and falls by a tenth when answers are slow or fail. It is not safe
// for concurrent use.
type AdaptiveLimit struct {
	opts    AdaptiveLimitOptions
	limit   float64
	running int
	// limiting is true while the limit holds requests back; it grows only then.
	limiting       bool
	usualLatencyMs float64
	decreasedAt    kcclock.Millis
	// slowUpdateAt is the time when a slow answer last raised usualLatencyMs.
	slowUpdateAt kcclock.Millis
}

// NewAdaptiveLimit returns a limit that starts at the geometric mean of its
// bounds.
func NewAdaptiveLimit(opts AdaptiveLimitOptions) *AdaptiveLimit {
	return &AdaptiveLimit{opts: opts, limit: math.Sqrt(opts.Min * opts.Max)}
}

// Limit returns the current limit.
func (a *AdaptiveLimit) Limit() int { return int(a.limit) }

// TryAcquire reports whether another request may run, and counts it if so.
func (a *AdaptiveLimit) TryAcquire() bool {
	if a.running >= int(a.limit) {
		return false
	}
	a.running++
	a.limiting = a.limiting || a.running >= int(a.limit)
	return true
}

// hasCapacity reports whether less than the given share of the limit is in use.
// At any limit at least one request fits.
func (a *AdaptiveLimit) hasCapacity(share float64) bool {
	return a.running < max(int(a.limit*share), 1)
}

const (
	decreaseFactor = 0.9
	// latencySmoothing is the weight of one answer in the moving average of the
	// latency.
	latencySmoothing = 0.01
	// slowUpdateInterval is the least time between slow answers that raise the
	// usual latency. An overload of a few minutes therefore does not become the
	// usual state, while an upstream that stays three times slower is accepted
	// as usual after 7 minutes.
	slowUpdateInterval = 10 * kcclock.Second
	// minSlowLatency is the latency up to which no answer counts as slow. An
	// upstream that answers within a millisecond takes three times as long
	// whenever the machine is busy; without this bound, requests were refused
	// although nothing was overloaded.
	minSlowLatency = 50 * kcclock.Millisecond
)

// Release counts the end of a request with its latency.
func (a *AdaptiveLimit) Release(now, latency kcclock.Millis, ok bool) {
	busy := a.isHalfUsed()
	a.running = max(a.running-1, 0)
	ms := float64(max(latency, 1))
	if a.usualLatencyMs == 0 {
		a.usualLatencyMs = ms
	}
	slow := a.isSlow(ms)
	switch {
	case !ok || slow && busy:
		a.decrease(now, latency)
	case a.limiting:
		a.limit = min(a.limit+1/a.limit, a.opts.Max)
	}
	if a.running < int(a.limit)/2 {
		a.limiting = false
	}
	if slow && now-a.slowUpdateAt < slowUpdateInterval {
		return
	}
	if slow {
		a.slowUpdateAt = now
	}
	if ok {
		a.usualLatencyMs += latencySmoothing * (min(ms, a.usualLatencyMs*a.opts.Tolerance) - a.usualLatencyMs)
	}
}

// ReleaseUnfinished counts the end of a request without a result. One that took
// longer than the tolerance counts as slow.
func (a *AdaptiveLimit) ReleaseUnfinished(now, latency kcclock.Millis) {
	busy := a.isHalfUsed()
	a.running = max(a.running-1, 0)
	if a.usualLatencyMs > 0 && a.isSlow(float64(latency)) && busy {
		a.decrease(now, latency)
	}
}

// isSlow reports whether a latency in milliseconds indicates an overload.
func (a *AdaptiveLimit) isSlow(ms float64) bool {
	return ms > max(a.usualLatencyMs*a.opts.Tolerance, float64(minSlowLatency))
}

// isHalfUsed reports whether at least half of the limit is in use. Below that,
// a slow answer is due to the request itself, for example a long prompt. A
// decrease would then hold back the next burst, because the limit grows only
// while it is fully used.
func (a *AdaptiveLimit) isHalfUsed() bool { return 2*a.running >= int(a.limit) }

// decrease lowers the limit at most once per round trip, so the answers of one
// overload count once.
func (a *AdaptiveLimit) decrease(now, latency kcclock.Millis) {
	if now-a.decreasedAt >= latency {
		a.limit, a.decreasedAt = max(a.limit*decreaseFactor, a.opts.Min), now
	}
}
