package kcrollout

import (
	"math"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// usedExposurePart is the part of the permitted exposure that a target uses
	// even if it is bad in a way that no signal shows.
	usedExposurePart = 0.9
	// fullTrafficPart is the part of the time of an order in which the target
	// gets all requests before the order is reported complete. The old
	// upstreams stop immediately afterwards; answers still running there are
	// resumed.
	fullTrafficPart = 0.03
	// publishPart is the part of the time of an order that is reserved at its
	// end to publish the state: one tick of the judge and one call to a slow
	// store.
	publishPart = 0.05
	// minCanaryPart is the least target share in the first step, as a part of
	// the permitted exposure.
	minCanaryPart = 0.2
	// detectorStartPoints is the number of starting points of the test during
	// an order.
	detectorStartPoints = 16
	// minTargetAnswers is the number of answers of the target below which an
	// order does not advance. With fewer, the detector cannot recognize a
	// version that fails a third of its answers.
	minTargetAnswers = 20
	// FirstStepDelayMs is the time from the start of an order to its first
	// step, in which instances tell each other which sessions stay on the old
	// version. It is enough for three messages to each peer and for most
	// upstreams of the target to appear in the directory.
	FirstStepDelayMs = 1500 * kcclock.Millisecond
	// maxUpstreamRatio bounds how many upstreams the other versions may have
	// per upstream of the target when it gets its first requests. With fewer
	// target upstreams, a request that fails on one would find no second one.
	maxUpstreamRatio = 2
)

// maxLogEvidence is the evidence against a target up to which it gets all
// requests. A good version exceeds it in at most one of four orders; its full
// traffic is then only delayed. maxFinalLogEvidence is the limit at the end of
// the order, when a further delay would revert the order. maxFinalSlowEvidence is
// the same for slow answers. These are known of few requests only, so that a slow
// version rarely reaches the limit of the others; one version of a thousand that is
// as fast as the old one exceeds this one.
var (
	maxLogEvidence       = math.Log(4)
	maxFinalLogEvidence  = math.Log(50)
	maxFinalSlowEvidence = math.Log(10)
)

// evidenceAcceptable reports whether the evidence against a target is below the
// limits, at the end of an order or before.
func evidenceAcceptable(d *Detector, final bool) bool {
	for s := range signalCount {
		limit := maxLogEvidence
		switch {
		case final && isLatency(s):
			limit = maxFinalSlowEvidence
		case final:
			limit = maxFinalLogEvidence
		}
		if d.signalEvidence(s) >= limit {
			return false
		}
	}
	return true
}

// OrderView is the local view of an order on which its traffic split and its
// next state depend.
type OrderView struct {
	Order kctable.RolloutOrder
	// Progress is the published state, if there is one.
	Progress      kctable.RolloutProgress
	ProgressKnown bool
	// Elapsed is the time since the start of the order.
	Elapsed kcclock.Millis
	// ProgressFresh is true while the published state is known to be recent.
	ProgressFresh bool
	// LocallySuspect is true if the evidence of this instance speaks against
	// the target. It counts only while ProgressFresh is false. Otherwise the
	// judge, the instance elected to conclude orders, decides on the evidence
	// of all: a few answers of one upstream must not move the sessions of one
	// instance.
	LocallySuspect bool
	// ExposureShare bounds the share of requests that a bad target may get.
	ExposureShare float64
	// TargetUpstreams and OtherUpstreams are the numbers of upstreams of the
	// target and of other versions. Only NextProgress uses them.
	TargetUpstreams, OtherUpstreams int
}

// readyToOpen reports whether the first step is due.
func (v *OrderView) readyToOpen() bool {
	return v.Progress.Step == 0 && !v.Progress.TargetServing && v.Elapsed >= FirstStepDelayMs &&
		v.TargetUpstreams > 0 && v.TargetUpstreams*maxUpstreamRatio >= v.OtherUpstreams
}

// elapsedPart returns the elapsed time as a part of the time of the order.
func (v *OrderView) elapsedPart() float64 {
	return float64(v.Elapsed) / float64(max(v.Order.TimeLimitMs, 1))
}

