package kcspeed_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcspeed"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

func speed(percent int) kcspeed.Load { return kcspeed.Load{Speed: percent} }

// factor returns how many times as long as usual a short piece of work takes.
func factor(u *kcspeed.Upstream, now kcclock.Millis) float64 { return u.Pace(now).Ms(1) }

// Guards against noise that is tracked after its period, and against a slow phase
// that is not noticed.
func TestDeviationFades(t *testing.T) {
	var u kcspeed.Upstream
	if u.Pace(1000) != (kcspeed.Pace{}) || factor(&u, 1000) != 1 {
		t.Error("an upstream that names no speed has a pace")
	}
	now := kcclock.Millis(1000)
	for range 100 {
		u.Record(now, speed(130), 0)
		now += 1000
	}
	u.Record(now, speed(325), 0)
	at := [3]float64{factor(&u, now), factor(&u, now+kcspeed.DeviationSpanMs/2), factor(&u, now+kcspeed.DeviationSpanMs)}
	if math.Abs(at[0]-3.25) > 0.01 || math.Abs(at[1]-2.3) > 0.1 || math.Abs(at[2]-1.3) > 0.1 {
		t.Errorf("%v at once, after half and after the whole span, want 3.25, 2.3 and 1.3", at)
	}
}

// Guards against a long queue that is taken to be worked off at the speed of a short
// slow phase.
func TestSlowPhaseEndsWithinLongWork(t *testing.T) {
	var u kcspeed.Upstream
	for now := kcclock.Millis(1000); now < 100_000; now += 1000 {
		u.Record(now, speed(100), 0)
	}
	u.Record(100_000, speed(250), 0)
	// The phase is expected to last for another 250 ms, in which 100 ms are done.
	if got := u.Pace(100_000).Ms(2100); got < 2250 || got > 2400 {
		t.Errorf("2,100 ms of work take %.0f ms, want 2,250 and 5%% at most", got)
	}
}

// Guards against speed that oscillates and makes the mean follow it: figures that
// follow each other closely are one phase.
func TestMeanUnderOscillation(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var u kcspeed.Upstream
	lowest, highest := math.Inf(1), 0.0
	for now, state := kcclock.Millis(1000), 100; now < 200_000; now += kcclock.Millis(20 + rnd.IntN(100)) {
		if now/600 != (now-100)/600 {
			state = 100
			if rnd.IntN(100) < 15 {
				state = 250
			}
		}
		u.Record(now, speed(state), 0)
		if now > 40_000 {
			f := factor(&u, now+10*kcspeed.DeviationSpanMs)
			lowest, highest = min(lowest, f), max(highest, f)
		}
	}
	if lowest < 1 || highest > 1.6 {
		t.Errorf("the mean is between %.2f and %.2f, want about 1.22", lowest, highest)
	}
}

// Guards against an upstream that lies about its speed or load and attracts
// requests without bound, or hides those that instances know of.
func TestFalseFiguresAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var u kcspeed.Upstream
		now := kcclock.Millis(1000)
		for range rapid.IntRange(1, 50).Draw(t, "figures") {
			now += kcclock.Millis(rapid.IntRange(0, 3000).Draw(t, "gap"))
			load := kcspeed.Load{
				Running: rapid.IntRange(0, 1<<30).Draw(t, "running"), Waiting: rapid.IntRange(0, 1<<30).Draw(t, "waiting"),
				Speed: rapid.IntRange(-5, kcspeed.MaxSpeed).Draw(t, "speed"),
			}
			inFlight := rapid.IntRange(0, 100).Draw(t, "in flight")
			if rapid.Bool().Draw(t, "own") {
				u.Record(now, load, inFlight)
			} else {
				u.Merge(now-kcclock.Millis(rapid.IntRange(-10, 3000).Draw(t, "age")), load, inFlight)
			}
			if f := factor(&u, now); u.Pace(now).Mean > 0 && (f < kcspeed.MinFactor-1e-9 || f > kcspeed.MaxFactor+1e-9) {
				t.Fatalf("factor %v", f)
			}
			if n := u.EstimatedLoad(now, inFlight, inFlight); n < inFlight {
				t.Fatalf("estimated load %d with %d requests in flight", n, inFlight)
			}
		}
	})
}

// Guards against an old figure that replaces a newer one, because the report with it
// arrives late or twice, and against a request of this instance that is left out
// because the figure of a peer is older.
func TestOnlyNewerFiguresCount(t *testing.T) {
	var u kcspeed.Upstream
	u.Record(1000, kcspeed.Load{Running: 4, Speed: 200}, 1)
	u.Merge(900, kcspeed.Load{Running: 9, Speed: 100}, 1)
	u.Merge(1000, kcspeed.Load{Running: 9, Speed: 100}, 1)
	if u.EstimatedLoad(1000, 1, 1) != 4 || factor(&u, 1000) != 2 {
		t.Errorf("load %d, factor %v after an old figure, want 4 and 2", u.EstimatedLoad(1000, 1, 1), factor(&u, 1000))
	}
	u.Sent(1200)
	u.Merge(1100, kcspeed.Load{Running: 6, Speed: 100}, 2)
	if got := u.EstimatedLoad(1200, 2, 2); got != 7 {
		t.Errorf("load %d, want 6 and the request that was sent since", got)
	}
	if _, age, ok := u.Own(1200); !ok || age != 200 {
		t.Errorf("the own figure is %d ms old, %v: a figure of a peer must not be passed on", age, ok)
	}
	u.RecordFull(1300, 8, 2)
	if u.EstimatedLoad(1300, 2, 2) != 9 || u.EstimatedLoad(1551, 2, 2) != 2 {
		t.Errorf("load %d, later %d after a rejection, want 9 and 2", u.EstimatedLoad(1300, 2, 2), u.EstimatedLoad(1551, 2, 2))
	}
}
