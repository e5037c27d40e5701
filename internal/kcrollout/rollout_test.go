package kcrollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

func testRollout(stage int) kcrules.Rollout {
	return kcrules.Rollout{From: "m@1", To: "m@2", Stages: []float64{0.05, 0.25, 1}, StageIndex: stage}
}

// Guards against an exposed share that differs from the stage, a request that
// returns to the old version at a later stage, and a workspace without
// MaxRolloutShare that is exposed early.
func TestExposureFollowsStages(t *testing.T) {
	const n = 20000
	w, careful := kcrules.Workspace{MaxRolloutShare: 0.1}, kcrules.Workspace{}
	for stage, want := range []float64{0.05, 0.1, 1} {
		hits := 0
		for i := range n {
			key := fmt.Sprint("request", i)
			if Exposed(testRollout(stage), w, key) {
				hits++
			} else if stage > 0 && Exposed(testRollout(stage-1), w, key) {
				t.Fatalf("%s is exposed at stage %d and not at stage %d", key, stage-1, stage)
			}
			if stage < 2 && Exposed(testRollout(stage), careful, key) {
				t.Fatalf("a workspace without a share is exposed at stage %d", stage)
			}
		}
		if got := float64(hits) / n; math.Abs(got-want) > 0.01 {
			t.Errorf("stage %d exposes %.3f, want %.3f", stage, got, want)
		}
	}
	stopped := testRollout(2)
	stopped.Stopped = true
	if Exposed(stopped, w, "x") {
		t.Error("a stopped roll-out exposes a request")
	}
}

// simulateRollout observes simulated evidence minute by minute and returns the
// minute of the stop, or -1. The new version turns bad at minute bad.
func simulateRollout(r *rand.Rand, minutes, bad int, clean, worse float64) int {
	d := NewDetector(0)
	var fresh, old Tally
	for m := range minutes {
		p := clean
		if m >= bad {
			p = worse
		}
		for range 15 {
			fresh.Add(BadRating, r.Float64() < p)
			old.Add(BadRating, r.Float64() < clean)
			fresh.Add(FailedCheck, r.Float64() < clean/2)
			old.Add(FailedCheck, r.Float64() < clean/2)
		}
		d.Observe(kcclock.Millis(m)*kcclock.Minute, Strata{"menu": fresh}, Strata{"menu": old})
		if _, stop := d.Regression(); stop {
			return m
		}
	}
	return -1
}

// Guards against false stops of clean roll-outs: fewer than 1% of 2000
// roll-outs of 5 hours, with the evidence read every minute.
func TestFalseStopsUnderOnePercent(t *testing.T) {
	const days = 2000
	r := rand.New(rand.NewPCG(1, 2))
	stops := 0
	for i := range days {
		clean := []float64{0.02, 0.1, 0.3}[i%3]
		if simulateRollout(r, 300, math.MaxInt, clean, 0) >= 0 {
			stops++
		}
	}
	t.Logf("%d of %d clean roll-outs were stopped", stops, days)
	if stops >= days/100 {
		t.Errorf("%d of %d clean roll-outs were stopped", stops, days)
	}
}

// Guards against a detector that misses a change, early in a roll-out or late
// after hours of good evidence at the full share.
func TestFindsEarlyAndLateChanges(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for _, bad := range []int{5, 400} {
		total := 0
		for range 100 {
			m := simulateRollout(r, 480, bad, 0.1, 0.5)
			if m < bad {
				t.Fatalf("a change at minute %d was reported at %d", bad, m)
			}
			total += m - bad
		}
		t.Logf("change at minute %d found after %.1f minutes on average", bad, float64(total)/100)
		if total/100 > 10 {
			t.Errorf("a change at minute %d is found after %d minutes on average", bad, total/100)
		}
	}
}

// Guards against evidence that depends on the order, loss or repetition of
// messages.
func TestEvidenceMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		arm := Arm{Version: "m@2", Stratum: "menu"}
		own := make([]*Evidence, 3)
		for i := range own {
			own[i] = NewEvidence()
		}
		pooled := NewEvidence()
		var want Tally
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			i := rapid.IntRange(0, 2).Draw(t, "instance")
			bad := rapid.Bool().Draw(t, "bad")
			own[i].Add(fmt.Sprint(i), arm, BadRating, bad)
			want.Add(BadRating, bad)
			if rapid.Bool().Draw(t, "message") {
				pooled.Merge(own[rapid.IntRange(0, 2).Draw(t, "from")])
			}
		}
		for _, i := range rapid.Permutation([]int{0, 1, 2, 0, 1}).Draw(t, "order") {
			pooled.Merge(own[i])
		}
		pooled.Merge(own[2])
		if got := pooled.Pooled("m@2").Sum(); got != want {
			t.Fatalf("pooled %v, want %v", got, want)
		}
	})
}

