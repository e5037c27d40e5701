package kcrollout

import (
	"math"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// usedExposurePart is the part of the permitted exposure that a target takes
	// even if it is bad in a way that does not show.
	usedExposurePart = 0.9
	// fullTrafficPart is the part of the time of an order in which the target gets all
	// requests before the order is reported complete. The old upstreams then
	// stop at once; answers that still run there are resumed.
	fullTrafficPart = 0.03
	// publishPart is left at the end of an order to publish its state: a tick
	// of the judge and a call of a slow store.
	publishPart = 0.05
	// minCanaryPart is the least share of the first step, as a part of the
	// permitted exposure.
	minCanaryPart = 0.2
	// detectorStartPoints is the number of starting points of the test in the time
	// of an order.
	detectorStartPoints = 16
	// minTargetAnswers is the number of answers of the target without which an
	// order does not advance: with fewer, the detector cannot tell a version
	// that fails a third of its answers.
	minTargetAnswers = 20
	// FirstStepDelayMs is the time from the start of an order to its first step, in which
	// instances tell each other of the sessions that stay. Three messages to each
	// peer fit into it, and most upstreams of the target are on the list by then.
	FirstStepDelayMs = 1500 * kcclock.Millisecond
	// maxUpstreamRatio is the number of times that the target may have fewer upstreams
	// than the others when it gets its first requests: one that fails there would
	// otherwise find no second upstream.
	maxUpstreamRatio = 2
)

// maxLogEvidence is the evidence against a target up to which it gets all requests. A
// good version exceeds it at most once in four orders; it then only waits.
// maxFinalLogEvidence is the same for the end of the order, where to hold it back any
// longer leaves it undone.
var (
	maxLogEvidence      = math.Log(4)
	maxFinalLogEvidence = math.Log(50)
)

// OrderView is what the stage of an order depends on.
type OrderView struct {
	Order kctable.Order
	// Progress is the published state, if there is one.
	Progress      kctable.Progress
	ProgressKnown bool
	// Elapsed is the time since the start of the order.
	Elapsed kcclock.Millis
	// ProgressFresh is true while the published state is known to be recent.
	ProgressFresh bool
	// Suspect is true if the evidence of this instance speaks against the
	// target. In touch, the judge decides with the evidence of all: a few
	// answers of one upstream must not move the sessions of one instance.
	LocallySuspect bool
	// ExposureShare bounds the part of the requests that a bad target may get.
	ExposureShare float64
	// Targets and Others are the numbers of upstreams of the target and of other
	// versions. Only Conclude uses them.
	TargetUpstreams, OtherUpstreams int
}

// opens reports whether it is time for the first step.
func (v *OrderView) readyToOpen() bool {
	return v.Progress.Step == 0 && !v.Progress.Opened && v.Elapsed >= FirstStepDelayMs &&
		v.TargetUpstreams > 0 && v.TargetUpstreams*maxUpstreamRatio >= v.OtherUpstreams
}

// part returns the part of the time of an order that has passed.
func (v *OrderView) elapsedPart() float64 {
	return float64(v.Elapsed) / float64(max(v.Order.SpanMs, 1))
}

// CanaryShare returns the share of the target in the first step of an order: what
// the last one leaves of the exposure.
func CanaryShare(exposureShare float64) float64 {
	const rest = fullTrafficPart + publishPart
	return max((usedExposurePart*exposureShare-rest)/(1-rest), minCanaryPart*exposureShare)
}

// LastStepMs returns the time after the start of an order at which its target
// gets all requests.
func LastStepMs(o kctable.Order) kcclock.Millis {
	return kcclock.Millis((1 - publishPart - fullTrafficPart) * float64(o.SpanMs))
}

// NewOrderDetector returns the test for the target of an order.
func NewOrderDetector(now kcclock.Millis, o kctable.Order) *Detector {
	return NewDetectorEvery(now, max(o.SpanMs/detectorStartPoints, kcclock.Second))
}

// Decision is how requests are divided between the target and the others.
type TrafficSplit struct {
	// Share is the part of the sessions that the target gets.
	TargetShare float64
	// Move is true if sessions that began elsewhere may move to the target.
	MoveSessions bool
	// Only is true if no other version gets requests.
	TargetOnly bool
	// Never is true if the target gets no request.
	ExcludeTarget bool
}

// Decide returns how requests are divided. It follows from the published step,
// so that instances agree without messages of their own.
func SplitTraffic(v OrderView) TrafficSplit {
	if !v.ProgressKnown {
		// The start is not agreed on yet.
		return TrafficSplit{ExcludeTarget: true}
	}
	switch {
	case v.Progress.Stage == kctable.Complete:
		return TrafficSplit{TargetShare: 1, MoveSessions: true, TargetOnly: true}
	case v.Progress.Stage == kctable.Reverted || v.LocallySuspect && !v.ProgressFresh:
		return TrafficSplit{ExcludeTarget: true}
	case v.Progress.Step == 0 && !v.Progress.Opened:
		return TrafficSplit{}
	case v.Progress.Step == 0:
		return TrafficSplit{TargetShare: CanaryShare(v.ExposureShare)}
	}
	// An instance that lost touch stays at the step that it knows: to go back
	// would move sessions to the old version while the others serve them with
	// the new one.
	return TrafficSplit{TargetShare: 1, MoveSessions: true}
}

// Conclude returns the next state to publish for an order that runs, and
// whether there is one.
func NextProgress(v OrderView, d *Detector) (kctable.Progress, bool) {
	next := v.Progress
	if _, bad := d.Regression(); bad {
		next.Stage = kctable.Reverted
		return next, true
	}
	if v.readyToOpen() {
		next.Opened = true
		return next, true
	}
	const finish = 1 - publishPart
	part := v.elapsedPart()
	_, doubt := d.LogEvidence()
	limit := maxLogEvidence
	if v.Progress.Step > 0 || part >= finish {
		limit = maxFinalLogEvidence
	}
	sure := doubt < limit && d.Observed()[Failure].Total >= minTargetAnswers
	switch {
	case sure && part >= finish:
		// An order that was in doubt until now has no time for its last step.
		next.Stage = kctable.Complete
		return next, true
	case part >= 1 && !sure:
		// Too little is known for the target, and the time is over.
		next.Stage = kctable.Reverted
		return next, true
	case sure && v.Progress.Step == 0 && part >= finish-fullTrafficPart:
		next.Step = 1
		return next, true
	}
	return next, false
}