// CanaryShare returns the share of the target in the first step of an order:
// the part of the exposure that remains after the full-traffic step.
func CanaryShare(exposureShare float64) float64 {
	const rest = fullTrafficPart + publishPart
	return max((usedExposurePart*exposureShare-rest)/(1-rest), minCanaryPart*exposureShare)
}

// LastStepMs returns the time after the start of an order at which its target
// gets all requests.
func LastStepMs(o kctable.RolloutOrder) kcclock.Millis {
	return kcclock.Millis((1 - publishPart - fullTrafficPart) * float64(o.TimeLimitMs))
}

// NewOrderDetector returns the test for the target of an order.
func NewOrderDetector(now kcclock.Millis, o kctable.RolloutOrder) *Detector {
	return NewDetectorEvery(now, max(o.TimeLimitMs/detectorStartPoints, kcclock.Second))
}

// TrafficSplit defines how requests are divided between the target and the
// other versions.
type TrafficSplit struct {
	// TargetShare is the share of sessions that the target gets.
	TargetShare float64
	// MoveSessions is true if sessions that began on other versions may move to
	// the target.
	MoveSessions bool
	// TargetOnly is true if no other version gets requests.
	TargetOnly bool
	// ExcludeTarget is true if the target gets no requests.
	ExcludeTarget bool
}

// SplitTraffic returns how requests are divided. It follows from the published
// step, so instances agree without exchanging further messages.
func SplitTraffic(v OrderView) TrafficSplit {
	if !v.ProgressKnown {
		// The instances have not agreed on the start yet.
		return TrafficSplit{ExcludeTarget: true}
	}
	switch {
	case v.Progress.State == kctable.RolloutComplete:
		return TrafficSplit{TargetShare: 1, MoveSessions: true, TargetOnly: true}
	case v.Progress.State == kctable.RolloutReverted || v.LocallySuspect && !v.ProgressFresh:
		return TrafficSplit{ExcludeTarget: true}
	case v.Progress.Step == 0 && !v.Progress.TargetServing:
		return TrafficSplit{}
	case v.Progress.Step == 0:
		return TrafficSplit{TargetShare: CanaryShare(v.ExposureShare)}
	}
	// An instance whose state is out of date stays at the last step it knows.
	// Going back would move sessions to the old version while the other
	// instances serve them with the new one.
	return TrafficSplit{TargetShare: 1, MoveSessions: true}
}

// NextProgress returns the next state to publish for a running order, and
// whether there is one.
func NextProgress(v OrderView, d *Detector) (kctable.RolloutProgress, bool) {
	next := v.Progress
	if _, bad := d.Regression(); bad {
		next.State = kctable.RolloutReverted
		return next, true
	}
	if v.readyToOpen() {
		next.TargetServing = true
		return next, true
	}
	const finish = 1 - publishPart
	part := v.elapsedPart()
	acceptable := evidenceAcceptable(d, v.Progress.Step > 0 || part >= finish) && d.Observed()[Failure].Total >= minTargetAnswers
	switch {
	case acceptable && part >= finish:
		// The evidence was too uncertain until now, and there is no time left
		// for the full-traffic step.
		next.State = kctable.RolloutComplete
		return next, true
	case part >= 1 && !acceptable:
		// The time is over without enough evidence in favor of the target.
		next.State = kctable.RolloutReverted
		return next, true
	case acceptable && v.Progress.Step == 0 && part >= finish-fullTrafficPart:
		next.Step = 1
		return next, true
	}
	return next, false
}

// ActiveOrder is an order without a final state, as one instance knows it.
type ActiveOrder struct {
	kctable.RolloutOrder
	// ElapsedMs is the time since the start of the order.
	ElapsedMs kcclock.Millis
	// StatePublished is true if the start of the rollout is published.
	StatePublished bool
	Progress       kctable.RolloutProgress
	// NewEvents and NewFailures count the events since the instance last took its
	// reports. NewFailures counts those that speak against the target.
	NewEvents, NewFailures int
}
