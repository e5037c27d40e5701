package kcretry_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against more repeats in any window than the operator permits, and
// against a burst of repeats that is refused although the window has room.
func TestWindowBoundsRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := kcretry.WindowBudget{Share: 0.5, BaseRetries: 2, SpanMs: 1000}
		var firsts, repeats []kcclock.Millis
		now := kcclock.Millis(50_000)
		within := func(list []kcclock.Millis) int {
			n := 0
			for _, at := range list {
				if now-at < w.SpanMs {
					n++
				}
			}
			return n
		}
		for range 300 {
			now += kcclock.Millis(rapid.IntRange(0, 60).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "first") {
				w.AddFirstTry(now)
				firsts = append(firsts, now)
				continue
			}
			ok := w.TakeRetry(now)
			if ok {
				repeats = append(repeats, now)
			}
			// The window may reach back one part further than the span.
			if n := within(repeats); ok && float64(n) > 0.5*float64(len(firsts))+2 {
				t.Fatalf("%d repeats", n)
			}
			if !ok && float64(len(repeats)+1) <= 0.5*float64(within(firsts))+2 {
				t.Fatalf("refused after %d repeats in all and %d first tries in the window", len(repeats), within(firsts))
			}
		}
	})
}
