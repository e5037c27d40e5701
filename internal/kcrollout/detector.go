package kcrollout

import (
	"math"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxFalseStopProbability bounds the probability that a version that is not worse than
// tolerated is ever stopped. The design page requires less than 1%; a fifth of it
// is left for the error of the reference rate, which is small because the
// tolerance comes on top of it.
const maxFalseStopProbability = 0.008

// tolerances is the increase of the bad share that is not worth a stop.
var toleratedIncreases = [signalCount]float64{BadRating: 0.02, FailedCheck: 0.02, Failure: 0.01, Slow: 0.05}

// minReferenceEvents is the number of events from which a reference rate is taken.
// A stratum without a reference is not tested.
const minReferenceEvents = 50

// referenceZ widens the bad share of the old version to a one-sided 95% upper
// bound. Where the bound fails, the tolerance is left on top of it.
const referenceZ = 1.645

// increases are the bad shares to detect, as parts of the way from the
// reference to 1. The test is a mixture over them.
var detectedIncreases = [...]float64{0.08, 0.2, 0.4, 0.7}

// window is the step in which new starting points are added to the test.
const defaultStartInterval = kcclock.Minute

// Detector is a sequential test that may be read at any time. For each signal
// it sums, over possible times of the change, the likelihood ratio of a worse
// version since then. The starting points have weights with a sum of at most 1, so the sum
// exceeds 1/p with probability at most p as long as the version is within the
// tolerance (Ville's inequality), however often it is read. Old good evidence
// does not hide a late change, because later starting points do not hold it.
type Detector struct {
	mixtures [signalCount][len(detectedIncreases)]mixture
	observed Strata
	// first holds the first events of the new version per stratum. They are
	// the reference where the old version has none, so that a later change is
	// still found.
	initial     Strata
	startPoints float64
	// window is the time between starting points.
	startInterval kcclock.Millis
	startedAt     kcclock.Millis
}

// mixture is the logarithm of the weighted sum of likelihood ratios.
type mixture struct{ logSum float64 }

// NewDetector returns a test for a roll-out that starts now.
func NewDetector(now kcclock.Millis) *Detector { return NewDetectorEvery(now, defaultStartInterval) }

// NewDetectorEvery returns a test with a new starting point after each step. A
// version that turns bad is found within about one step, and more starting
// points make the test a little slower.
func NewDetectorEvery(now, step kcclock.Millis) *Detector {
	d := &Detector{startedAt: now, startInterval: step, observed: make(Strata), initial: make(Strata)}
	for s := range d.mixtures {
		for i := range d.mixtures[s] {
			d.mixtures[s][i].logSum = math.Inf(-1)
		}
	}
	d.addStartPoint()
	return d
}

// startWeightNorm is above the sum of 1/(n*log(n+1)^2) over all n, so that the
// weights of the starting points sum to less than 1. These weights fall more
// slowly than 1/n^2, which makes late changes quicker to find.
const startWeightNorm = 3.4

// open adds the starting point of the next window.
func (d *Detector) addStartPoint() {
	d.startPoints++
	w := -math.Log(startWeightNorm * d.startPoints * math.Pow(math.Log(d.startPoints+1), 2))
	for s := range d.mixtures {
		for i := range d.mixtures[s] {
			d.mixtures[s][i].logSum = logSumExp(d.mixtures[s][i].logSum, w)
		}
	}
}

// Fold adds the events of the new version that were not seen before. old holds
// the events of the version that it replaces.
func (d *Detector) Observe(now kcclock.Millis, fresh, old Strata) {
	for d.startedAt+kcclock.Millis(d.startPoints)*d.startInterval <= now {
		d.addStartPoint()
	}
	for stratum, t := range fresh {
		delta := t.Minus(d.observed[stratum])
		for s := range delta {
			d.observeSignal(Signal(s), delta[s], old[stratum][s], d.initial[stratum][s])
		}
		first := d.initial[stratum]
		for s := range first {
			if first[s].Total < minReferenceEvents {
				first[s].Bad += delta[s].Bad
				first[s].Total += delta[s].Total
			}
		}
		d.initial[stratum] = first
		d.observed[stratum] = d.observed[stratum].Plus(delta)
	}
}

func (d *Detector) observeSignal(s Signal, delta, old, first Count) {
	if old.Total < minReferenceEvents {
		old = first
	}
	if delta.Total == 0 || old.Total < minReferenceEvents {
		return
	}
	p0 := toleratedShare(s, old)
	bad, good := float64(delta.Bad), float64(delta.Total-delta.Bad)
	for i, part := range detectedIncreases {
		p1 := p0 + part*(1-p0)
		d.mixtures[s][i].logSum += bad*math.Log(p1/p0) + good*math.Log((1-p1)/(1-p0))
	}
}

// maxToleratedShare keeps the logarithms finite.
const maxToleratedShare = 0.95

// reference returns the bad share up to which the new version is tolerated.
func toleratedShare(s Signal, old Count) float64 {
	n := float64(old.Total)
	z2 := referenceZ * referenceZ
	m := float64(old.Bad) / n
	p := (m + z2/(2*n) + referenceZ*math.Sqrt(m*(1-m)/n+z2/(4*n*n))) / (1 + z2/n)
	return min(p+toleratedIncreases[s], maxToleratedShare)
}

// Verdict returns the signal that shows a change for the worse.
func (d *Detector) Regression() (Signal, bool) {
	s, doubt := d.LogEvidence()
	return s, doubt >= math.Log(float64(signalCount)/maxFalseStopProbability)
}

// Doubt returns the signal that speaks most against the version, with the
// logarithm of the evidence against it: below 0 it speaks for the version.
func (d *Detector) LogEvidence() (Signal, float64) {
	worst, doubt := Signal(0), math.Inf(-1)
	for s := range d.mixtures {
		sum := math.Inf(-1)
		for i := range d.mixtures[s] {
			sum = logSumExp(sum, d.mixtures[s][i].logSum)
		}
		if x := sum - math.Log(float64(len(detectedIncreases))); x > doubt {
			worst, doubt = Signal(s), x
		}
	}
	return worst, doubt
}

// Seen returns the events that were folded.
func (d *Detector) Observed() Tally { return d.observed.Sum() }

func logSumExp(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
