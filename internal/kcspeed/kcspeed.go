// Package kcspeed keeps what one instance knows about the load and the speed of an
// upstream. It answers upstreams that share their machines with other workloads:
// some of them take several times as long for a part of a second, others take
// somewhat longer at all times.
package kcspeed

import (
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// LoadTTLMs is how long a reported load counts. After that, most of the
	// requests that it includes have ended.
	LoadTTLMs = 2500 * kcclock.Millisecond
	// fullTTLMs is how long an upstream that rejected a request for lack of room
	// counts as full, if it does not report its load.
	fullTTLMs = 250 * kcclock.Millisecond
	// DeviationSpanMs is the age at which the deviation of a figure from the mean
	// no longer counts. Speeds change many times a second, so that an older figure
	// tells nothing about the present that the mean does not. It is also the time
	// after which two figures count as independent of each other.
	DeviationSpanMs = 500 * kcclock.Millisecond
	// meanFigures is the number of independent figures over which the mean is
	// taken. A slow phase of 2.5 times the usual time moves it by 5%, and it learns
	// a lasting change within half a minute of figures.
	meanFigures = 32
	// priorFigures is the number of figures as which the usual speed counts at the
	// start, so that one slow phase is not taken for the usual speed.
	priorFigures = 2
	// usualSpeed is the figure of an upstream that works as usual.
	usualSpeed = 100
	// MinFactor bounds the factors below: an upstream that falsely claims to be fast
	// gets the work of 4/3 upstreams, until its queue shows.
	MinFactor = 0.75
	// MaxFactor bounds the factors above: an upstream that claims to be slower gets
	// nothing as long as others are free.
	MaxFactor = 20.0
	// maxCount bounds the requests that an upstream claims to hold. Sums must not
	// overflow.
	maxCount = 1 << 29
	// MaxSpeed is the largest figure that is taken for a speed: 100 times as long as
	// usual.
	MaxSpeed = 10_000
)

// Load is the load and speed that an upstream reports with a response.
type Load struct {
	Running, Waiting, Slots int
	// Speed tells how long work takes there at this moment, in percent of the usual
	// time. It is 0 if the upstream has not named it.
	Speed int
}

// Upstream is what an instance knows about the load and speed of one upstream. The
// zero value knows nothing. Figures of peers are passed with the time at which they
// were heard; a figure replaces only older ones, so that lost, late and repeated
// reports do no harm.
type Upstream struct {
	// running and waiting are of the newest figure, valid from at to until. At that
	// time, inFlight requests of this instance were in flight.
	running, waiting, inFlight int32
	at, until                  kcclock.Millis
	sentAt                     kcclock.Millis
	// heard is nil until there is a figure. It is apart because the choice among
	// thousands of upstreams that name no speed does not need it.
	heard *heard
}

// heard is what has been heard of an upstream besides its load.
type heard struct {
	// own is the newest figure that this instance has heard itself.
	own   Load
	ownAt kcclock.Millis
	// mean is the mean factor over weight independent figures, last the newest one.
	// weight is 0 if no speed was ever named.
	mean, weight, last float64
	lastAt             kcclock.Millis
}

// Sent records that this instance sends a request.
func (u *Upstream) Sent(now kcclock.Millis) { u.sentAt = now }

// Record records a figure that this instance has heard now, with inFlight of its
// requests in flight.
func (u *Upstream) Record(now kcclock.Millis, load Load, inFlight int) {
	u.setLoad(load, inFlight, now, LoadTTLMs)
	h := u.makeHeard()
	h.own, h.ownAt = load, now
	h.recordSpeed(now, load.Speed)
}

// RecordFull records that the upstream has rejected a request for lack of room.
func (u *Upstream) RecordFull(now kcclock.Millis, slots, inFlight int) {
	u.setLoad(Load{Running: slots, Waiting: 1}, inFlight, now, fullTTLMs)
}

// MergeSpeed records the speed of a figure that a peer has heard at a time.
func (u *Upstream) MergeSpeed(at kcclock.Millis, load Load) {
	u.makeHeard().recordSpeed(at, load.Speed)
}

