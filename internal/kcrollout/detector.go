package kcrollout

import (
	"maps"
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxFalseStopProbability bounds the probability that a version within the
// tolerance is ever stopped. The design requires less than 1%; a fifth of that
// is left for the error of the reference rate. That error is small because the
// tolerance is added to the reference.
const maxFalseStopProbability = 0.008

// toleratedIncreases holds, per signal, the increase of the bad share that does
// not justify a stop.
var toleratedIncreases = [signalCount]float64{BadRating: 0.02, FailedCheck: 0.02, Failure: 0.01, Slow: 0.05, VerySlow: 0.05}

// minReferenceEvents is the least number of events for a reference rate. A
// stratum without a reference is not tested.
const minReferenceEvents = 50

// referenceZ is the z value of the one-sided 95% upper bound on the bad share
// of the old version. If the true share exceeds the bound, the tolerance still
// remains as a margin.
const referenceZ = 1.645

// detectedIncreases holds the alternative hypotheses: each is a bad share, as a
// fraction of the distance from the reference to 1. The test is a mixture over
// them.
var detectedIncreases = [...]float64{0.08, 0.2, 0.4, 0.7}

// defaultStartInterval is the time between the starting points of a roll-out
// test.
const defaultStartInterval = kcclock.Minute

// Detector is an anytime-valid sequential test: its result may be read at any
// time and any number of times. For each signal it sums, over possible times of
// the change, the likelihood ratio of a worse version since that time. The
// weights of the starting points sum to at most 1, so while the version is
// within the tolerance the sum exceeds 1/p with probability at most p (Ville's
// inequality). Old good evidence does not hide a late change, because later
// starting points do not include it.
type Detector struct {
	mixtures [signalCount][len(detectedIncreases)]mixture
	observed Strata
	// initial holds the first events of the new version per stratum. They serve
	// as the reference where the old version has none, so that a later change
	// is still detected.
	initial     Strata
	startPoints float64
	// starts holds the newest starting points of the tests of latency.
	starts []start
	// startInterval is the time between starting points.
	startInterval kcclock.Millis
	startedAt     kcclock.Millis
}

// start is a starting point of the tests of latency. Whether an answer is slow depends
// on the usual times, which are known well only later, and so is the share of slow
// answers of the old version. All answers since a starting point are therefore
// compared with the newest reference, and not each with that of its time.
type start struct {
	logWeight float64
	// observed holds the counts at the starting point.
	observed Strata
}

// maxStarts bounds the starting points that are kept.
const maxStarts = 64

// mixture is the logarithm of the weighted sum of likelihood ratios.
type mixture struct{ logSum float64 }

// NewDetector returns a test for a roll-out that starts now.
func NewDetector(now kcclock.Millis) *Detector { return NewDetectorEvery(now, defaultStartInterval) }

// NewDetectorEvery returns a test that adds a starting point after each step. A
// version that turns bad is detected within about one step. More starting
// points make detection slightly slower.
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

// startWeightNorm exceeds the sum of 1/(n*log(n+1)^2) over all n, so the
// weights of the starting points sum to less than 1. These weights fall more
// slowly than 1/n^2, which speeds up the detection of late changes.
const startWeightNorm = 3.4

// addStartPoint adds the starting point of the next interval to every mixture.
func (d *Detector) addStartPoint() {
	d.startPoints++
	w := -math.Log(startWeightNorm * d.startPoints * math.Pow(math.Log(d.startPoints+1), 2))
	observed := maps.Clone(d.observed)
	if len(d.starts) == maxStarts {
		d.starts = slices.Delete(d.starts, 1, 2)
	}
	d.starts = append(d.starts, start{w, observed})
	for s := range d.mixtures {
		for i := range d.mixtures[s] {
			d.mixtures[s][i].logSum = logSumExp(d.mixtures[s][i].logSum, w)
		}
	}
}

// Observe adds the events of the new version that the test has not counted yet.
// fresh and old are cumulative counts; old holds those of the replaced version.
func (d *Detector) Observe(now kcclock.Millis, fresh, old Strata) {
	for d.startedAt+kcclock.Millis(d.startPoints)*d.startInterval <= now {
		d.addStartPoint()
	}
	for stratum, t := range fresh {
		delta := t.Minus(d.observed[stratum])
		for s := range delta {
			if isLatency(Signal(s)) {
				continue
			}
			d.observeSignal(Signal(s), delta[s], old[stratum][s], d.initial[stratum][s])
		}
		initial := d.initial[stratum]
		for s := range initial {
			if initial[s].Total < minReferenceEvents {
				initial[s].Bad += delta[s].Bad
				initial[s].Total += delta[s].Total
			}
		}
		d.initial[stratum] = initial
		d.observed[stratum] = d.observed[stratum].Plus(delta)
	}
	d.weighLatency(Slow, old)
	d.weighLatency(VerySlow, old)
}

// isLatency reports whether a signal tells how long answers took.
func isLatency(s Signal) bool { return s == Slow || s == VerySlow }

// weighLatency computes the evidence of a latency signal from all answers since each
// starting point.
func (d *Detector) weighLatency(s Signal, old Strata) {
	for i := range d.mixtures[s] {
		d.mixtures[s][i].logSum = math.Inf(-1)
	}
	for _, from := range d.starts {
		var ratios [len(detectedIncreases)]float64
		for stratum, t := range d.observed {
			since := from.observed[stratum][s]
			reference := old[stratum][s]
			if initial := d.initial[stratum][s]; reference.Total < minReferenceEvents {
				// The first answers of the new version are the reference, so
				// they are not tested.
				reference = initial
				if since.Total < initial.Total {
					since = initial
				}
			}
			if reference.Total < minReferenceEvents {
				continue
			}
			bad, all := t[s].Bad-since.Bad, t[s].Total-since.Total
			addLogRatios(&ratios, s, max(bad, 0), max(all-max(bad, 0), 0), reference)
		}
		for i, ratio := range ratios {
			m := &d.mixtures[s][i]
			m.logSum = logSumExp(m.logSum, from.logWeight+ratio)
		}
	}
}

// addLogRatios adds the logarithms of the likelihood ratios of counts.
func addLogRatios(sums *[len(detectedIncreases)]float64, s Signal, bad, good int64, reference Count) {
	p0 := toleratedShare(s, reference)
	for i, part := range detectedIncreases {
		p1 := p0 + part*(1-p0)
		sums[i] += float64(bad)*math.Log(p1/p0) + float64(good)*math.Log((1-p1)/(1-p0))
	}
}

func (d *Detector) observeSignal(s Signal, delta, old, initial Count) {
	if old.Total < minReferenceEvents {
		old = initial
	}
	if delta.Total == 0 || old.Total < minReferenceEvents {
		return
	}
	var ratios [len(detectedIncreases)]float64
	addLogRatios(&ratios, s, delta.Bad, delta.Total-delta.Bad, old)
	for i, ratio := range ratios {
		d.mixtures[s][i].logSum += ratio
	}
}

// maxToleratedShare keeps the logarithms of the likelihood ratio finite.
const maxToleratedShare = 0.95

// toleratedShare returns the bad share up to which the new version is
// tolerated: the Wilson upper bound of the old share plus the tolerance.
func toleratedShare(s Signal, old Count) float64 {
	n := float64(old.Total)
	z2 := referenceZ * referenceZ
	m := float64(old.Bad) / n
	p := (m + z2/(2*n) + referenceZ*math.Sqrt(m*(1-m)/n+z2/(4*n*n))) / (1 + z2/n)
	return min(p+toleratedIncreases[s], maxToleratedShare)
}

// Regression returns the signal with the strongest evidence, and whether that
// evidence shows that the version is worse than tolerated.
func (d *Detector) Regression() (Signal, bool) {
	s, logEvidence := d.LogEvidence()
	return s, logEvidence >= math.Log(float64(signalCount)/maxFalseStopProbability)
}

// LogEvidence returns the signal with the strongest evidence against the
// version and the logarithm of that evidence. A negative value is evidence for
// the version.
func (d *Detector) LogEvidence() (Signal, float64) {
	worst, logEvidence := Signal(0), math.Inf(-1)
	for s := range signalCount {
		if x := d.signalEvidence(s); x > logEvidence {
			worst, logEvidence = s, x
		}
	}
	return worst, logEvidence
}

// signalEvidence returns the logarithm of the evidence of one signal.
func (d *Detector) signalEvidence(s Signal) float64 {
	sum := math.Inf(-1)
	for i := range d.mixtures[s] {
		sum = logSumExp(sum, d.mixtures[s][i].logSum)
	}
	return sum - math.Log(float64(len(detectedIncreases)))
}

// Observed returns the counts of all events added so far.
func (d *Detector) Observed() Tally { return d.observed.Sum() }

// logSumExp returns log(exp(a)+exp(b)) without overflow.
func logSumExp(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
