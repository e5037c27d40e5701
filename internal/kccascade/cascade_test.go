package kccascade

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const class = "menu"

func testSteps() []Step {
	return []Step{
		{Version: "small", Declared: 0.8, Cost: 10, TimeMs: 1000},
		{Version: "mid", Declared: 0.9, Cost: 30, TimeMs: 2000},
		{Version: "large", Declared: 0.97, Cost: 80, TimeMs: 4000},
	}
}

func testRequirements() Requirements {
	return Requirements{Class: class, Target: 0.88, SlackMs: kcclock.Minute, Cascade: true, ExploreSample: 1}
}

func bestPlan(t *testing.T, l *Learner, now kcclock.Millis, n Requirements) Plan {
	t.Helper()
	p, _, ok := l.BestPlan(now, n, testSteps(), nil)
	if !ok {
		t.Fatal("no plan")
	}
	return p
}

func recordOutcomes(l *Learner, now kcclock.Millis, c Chain, good, total int) {
	for i := range total {
		l.RecordRating(class, c, i < good, now)
		l.RecordCheck(class, c.First, i*5 < total*4, now)
	}
}

// Guards against a cascade without evidence at the cold start, and against
// estimates that do not decay while the rating service is down.
func TestColdStartAndDecayAreSafe(t *testing.T) {
	l := NewLearner(Options{HalfLifeMs: kcclock.Hour})
	cascade := Chain{First: "small", Second: "large"}
	if p := bestPlan(t, l, 0, testRequirements()); p.Chain != (Chain{First: "mid"}) {
		t.Fatalf("cold start uses %v, want the cheapest version with a sufficient declared quality", p.Chain)
	}
	recordOutcomes(l, 0, cascade, 30, 30)
	for range 200 {
		l.RecordCheck(class, "small", true, 0)
	}
	if p := bestPlan(t, l, 0, testRequirements()); p.Second != "" {
		t.Fatalf("30 ratings are enough for %v", p.Chain)
	}
	recordOutcomes(l, 0, cascade, 460, 500)
	if p := bestPlan(t, l, 0, testRequirements()); p.Chain != cascade {
		t.Fatalf("with 460 good of 500 it uses %v, want %v", p.Chain, cascade)
	}
	if p := bestPlan(t, l, 5*kcclock.Hour, testRequirements()); p.Chain != (Chain{First: "mid"}) {
		t.Errorf("5 half-lives after the last rating it uses %v, want the declared choice", p.Chain)
	}
}

// Guards against a cascade for work that must not be repeated, one that cannot
// finish in time, and a plan for a deadline that no version meets.
func TestCascadeNeedsRepeatableWorkAndTime(t *testing.T) {
	l := NewLearner(Options{})
	recordOutcomes(l, 0, Chain{First: "small", Second: "large"}, 480, 500)
	n := testRequirements()
	n.Cascade = false
	if p := bestPlan(t, l, 0, n); p.Second != "" {
		t.Errorf("non-repeatable work got the cascade %v", p.Chain)
	}
	n = testRequirements()
	n.SlackMs = 4500
	if p := bestPlan(t, l, 0, n); p.Chain != (Chain{First: "mid"}) {
		t.Errorf("with 4.5 s it uses %v, whose two steps take 5 s", p.Chain)
	}
	n.SlackMs = 900
	if _, _, ok := l.BestPlan(0, n, testSteps(), nil); ok {
		t.Error("a plan was found for a deadline that no version meets")
	}
}

// Guards against long good evidence that hides a version that has turned bad.
func TestRecentEvidenceOverridesOldEvidence(t *testing.T) {
	l := NewLearner(Options{})
	c := Chain{First: "small", Second: "large"}
	recordOutcomes(l, 0, c, 3900, 4000)
	if p := bestPlan(t, l, 0, testRequirements()); p.Chain != c {
		t.Fatalf("with 3900 good of 4000 it uses %v", p.Chain)
	}
	recordOutcomes(l, 3*kcclock.Hour, c, 20, 60)
	if p := bestPlan(t, l, 3*kcclock.Hour, testRequirements()); p.Chain == c {
		t.Error("the cascade is used after 40 of the last 60 answers were bad")
	}
}

// Guards against an exploration share that brings the mean quality below the
// target when the tried cascade is as bad as its lower bound allows.
func TestExplorationKeepsTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := rapid.Float64Range(0.5, 0.95).Draw(t, "target")
		chosen := Plan{lowerQuality: rapid.Float64Range(target, 1).Draw(t, "chosen")}
		open := Plan{lowerQuality: rapid.Float64Range(0, 1).Draw(t, "open")}
		s := exploreShare(&chosen, &open, target)
		if s <= minExploreShare {
			return
		}
		if mix := s*open.lowerQuality + (1-s)*chosen.lowerQuality; mix < target-1e-9 {
			t.Fatalf("share %.3f mixes %.3f and %.3f to %.3f, target %.3f", s, open.lowerQuality, chosen.lowerQuality, mix, target)
		}
	})
}

// Guards against a Wilson interval that does not contain the mean, leaves the
// range from 0 to 1, or has a wrong lower bound.
func TestWilsonInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 2000).Draw(t, "n")
		k := rapid.IntRange(0, n).Draw(t, "k")
		e := WilsonInterval(float64(k), float64(n))
		if e.Lower > e.Mean+1e-12 || e.Upper < e.Mean-1e-12 || e.Lower < 0 || e.Upper > 1 {
			t.Fatalf("%d of %d: %+v", k, n, e)
		}
	})
	if e := WilsonInterval(450, 500); e.Lower < 0.873 || e.Lower > 0.877 {
		t.Errorf("lower bound of 450 of 500 is %.4f, want 0.875", e.Lower)
	}
}

// Guards against a check that rejects ordinary answers or passes answers with
// signs of a bad one.
func TestCheckAnswer(t *testing.T) {
	for _, c := range []struct {
		a    Answer
		want CheckResult
	}{
		{Answer{Text: "Beans, bread and coffee for eleven.", FinishReason: "stop"}, Passed},
		{Answer{Text: "Beans, bread", FinishReason: "length"}, CutOff},
		{Answer{Text: "", FinishReason: "content_filter"}, Filtered},
		{Answer{Text: " ok ", FinishReason: "stop"}, TooShort},
		{Answer{Text: "I’m sorry, but I can't plan this.", FinishReason: "stop"}, Refusal},
		{Answer{Text: "Menu: " + strings.Repeat("beans and bread and more; ", 9), FinishReason: "stop"}, Repeating},
	} {
		if got := CheckAnswer(c.a, 400); got != c.want {
			t.Errorf("%q: %q, want %q", c.a.Text, got, c.want)
		}
	}
}
