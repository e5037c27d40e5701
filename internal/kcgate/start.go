package kcgate

import (
	"context"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// startupWaitMs is how long requests wait for the first configuration and the
// first list of upstreams, counted from the start of the instance. Callers
// connect as soon as the port is open. Both are usually loaded within 50 ms, and
// within 0.4 s if all instances start at once. A caller that disconnects
// meanwhile is not noticed before its body is read, which must not take longer
// than half a second.
const startupWaitMs = 450 * kcclock.Millisecond

// startupState tells when an instance has loaded what it needs to serve.
type startupState struct {
	startedAt kcclock.Millis
	// table and upstreams are closed once they are loaded.
	table     chan struct{}
	upstreams <-chan struct{}
}

// awaitReady waits until the instance is able to serve, and reports whether it
// is.
func (s *startupState) awaitReady(ctx context.Context, clock kcclock.Clock) bool {
	until := s.startedAt + startupWaitMs
	return awaitUntil(ctx, clock, s.table, until) && awaitUntil(ctx, clock, s.upstreams, until)
}

// awaitUntil waits until the channel known is closed or the time until is
// reached, and reports whether the channel is closed.
func awaitUntil(ctx context.Context, clock kcclock.Clock, known <-chan struct{}, until kcclock.Millis) bool {
	if isClosed(known) {
		return true
	}
	remaining := until - clock.Now()
	if remaining <= 0 {
		return false
	}
	select {
	case <-known:
		return true
	case <-clock.After(remaining):
		return false
	case <-ctx.Done():
		return false
	}
}