// fakeConfigLog accepts a change only if it builds on the newest revision.
type fakeConfigLog struct {
	cur  ActiveRollout
	down bool
}

func (l *fakeConfigLog) publish(_ string, revision int64, r kcrules.Rollout) {
	if !l.down && revision == l.cur.Revision {
		l.cur = ActiveRollout{Rollout: r, Revision: revision + 1}
	}
}

func addRatings(e *Evidence, n int, bad bool) {
	for range n {
		e.Add("a", Arm{"m@1", "menu"}, BadRating, false)
		e.Add("a", Arm{"m@2", "menu"}, BadRating, bad)
	}
}

// Guards against a stop that waits for the log, one that later good evidence
// lifts, and one that overrides an operator's change.
func TestStopPersistsUntilOperatorChange(t *testing.T) {
	l := &fakeConfigLog{cur: ActiveRollout{Rollout: testRollout(1), Revision: 1}, down: true}
	c := NewController(ControllerOptions{MinStageMs: kcclock.Minute, MinStageRatings: 10, Publish: l.publish})
	e := NewEvidence()
	addRatings(e, 100, false)
	c.Evaluate(0, "m", l.cur, e, false)
	addRatings(e, 100, true)
	c.Evaluate(kcclock.Minute, "m", l.cur, e, false)
	if !c.EffectiveRollout("m", l.cur).Stopped || l.cur.Rollout.Stopped {
		t.Fatal("with the log down the stop must be in effect on this instance only")
	}
	addRatings(e, 500, false)
	l.down = false
	c.Evaluate(2*kcclock.Minute, "m", l.cur, e, true)
	if !l.cur.Rollout.Stopped {
		t.Fatal("the stop was not published when the log was back")
	}
	operator := testRollout(1)
	l.cur = ActiveRollout{Rollout: operator, Revision: l.cur.Revision + 1}
	if c.EffectiveRollout("m", l.cur).Stopped {
		t.Fatal("the operator's change takes effect only at the next evaluation")
	}
	for m := range 5 {
		c.Evaluate(kcclock.Millis(3+m)*kcclock.Minute, "m", l.cur, e, false)
		if c.EffectiveRollout("m", l.cur).Stopped {
			t.Fatal("evidence from before the operator's change stopped the roll-out again")
		}
	}
}

// Guards against a stage that is published without the lease, too early, or
// over an operator's concurrent change.
func TestStageNeedsLeaseTimeAndRevision(t *testing.T) {
	l := &fakeConfigLog{cur: ActiveRollout{Rollout: testRollout(0), Revision: 1}}
	c := NewController(ControllerOptions{MinStageMs: kcclock.Minute, MinStageRatings: 10, Publish: l.publish})
	e := NewEvidence()
	c.Evaluate(0, "m", l.cur, e, true)
	addRatings(e, 60, false)
	c.Evaluate(kcclock.Second, "m", l.cur, e, true)
	c.Evaluate(kcclock.Minute, "m", l.cur, e, false)
	if l.cur.Rollout.StageIndex != 0 {
		t.Fatalf("stage %d was published too early or without the lease", l.cur.Rollout.StageIndex)
	}
	c.Evaluate(kcclock.Minute, "m", l.cur, e, true)
	if l.cur.Rollout.StageIndex != 1 {
		t.Fatalf("stage %d, want 1", l.cur.Rollout.StageIndex)
	}
	stale := l.cur
	l.cur = ActiveRollout{Rollout: testRollout(0), Revision: 9}
	addRatings(e, 60, false)
	c.Evaluate(3*kcclock.Minute, "m", stale, e, true)
	if l.cur.Revision != 9 {
		t.Fatal("a stage overwrote an operator's change")
	}
}

// Guards against a table that grows with every replaced instance, and against
// counts that are lost when an instance is retired.
func TestRetireInstancesKeepsTotals(t *testing.T) {
	e := NewEvidence()
	arm := Arm{Version: "m@2", Stratum: "menu"}
	for n := range 100 {
		e.MergeCounts("instance-"+strconv.Itoa(n), arm, Tally{BadRating: {Bad: 1, Total: 3}})
	}
	want := e.Pooled("m@2")["menu"]
	for range 2 { // the entry of the retired instances must not be retired itself
		e.RetireInstances(func(instance string) bool { return instance != "instance-7" })
	}
	if got := e.Pooled("m@2")["menu"]; got != want {
		t.Errorf("pooled %v after the retirement, want %v", got, want)
	}
	if n := len(e.counts[arm]); n != 2 {
		t.Errorf("%d entries left, want the live instance and one sum", n)
	}
}
