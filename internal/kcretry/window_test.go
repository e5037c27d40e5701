package kcretry_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against more retries in any window than the operator permits, and
// against a retry that is refused although the window has room.
func TestWindowBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := kcretry.WindowBudget{Share: 0.5, BaseRetries: 2, SpanMs: 1000}
		var firsts, retries []kcclock.Millis
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
				retries = append(retries, now)
			}
			// The window may extend one part beyond the span.
			if n := within(retries); ok && float64(n) > 0.5*float64(len(firsts))+2 {
				t.Fatalf("%d retries", n)
			}
			if !ok && float64(len(retries)+1) <= 0.5*float64(within(firsts))+2 {
				t.Fatalf("refused after %d retries in total and %d first tries in the window", len(retries), within(firsts))
			}
		}
	})
}
