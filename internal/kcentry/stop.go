package kcentry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Phases of a stop, as values of Server.phase.
const (
	phaseServing int32 = iota
	// phaseLeaving serves every request but closes its connection, so that
	// callers move to other instances.
	phaseLeaving
	// phaseStopping refuses new requests.
	phaseStopping
)

// Leave reports not ready. Requests are still served.
func (s *Server) EnterLameDuck() {
	s.SetReady(false)
	s.phase.Store(phaseLeaving)
}

// Drain refuses new requests and waits until the running ones have ended or
// ctx ends. It returns the ids of the requests that are still running.
func (s *Server) Drain(ctx context.Context) []string {
	s.phase.Store(phaseStopping)
	return s.running.drain(ctx)
}

// checkStop refuses new requests during the drain.
func (s *Server) checkStop(_ context.Context, ex *Exchange) *kcapi.Error {
	phase := s.phase.Load()
	if phase == phaseServing {
		return nil
	}
	ex.W.Header().Set("Connection", "close")
	if phase == phaseLeaving {
		return nil
	}
	return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeStopping, kcapi.NotRun,
		"the instance is stopping; send the request again").WithRetryAfter(kcclock.Second)
}

// runningTable holds the ids of the requests that have not ended.
type runningTable struct {
	mu  sync.Mutex
	ids map[string]struct{}
	// ended is closed at the next end of a request if someone waits for it.
	ended chan struct{}
}

func (t *runningTable) add(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ids == nil {
		t.ids = make(map[string]struct{})
	}
	t.ids[id] = struct{}{}
}

func (t *runningTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ids, id)
	if t.ended != nil {
		close(t.ended)
		t.ended = nil
	}
}

func (t *runningTable) drain(ctx context.Context) []string {
	for {
		t.mu.Lock()
		left := slices.Sorted(maps.Keys(t.ids))
		if t.ended == nil {
			t.ended = make(chan struct{})
		}
		ended := t.ended
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
