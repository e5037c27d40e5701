package kcgate

import (
	"log/slog"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against hundreds of instances that each use the slack of the retry budget
// as if they were few.
func TestRetrySlackIsSharedByInstances(t *testing.T) {
	bounds := kctable.Bounds{RetryRatio: 0.9, RetrySlack: 630, RetryWindowMs: 10 * kcclock.Second}
	for _, n := range []int{1, 9, 74, 295, 380} {
		retries, clock := 0, kcclock.NewManual(1_000_000)
		for range n {
			g := New(Options{
				Deployment: kctable.Deployment{Bounds: bounds}, Clock: clock, Log: slog.New(slog.DiscardHandler),
				InstanceCount: func() int { return n },
			})
			for g.takeRetry("s") {
				retries++
			}
		}
		if float64(retries) > bounds.RetrySlack {
			t.Errorf("%d instances: %d retries without a request, allowed %.0f", n, retries, bounds.RetrySlack)
		}
	}
}
