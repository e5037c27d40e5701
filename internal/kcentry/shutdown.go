package kcentry

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Phases of a graceful shutdown, as values of Server.shutdownPhase.
const (
	phaseServing int32 = iota
	// phaseLameDuck still serves every request, but closes its connection, so that
	// callers move to other instances.
	phaseLameDuck
	// phaseDraining rejects new requests.
	phaseDraining
)

// EnterLameDuck makes the server report not ready and close the connection after
// each response. Requests are still served.
func (s *Server) EnterLameDuck() {
	s.SetReady(false)
	s.shutdownPhase.Store(phaseLameDuck)
}

// Drain rejects new requests and waits until the running ones have finished or
// ctx is done. It returns the ids of the requests that are still running.
func (s *Server) Drain(ctx context.Context) []string {
	s.shutdownPhase.Store(phaseDraining)
	return s.runningRequests.waitEmpty(ctx)
}

// errStopping ends the requests that run for longer than the shutdown waits.
var errStopping = errors.New("the instance stops")

// EndRunning makes the server answer the requests that are still running at once.
func (s *Server) EndRunning() { s.endRunning() }

// untilStop returns a context that also ends when running requests must be answered.
func (s *Server) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopWait := context.AfterFunc(s.running, func() { cancel(errStopping) })
	return ctx, func() {
		stopWait()
		cancel(nil)
	}
}

// stoppingError returns the error for a request that the server does not finish.
func stoppingError(ex *Exchange) *kcapi.Error {
	if ex.Execution == kcapi.NotRun {
		return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeStopping, kcapi.NotRun,
			"the instance is stopping; send the request again").WithRetryAfter(kcclock.Second)
	}
	return kcapi.NewError(http.StatusBadGateway, kcapi.CodeStopping, ex.Execution,
		"the instance stopped before the request was finished")
}

// checkShutdown rejects new requests during the drain and closes connections from
// the lame-duck phase on.
func (s *Server) checkShutdown(_ context.Context, ex *Exchange) *kcapi.Error {
	phase := s.shutdownPhase.Load()
	if phase == phaseServing {
		return nil
	}
	ex.W.Header().Set("Connection", "close")
	if phase == phaseLameDuck {
		return nil
	}
	return stoppingError(ex)
}

// requestTracker holds the ids of the requests that are running.
type requestTracker struct {
	mu  sync.Mutex
	ids map[string]struct{}
	// requestEnded is closed when the next request ends. It is nil while nothing
	// waits for that.
	requestEnded chan struct{}
}

func (t *requestTracker) add(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ids == nil {
		t.ids = make(map[string]struct{})
	}
	t.ids[id] = struct{}{}
}

func (t *requestTracker) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ids, id)
	if t.requestEnded != nil {
		close(t.requestEnded)
		t.requestEnded = nil
	}
}

// waitEmpty waits until no request is running or ctx is done, and returns the ids
// of those that still are.
func (t *requestTracker) waitEmpty(ctx context.Context) []string {
	for {
		t.mu.Lock()
		left := slices.Sorted(maps.Keys(t.ids))
		if t.requestEnded == nil {
			t.requestEnded = make(chan struct{})
		}
		ended := t.requestEnded
		t.mu.Unlock()
		if len(left) == 0 {
			return nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return left
		}
	}
}
