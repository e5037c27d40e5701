package kcrollout

import (
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Stages of an order as parts of its time. The second half is the first time
// at which sessions may move to the target.
const (
	// canaryPart is the part of the permitted exposure that the target gets in
	// the first half, which leaves room for a version that turns bad later.
	canaryPart = 0.5
	moveAt     = 0.52
	quarterAt  = 0.60
	halfAt     = 0.68
	allAt      = 0.76
	// finishAt is when the order is reported complete, after which the old
	// upstreams stop at once. The answers that began before allAt have ended
	// by then or are resumed.
	finishAt = 0.92
)

// Shares of the requests that the target gets from the second half on.
const (
	quarterShare = 0.25
	halfShare    = 0.5
)

// minEvidence is the number of answers of the target without which an order
// does not advance beyond its canary: with fewer, the detector cannot tell a
// version that fails a third of its answers.
const minEvidence = 20

// OrderView is what the stage of an order depends on.
type OrderView struct {
	Order kctable.Order
	// Progress is the published state, if there is one.
	Progress kctable.Progress
	Known    bool
	// Now is the wall time.
	Now kcclock.Millis
	// InTouch is true while the published state is known to be the newest.
	InTouch bool
	// Suspect is true if the evidence of this instance speaks against the
	// target.
	Suspect bool
	// ExposureShare bounds the part of the requests that a bad target may get.
	ExposureShare float64
}

// Decision is how requests are divided between the target and the others.
type Decision struct {
	// Share is the part of the sessions that the target gets.
	Share float64
	// Move is true if sessions that began elsewhere may move to the target.
	Move bool
	// Only is true if no other version gets requests.
	Only bool
	// Never is true if the target gets no request.
	Never bool
}

// Decide returns the stage of an order. The share depends on time alone, so
// that instances agree on it without messages.
func Decide(v OrderView) Decision {
	if v.Known && v.Progress.Order == v.Order.Offset {
		switch v.Progress.Stage {
		case kctable.Complete:
			return Decision{Share: 1, Move: true, Only: true}
		case kctable.Reverted:
			return Decision{Never: true}
		case kctable.Running:
		}
	} else {
		// The start is not agreed on yet.
		return Decision{Never: true}
	}
	if v.Suspect {
		return Decision{Never: true}
	}
	part := Elapsed(v.Order, v.Progress, v.Now)
	canary := Decision{Share: canaryPart * v.ExposureShare}
	switch {
	case part < moveAt:
		return canary
	case !v.InTouch:
		// A stop that was published meanwhile would not be known.
		return canary
	case part < quarterAt:
		return Decision{Share: 2 * canary.Share, Move: true}
	case part < halfAt:
		return Decision{Share: quarterShare, Move: true}
	case part < allAt:
		return Decision{Share: halfShare, Move: true}
	default:
		return Decision{Share: 1, Move: true}
	}
}

// Elapsed returns the part of the time of an order that has passed.
func Elapsed(o kctable.Order, p kctable.Progress, now kcclock.Millis) float64 {
	return float64(now-p.StartedAt) / float64(max(o.SpanMs, 1))
}

// Conclude returns the state to publish for an order that runs, and whether
// there is one.
func Conclude(v OrderView, d *Detector) (kctable.Stage, bool) {
	if _, bad := d.Verdict(); bad {
		return kctable.Reverted, true
	}
	part := Elapsed(v.Order, v.Progress, v.Now)
	if part < finishAt {
		return 0, false
	}
	if d.Seen()[Failure].Total < minEvidence {
		// Nothing is known of the target; the old version stays.
		return kctable.Reverted, true
	}
	return kctable.Complete, true
}