// Merge records a figure that a peer has heard at a time. inFlight is the number of
// requests of this instance that are in flight now.
func (u *Upstream) Merge(at kcclock.Millis, load Load, inFlight int) {
	u.makeHeard().recordSpeed(at, load.Speed)
	if at <= u.at {
		return
	}
	if u.sentAt > at && inFlight > 0 {
		inFlight-- // The upstream did not hold it yet.
	}
	u.setLoad(load, inFlight, at, LoadTTLMs)
}

func (u *Upstream) setLoad(load Load, inFlight int, at, ttl kcclock.Millis) {
	u.running, u.waiting, u.inFlight = int32(min(load.Running, maxCount)), int32(min(load.Waiting, maxCount)), int32(inFlight)
	u.at, u.until = at, at+ttl
}

func (u *Upstream) makeHeard() *heard {
	if u.heard == nil {
		u.heard = &heard{}
	}
	return u.heard
}

// Own returns the newest figure that this instance has heard itself, and its age.
func (u *Upstream) Own(now kcclock.Millis) (load Load, age kcclock.Millis, ok bool) {
	if u.heard == nil || u.heard.ownAt == 0 || now-u.heard.ownAt > LoadTTLMs {
		return load, 0, false
	}
	return u.heard.own, now - u.heard.ownAt, true
}

// EstimatedLoad returns the estimated number of running and waiting requests.
// known is the number of those that instances have told of, inFlight that of this
// instance.
func (u *Upstream) EstimatedLoad(now kcclock.Millis, known, inFlight int) int {
	if !u.Fresh(now) {
		return known
	}
	return max(int(u.running)+int(u.waiting)+inFlight-int(u.inFlight), known)
}

// Fresh reports whether there is a figure on the load that still counts.
func (u *Upstream) Fresh(now kcclock.Millis) bool { return u.at != 0 && now <= u.until }

// Age returns the age of the newest figure on the load, at most LoadTTLMs.
func (u *Upstream) Age(now kcclock.Millis) kcclock.Millis {
	if u.at == 0 {
		return LoadTTLMs
	}
	return min(max(now-u.at, 0), LoadTTLMs)
}

// Waiting returns the number of waiting requests that the newest figure tells, or 0
// if it no longer counts.
func (u *Upstream) Waiting(now kcclock.Millis) int {
	if !u.Fresh(now) {
		return 0
	}
	return int(u.waiting)
}

func (h *heard) recordSpeed(at kcclock.Millis, speed int) {
	if speed <= 0 || h.weight > 0 && at <= h.lastAt {
		return
	}
	share := 1.0
	if h.weight == 0 {
		h.mean, h.weight = 1, priorFigures
	} else {
		share = min(float64(at-h.lastAt)/float64(DeviationSpanMs), 1)
	}
	h.last, h.lastAt = min(float64(speed)/usualSpeed, MaxFactor), at
	h.weight = min(h.weight+share, meanFigures)
	h.mean += (h.last - h.mean) * share / h.weight
}

// Pace is how long work is expected to take at an upstream. The zero value is that of
// an upstream that has never named its speed.
type Pace struct {
	// Mean is the factor in the long run.
	Mean float64
	// Last is the factor of the newest figure. It still holds with the probability
	// Fresh, and then for another LeftMs.
	Last, Fresh, LeftMs float64
}

// Pace returns the pace at a time.
func (u *Upstream) Pace(now kcclock.Millis) Pace {
	h := u.heard
	if h == nil || h.weight == 0 {
		return Pace{}
	}
	// Of a phase of unknown length that has lasted for the age of the figure, half of
	// the rest of the span is left on average.
	left := max(float64(DeviationSpanMs-max(now-h.lastAt, 0)), 0)
	return Pace{
		Mean: max(h.mean, MinFactor), Last: max(h.last, MinFactor), Fresh: left / float64(DeviationSpanMs), LeftMs: left / 2,
	}
}

// Ms returns how long work takes that usually takes workMs.
func (p Pace) Ms(workMs float64) float64 {
	if p.Mean == 0 {
		return workMs
	}
	now := workMs * p.Last
	if now > p.LeftMs {
		now = p.LeftMs + (workMs-p.LeftMs/p.Last)*p.Mean
	}
	return p.Fresh*now + (1-p.Fresh)*workMs*p.Mean
}
