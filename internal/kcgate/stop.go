package kcgate

import (
	"context"
	"sync"

	"github.com/zeebo/errs"
)

// drainState counts the running requests and holds the state of the shutdown.
type drainState struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	// rejecting is true once new requests are rejected.
	rejecting bool
	// running ends when the running requests must be answered at once.
	running context.Context
	end     context.CancelFunc
	// idle is closed when no request is running. It is nil if nobody waits for
	// that.
	idle chan struct{}
}

// enter counts a request. closeConn tells whether the instance is shutting down,
// so that the connection must be closed after the response. rejecting tells
// whether the request must be rejected.
func (s *drainState) enter() (closeConn, rejecting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	return s.draining, s.rejecting
}

func (s *drainState) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

func (s *drainState) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *drainState) isRejecting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejecting
}

// errStopping ends the requests that run for longer than the shutdown waits.
var errStopping = errs.New("the instance stops")

// EndRunning makes the gateway answer the requests that are still running at once.
// Requests that may have run get a status that promises nothing. Responses that have
// begun are aborted.
func (g *Gateway) EndRunning() { g.drain.end() }

// untilStop returns a context that also ends when running requests must be answered.
func (s *drainState) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopWait := context.AfterFunc(s.running, func() { cancel(errStopping) })
	return ctx, func() {
		stopWait()
		cancel(nil)
	}
}

// StartDraining makes the instance report that it is not ready. Requests are
// still served, and each response closes its connection.
func (g *Gateway) StartDraining() {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.draining = true
}

// StopAccepting makes the gateway reject new requests. The shutdown waits for
// running requests, and one that starts late might not end in time.
func (g *Gateway) StopAccepting() {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.rejecting = true
	g.Admission.Stop()
}

// InFlight returns the number of requests that are not answered yet.
func (g *Gateway) InFlight() int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	return g.drain.inFlight
}

// Drain waits until no request is running or ctx is done.
func (g *Gateway) Drain(ctx context.Context) {
	for {
		g.drain.mu.Lock()
		if g.drain.inFlight == 0 {
			g.drain.mu.Unlock()
			return
		}
		if g.drain.idle == nil {
			g.drain.idle = make(chan struct{})
		}
		idle := g.drain.idle
		g.drain.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return
		}
	}
}
