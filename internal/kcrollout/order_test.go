package kcrollout_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// orderRun is the result of a simulated order.
type orderRun struct {
	stage      kctable.RolloutState
	finishedAt kcclock.Millis
	// targetRequests and allRequests count the requests until the deadline.
	targetRequests, allRequests int
	// sentAfterBad is the time from the 50th bad answer to the last request
	// sent to the target, or 0 if there were fewer bad answers.
	sentAfterBad kcclock.Millis
}

const (
	spanMs        = 24 * kcclock.Second
	exposureShare = 0.15
	stepMs        = 50 * kcclock.Millisecond
	// evidenceDelayMs is the delay of the evidence and of the published state.
	evidenceDelayMs = kcclock.Second
)

// simulateOrder runs an order with 60 requests a second. badAt returns the
// probability that an answer of the target is bad at a given time.
func simulateOrder(seed uint64, signal kcrollout.Signal, base float64, badAt func(kcclock.Millis) float64) orderRun {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var d orderRun
	order := kctable.RolloutOrder{Service: "s", Target: "v2", TimeLimitMs: spanMs, Offset: 1}
	v := kcrollout.OrderView{
		Order: order, ProgressKnown: true, ProgressFresh: true, ExposureShare: exposureShare,
		Progress: kctable.RolloutProgress{Service: "s", Target: "v2", OrderOffset: 1, TargetServing: true},
	}
	det := kcrollout.NewOrderDetector(0, order)
	fresh, old := kcrollout.Strata{}, kcrollout.Strata{}
	bad, fiftieth, last := 0, kcclock.Millis(0), kcclock.Millis(0)
	for now := kcclock.Millis(0); now <= spanMs; now += stepMs {
		v.Elapsed = now
		split := kcrollout.SplitTraffic(v)
		for range 3 {
			d.allRequests++
			isTarget := !split.ExcludeTarget && (split.TargetOnly || rnd.Float64() < split.TargetShare)
			p, strata := base, old
			if isTarget {
				d.targetRequests++
				last = now
				p, strata = badAt(now), fresh
			}
			isBad := rnd.Float64() < p
			addAnswer(strata, signal, isBad)
			if isTarget && isBad {
				if bad++; bad == 50 {
					fiftieth = now
				}
			}
		}
		if now%evidenceDelayMs != 0 {
			continue
		}
		det.Observe(now, fresh, old)
		next, ok := kcrollout.NextProgress(v, det)
		if ok && v.Progress.State == kctable.RolloutRunning {
			v.Progress = next
			if next.State != kctable.RolloutRunning {
				d.stage, d.finishedAt = next.State, now
			}
		}
	}
	if fiftieth > 0 {
		d.sentAfterBad = last - fiftieth
	}
	return d
}

func addAnswer(s kcrollout.Strata, signal kcrollout.Signal, bad bool) {
	t := s["r"]
	t.Add(kcrollout.Failure, bad && signal == kcrollout.Failure)
	if signal == kcrollout.Slow {
		t.Add(signal, bad)
	}
	s["r"] = t
}

func constantRate(p float64) func(kcclock.Millis) float64 {
	return func(kcclock.Millis) float64 { return p }
}

// Guards against a bad version that gets more than its permitted share of
// requests, whether or not a signal shows the fault, and against one that still
// gets requests long after 50 bad answers.
func TestOrderBoundsExposure(t *testing.T) {
	failsFromHalfTime := func(kcclock.Millis) func(kcclock.Millis) float64 {
		return func(now kcclock.Millis) float64 {
			if now < 12*kcclock.Second {
				return 0
			}
			return 0.4
		}
	}
	cases := map[string]struct {
		signal kcrollout.Signal
		base   float64
		badAt  func(kcclock.Millis) float64
	}{
		"fails a third":    {kcrollout.Failure, 0.005, constantRate(0.33)},
		"fails late":       {kcrollout.Failure, 0.005, failsFromHalfTime(0)},
		"all answers slow": {kcrollout.Slow, 0.2, constantRate(0.95)},
		"undetectable":     {kcrollout.Failure, 0.005, constantRate(0)},
	}
	for name, c := range cases {
		for seed := range uint64(20) {
			d := simulateOrder(seed, c.signal, c.base, c.badAt)
			// The stated bound: the exposure share of all requests plus 30.
			if allowed := int(exposureShare*float64(d.allRequests)) + 30; d.targetRequests > allowed {
				t.Errorf("%s, seed %d: %d of %d requests, allowed %d", name, seed, d.targetRequests, d.allRequests, allowed)
			}
			if d.sentAfterBad > 5*kcclock.Second {
				t.Errorf("%s, seed %d: requests until %d ms after the 50th bad answer", name, seed, d.sentAfterBad)
			}
		}
	}
}

