package kcgate

import (
	"context"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// startupWaitMs is how long requests wait for the first configuration and the first
// list of upstreams, counted from the start of the instance. Callers connect as
// soon as the port is open; both are usually there within 50 ms, and within
// 0.4 s if all instances start at once. A caller who leaves meanwhile is not
// noticed before its body is read, which must not take longer than half a
// second.
const startupWaitMs = 450 * kcclock.Millisecond

// startupState tells when an instance knows enough to serve.
type startupState struct {
	startedAt kcclock.Millis
	// table and upstreams are closed once they are known.
	table     chan struct{}
	upstreams <-chan struct{}
}

// await waits until the instance knows enough to serve, and reports whether it
// does.
func (s *startupState) awaitReady(ctx context.Context, clock kcclock.Clock) bool {
	until := s.startedAt + startupWaitMs
	return awaitUntil(ctx, clock, s.table, until) && awaitUntil(ctx, clock, s.upstreams, until)
}

// awaitUntil waits until something is known or a time has come, and reports
// whether it is known.
func awaitUntil(ctx context.Context, clock kcclock.Clock, known <-chan struct{}, until kcclock.Millis) bool {
	if isClosed(known) {
		return true
	}
	left := until - clock.Now()
	if left <= 0 {
		return false
	}
	select {
	case <-known:
		return true
	case <-clock.After(left):
		return false
	case <-ctx.Done():
		return false
	}
}
