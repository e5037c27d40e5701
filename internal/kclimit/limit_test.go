package kclimit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against shares that sum to more than the limit when the views of the
// instances agree, or to more than the stated bound when they contradict each
// other.
func TestSharesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "instances")
		demand := rapid.SliceOfN(rapid.Float64Range(0, 100), n, n).Draw(t, "demand")
		total := 0.0
		for _, d := range demand {
			total += d
		}
		agreed, stale := 0.0, 0.0
		for _, d := range demand {
			agreed += InstanceShare(d, total, n)
			stale += InstanceShare(d, rapid.Float64Range(0, 4000).Draw(t, "seen"), n)
		}
		if agreed > 1+1e-9 {
			t.Fatalf("agreed views: shares sum to %.4f", agreed)
		}
		if stale > maxEqualParts+1e-9 {
			t.Fatalf("stale views: shares sum to %.4f", stale)
		}
	})
}

// overshootBound is the stated bound on the requests that n instances admit in
// a window, if each of them sees at least seen live instances.
func overshootBound(rate float64, n, seen int, windowMs kcclock.Millis) float64 {
	seconds := float64(windowMs)/float64(kcclock.Second) + requestBurstSeconds
	return maxEqualParts*rate*seconds*float64(n)/float64(seen) + minBurstRequests*float64(n)
}

// Guards against an overshoot beyond the bound while 9 instances exchange their
// demand late and with losses, one of them is killed, and callers move to other
// instances at any time.
func TestOvershootBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n, step = 9, 200 * kcclock.Millisecond
		rate := rapid.Float64Range(1, 200).Draw(t, "rate")
		w := kcrules.Workspace{RequestsPerSecond: rate}
		limiters := make([]*Limiter, n)
		for i := range limiters {
			limiters[i] = NewLimiter()
			limiters[i].SetPeers(n, nil)
		}
		killed, killAt := rapid.IntRange(0, n-1).Draw(t, "killed"), rapid.IntRange(0, 80).Draw(t, "killAt")
		known := make([]map[string]float64, n)
		admitted, at := 0, kcclock.Millis(0)
		for tick := range 80 {
			at += step
			for i, l := range limiters {
				if i == killed && tick >= killAt {
					continue
				}
				for range rapid.IntRange(0, 60).Draw(t, "arrivals") {
					if l.Admit(at, "w", w, Usage{}).Exceeded == "" {
						admitted++
						l.Done("w", 0, 0)
					}
				}
				if rapid.Bool().Draw(t, "message") {
					known[i] = l.Demand(at)
				}
			}
			for i, l := range limiters {
				others := 0.0
				for j := range limiters {
					if j != i && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
						others += known[j]["w"]
					}
				}
				live := n
				if tick > killAt {
					live -= rapid.IntRange(0, 1).Draw(t, "seen")
				}
				l.SetPeers(live, map[string]float64{"w": others})
			}
		}
		if limit := overshootBound(rate, n, n-1, at); float64(admitted) > limit {
			t.Fatalf("%d requests were admitted at %.1f per second, the bound is %.0f", admitted, rate, limit)
		}
	})
}

// Guards against a share of the limit that stays unused: with steady demand at
// some of the instances, the admitted rate must be close to the limit.
func TestLimitIsDividedByDemand(t *testing.T) {
	const n, rate, seconds = 9, 90, 60
	w := kcrules.Workspace{RequestsPerSecond: rate}
	limiters := make([]*Limiter, n)
	for i := range limiters {
		limiters[i] = NewLimiter()
	}
	admitted := 0
	for s := range kcclock.Millis(seconds) {
		for i, l := range limiters {
			others := 0.0
			for j, o := range limiters {
				if j != i {
					others += o.Demand(s * kcclock.Second)["w"]
				}
			}
			l.SetPeers(n, map[string]float64{"w": others})
			if i >= 6 {
				continue
			}
			for a := range kcclock.Millis(50) {
				if l.Admit(s*kcclock.Second+a*20, "w", w, Usage{}).Exceeded == "" {
					admitted++
				}
			}
		}
	}
	got := float64(admitted) / seconds
	t.Logf("limit %d, admitted %.1f per second with demand at 6 of 9 instances", rate, got)
	if got < 0.85*rate || got > 1.3*rate {
		t.Errorf("%.1f requests per second were admitted, the limit is %d", got, rate)
	}
}

// Guards against a refusal by one limit that still takes from the buckets of
// the others, and against a Retry-After that is too early.
func TestRefusalRefundsOtherLimits(t *testing.T) {
	w := kcrules.Workspace{RequestsPerSecond: 1, Concurrency: 2, TokensPerMinute: 600, SpendPerDay: 0}
	l := NewLimiter()
	if v := l.Admit(0, "w", w, Usage{Tokens: 600}); v.Exceeded != "" {
		t.Fatalf("refused by %s", v.Exceeded)
	}
	for range 20 {
		l.Admit(0, "w", w, Usage{Tokens: 100})
	}
	v := l.Admit(0, "w", w, Usage{Tokens: 100})
	if v.Exceeded != Tokens || v.RetryAfter != 10*kcclock.Second {
		t.Fatalf("%+v, want tokensPerMinute and 10 s", v)
	}
	if v := l.Admit(v.RetryAfter, "w", w, Usage{Tokens: 100}); v.Exceeded != "" {
		t.Fatalf("refused by %s after Retry-After", v.Exceeded)
	}
	if v := l.Admit(v.RetryAfter, "w", w, Usage{}); v.Exceeded != Concurrency {
		t.Fatalf("%+v, want concurrency", v)
	}
	l.Done("w", 600, 100)
	if v := l.Admit(20*kcclock.Second, "w", w, Usage{Tokens: 500}); v.Exceeded != "" {
		t.Fatalf("refused by %s although 500 tokens were refunded", v.Exceeded)
	}
	for i := range 20 {
		l.Done("w", 0, 0)
		if v := l.Admit(20*kcclock.Second, "w", w, Usage{}); v.Exceeded == Requests {
			return
		} else if v.Exceeded != "" {
			t.Fatal(fmt.Sprint(i, v))
		}
	}
	t.Error("20 requests at once passed a limit of 1 per second")
}
