package kcretry

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against more retries than the permitted share of the first tries.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Share: 0.1, Burst: 5}
		tries, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "try") {
				b.AddFirstTry()
				tries++
			} else if b.TakeRetry() {
				retries++
			}
			if float64(retries) > 0.1*float64(tries)+1e-9 {
				t.Fatalf("%d retries for %d tries", retries, tries)
			}
		}
	})
}

// Guards against delays beyond the bounds and an overflow when the delay
// doubles.
func TestBackoffIsBounded(t *testing.T) {
	b := Backoff{BaseMs: 50, MaxMs: 2000}
	for n, want := range map[int]kcclock.Millis{0: 50, 3: 400, 6: 2000, 1000: 2000} {
		if got := b.Delay(n, 1); got != want {
			t.Errorf("retry %d waits up to %d, want %d", n, got, want)
		}
		if b.Delay(n, 0) != 0 {
			t.Errorf("retry %d without jitter", n)
		}
	}
}

// Guards against a second load peak when an upstream recovers: callers whose
// requests were held back retry at once, and the upstream must get its usual
// load only gradually.
func TestRecoveryWithoutSecondPeak(t *testing.T) {
	const usual, backlog, capacity = 100, 5000, 130
	r := rand.New(rand.NewPCG(1, 1))
	b := NewBreaker(BreakerOptions{Failures: 5, OpenMs: 500, RampMs: 10 * kcclock.Second})
	limit := NewAdaptiveLimit(AdaptiveLimitOptions{Min: 4, Max: 200, Tolerance: 2})
	waiting, worst, failures := 0, 0, 0
	for tick := range kcclock.Millis(600) {
		now := tick * 100
		down := tick >= 100 && tick < 200
		if tick == 200 {
			waiting += backlog
		}
		waiting += usual / 10
		sent := 0
		for range waiting {
			if !b.Allow(now, r.Float64()) || !limit.TryAcquire() {
				continue
			}
			sent++
		}
		waiting -= sent
		worst = max(worst, sent)
		for range sent {
			ok := !down && sent <= capacity
			if !ok {
				failures++
			}
			b.Record(now, ok)
			limit.Release(now, 100, ok)
		}
	}
	t.Logf("largest batch %d of a capacity of %d, %d failures, %d waiting", worst, capacity, failures, waiting)
	if worst > capacity {
		t.Errorf("%d requests in one step, the capacity is %d", worst, capacity)
	}
	if b.State() != Closed || waiting > 0 {
		t.Errorf("state %d with %d requests waiting a while after the recovery", b.State(), waiting)
	}
}

// Guards against a limit that does not fall when an upstream slows down, that
// leaves its bounds, or that counts the slow answers of one overload several
// times.
func TestAdaptiveLimitFollowsLatency(t *testing.T) {
	a := NewAdaptiveLimit(AdaptiveLimitOptions{Min: 4, Max: 100, Tolerance: 2})
	round := func(now, latency kcclock.Millis) {
		n := 0
		for a.TryAcquire() {
			n++
		}
		for range n {
			a.Release(now, latency, true)
		}
	}
	for i := range kcclock.Millis(200) {
		round(i*100, 100)
	}
	if a.Limit() != 100 {
		t.Errorf("limit %d after 200 rounds of quick answers, want 100", a.Limit())
	}
	round(100_000, 1000)
	if a.Limit() != 90 {
		t.Errorf("limit %d after one slow round, want 90", a.Limit())
	}
	for i := range kcclock.Millis(200) {
		round(200_000+i*10_000, 10_000)
	}
	if a.Limit() != 4 {
		t.Errorf("limit %d after 200 slow rounds, want 4", a.Limit())
	}
}

// Guards against a breaker that stays open because the result of its only probe
// was lost.
func TestLostProbeIsRepeated(t *testing.T) {
	b := NewBreaker(BreakerOptions{Failures: 1, OpenMs: 100, RampMs: 1000})
	b.Record(0, false)
	if b.Allow(50, 0) || !b.Allow(100, 0) || b.Allow(150, 0) || !b.Allow(200, 0) {
		t.Error("want a probe at 100 and another one at 200")
	}
	b.Record(210, true)
	if b.State() != Ramping || b.Allow(210, 0.5) || !b.Allow(1210, 0.99) {
		t.Error("want a ramp that ends after 1 s")
	}
}