// Guards against a good version that is not in force at the deadline, and
// against a bad one that is.
func TestOrderIsConcludedInTime(t *testing.T) {
	reverted := 0
	for seed := range uint64(100) {
		d := simulateOrder(seed, kcrollout.Failure, 0.005, constantRate(0.005))
		if d.stage != kctable.RolloutComplete || d.finishedAt == 0 {
			reverted++
		}
		if d = simulateOrder(
			seed, kcrollout.Failure, 0.005, constantRate(0.33),
		); d.stage != kctable.RolloutReverted || d.finishedAt == 0 {
			t.Errorf("seed %d: a version that fails a third is %v", seed, d.stage)
		}
	}
	if reverted > 1 {
		t.Errorf("%d of 100 good versions were not completed, want at most 1", reverted)
	}
}

// Guards against an instance that moves sessions back to the old version when
// its view of the order is out of date, that sends requests to the target
// before the instances agree on the start, or that stops an order on its own
// evidence while the judge can decide.
func TestOrderAtOneInstance(t *testing.T) {
	v := kcrollout.OrderView{
		Order: kctable.RolloutOrder{TimeLimitMs: spanMs, Offset: 1}, ExposureShare: exposureShare,
		Elapsed: spanMs - 500, ProgressFresh: true,
		Progress: kctable.RolloutProgress{OrderOffset: 1},
	}
	if d := kcrollout.SplitTraffic(v); !d.ExcludeTarget {
		t.Errorf("unknown start: %+v, want no request", d)
	}
	v.ProgressKnown = true
	if d := kcrollout.SplitTraffic(v); d != (kcrollout.TrafficSplit{}) {
		t.Errorf("before the first step: %+v, want no request", d)
	}
	v.Progress.TargetServing = true
	for step := range 2 {
		v.Progress.Step = step
		v.ProgressFresh = true
		in := kcrollout.SplitTraffic(v)
		if in.MoveSessions != (step == 1) || in.TargetShare > exposureShare != (step == 1) || in.TargetOnly || in.ExcludeTarget {
			t.Errorf("step %d: %+v", step, in)
		}
		v.ProgressFresh = false
		if out := kcrollout.SplitTraffic(v); out != in {
			t.Errorf("step %d with an outdated state: %+v, with a fresh state %+v", step, out, in)
		}
		v.LocallySuspect = true
		if d := kcrollout.SplitTraffic(v); !d.ExcludeTarget {
			t.Errorf("outdated state and local evidence: %+v, want no request", d)
		}
		v.ProgressFresh = true
		if d := kcrollout.SplitTraffic(v); d != in {
			t.Errorf("fresh state and local evidence: %+v, want the decision of the judge", d)
		}
		v.LocallySuspect = false
	}
	v.Progress.State = kctable.RolloutReverted
	if d := kcrollout.SplitTraffic(v); !d.ExcludeTarget {
		t.Errorf("reverted: %+v, want no request", d)
	}
	v.Progress.State = kctable.RolloutComplete
	if d := kcrollout.SplitTraffic(v); !d.TargetOnly {
		t.Errorf("complete: %+v, want only the target", d)
	}
}

// Guards against an order with weak evidence against its target that is
// reverted at its end, or that enters the full-traffic step without time for
// it.
func TestOrderInDoubtIsConcludedAtItsEnd(t *testing.T) {
	order := kctable.RolloutOrder{Service: "s", Target: "v2", TimeLimitMs: spanMs, Offset: 1}
	det := kcrollout.NewOrderDetector(0, order)
	fresh, old := kcrollout.Strata{}, kcrollout.Strata{}
	for range 200 {
		addAnswer(old, kcrollout.Failure, false)
	}
	// A typical number of good answers, then failures until the evidence
	// exceeds the limit of the first step.
	for range 25 {
		addAnswer(fresh, kcrollout.Failure, false)
	}
	det.Observe(0, fresh, old)
	logEvidence := 0.0
	for logEvidence < math.Log(4) {
		addAnswer(fresh, kcrollout.Failure, true)
		det.Observe(0, fresh, old)
		_, logEvidence = det.LogEvidence()
	}
	if logEvidence >= math.Log(50) {
		t.Fatalf("log evidence %.1f exceeds the final limit", logEvidence)
	}
	v := kcrollout.OrderView{
		Order: order, ProgressKnown: true, ProgressFresh: true, ExposureShare: exposureShare,
		Progress: kctable.RolloutProgress{Service: "s", Target: "v2", OrderOffset: 1, TargetServing: true},
	}
	for part, want := range map[float64]kctable.RolloutState{0.93: kctable.RolloutRunning, 0.96: kctable.RolloutComplete} {
		v.Elapsed = kcclock.Millis(part * float64(spanMs))
		if next, ok := kcrollout.NextProgress(v, det); next.State != want || ok != (want != kctable.RolloutRunning) {
			t.Errorf("after %.2f of the time: %v, %v, want %v", part, next, ok, want)
		}
	}
}
