package kcspeed

import (
	"math"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// pickRateWindowMs is the window of the moving rate of picks: long enough to
	// hold some picks of an instance among hundreds, and shorter than a burst.
	pickRateWindowMs = 2000 * kcclock.Millisecond
	// maxStalenessMs bounds the age of the reports of peers that counts: the mean
	// age at the longest time between two reports. Beyond that the age tells of lost
	// reports, not of requests.
	maxStalenessMs = 400 * kcclock.Millisecond
)

// PickRate is the exponentially weighted rate of the picks of this instance for a
// service.
type PickRate struct {
	count, workMs float64
	at            kcclock.Millis
}

// Add counts a pick that costs workMs at an upstream.
func (r *PickRate) Add(now kcclock.Millis, workMs float64) {
	fade := r.fade(now)
	r.count, r.workMs, r.at = r.count*fade+1, r.workMs*fade+workMs, now
}

func (r *PickRate) fade(now kcclock.Millis) float64 {
	return math.Exp(-float64(now-r.at) / float64(pickRateWindowMs))
}

// PerMs returns the picks per millisecond.
func (r *PickRate) PerMs(now kcclock.Millis) float64 {
	return r.count * r.fade(now) / float64(pickRateWindowMs)
}

// MeanWorkMs returns the mean work of a request at an upstream.
func (r *PickRate) MeanWorkMs() float64 {
	if r.count == 0 {
		return 0
	}
	return r.workMs / r.count
}

// Staleness returns the work that an upstream far away is expected to have received
// since the last reports of the instances there, in milliseconds. ageMs is the mean age
// of these reports, 0 if there are none. queuedMs is the mean
// work that is queued at such upstreams according to the reports: the part of the time
// for which they are busy follows from it and from the usual work of a request, as in
// a queue with one server. Where upstreams differ in speed, the fast one that looks idle
// in old reports would attract the requests of all instances, and the gain would be
// lost to queues.
func (r *PickRate) Staleness(ageMs, queuedMs float64) float64 {
	if queuedMs <= 0 {
		return 0
	}
	busy := queuedMs / (queuedMs + r.MeanWorkMs())
	return busy * min(ageMs, float64(maxStalenessMs))
}
