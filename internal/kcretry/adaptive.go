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
	limiting       bool
	usualLatencyMs float64
	decreasedAt    kcclock.Millis
	// slowUpdateAt is the time of the last rise of usual by a slow answer.
	slowUpdateAt kcclock.Millis
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
	a.limiting = a.limiting || a.running >= int(a.limit)
	return true
}

// hasCapacity reports whether less than share of the limit is taken. A limit of
// any size has room for one request.
func (a *AdaptiveLimit) hasCapacity(share float64) bool {
	return a.running < max(int(a.limit*share), 1)
}

const (
	decreaseFactor = 0.9
	// latencySmoothing is the weight of an answer in the usual latency.
	latencySmoothing = 0.01
	// slowUpdateInterval is the least time between slow answers that raise the usual
	// latency. An overload of minutes is then not taken for the usual state,
	// while an upstream that stays three times slower is after 7 minutes.
	slowUpdateInterval = 10 * kcclock.Second
	// minSlowLatency is the latency up to which no answer counts as slow. An upstream
	// that answers within a millisecond takes three times as long whenever the
	// machine is busy, and requests were refused although nothing was overloaded.
	minSlowLatency = 50 * kcclock.Millisecond
)

// Done counts the end of a request with its latency.
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

// Cancel counts the end of a request that has no result. One that took longer
// than the tolerance counts as slow.
func (a *AdaptiveLimit) ReleaseUnfinished(now, latency kcclock.Millis) {
	busy := a.isHalfUsed()
	a.running = max(a.running-1, 0)
	if a.usualLatencyMs > 0 && a.isSlow(float64(latency)) && busy {
		a.decrease(now, latency)
	}
}

// isSlow reports whether a latency in milliseconds is a sign of an overload.
func (a *AdaptiveLimit) isSlow(ms float64) bool {
	return ms > max(a.usualLatencyMs*a.opts.Tolerance, float64(minSlowLatency))
}

// busy reports whether at least half of the limit is taken. Below it a slow
// answer is due to the request, for example a long prompt. A limit that fell
// then would hold back the next burst, because it grows only while it is full.
func (a *AdaptiveLimit) isHalfUsed() bool { return 2*a.running >= int(a.limit) }

// cut lowers the limit once per round trip: answers of the same overload count
// once.
func (a *AdaptiveLimit) decrease(now, latency kcclock.Millis) {
	if now-a.decreasedAt >= latency {
		a.limit, a.decreasedAt = max(a.limit*decreaseFactor, a.opts.Min), now
	}
}
