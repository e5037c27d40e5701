package kcgate

import (
	"context"
	"sync"
)

// drainState counts the running requests and tells whether the instance leaves.
type drainState struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	// closed is true once no new request is taken.
	rejecting bool
	// idle is closed when nothing runs, if someone waits for it.
	idle chan struct{}
}

// enter counts a request. It tells whether the instance is leaving, so that
// the connection must be closed after the answer, and whether the request is
// too late to be taken.
func (s *drainState) enter() (leaving, closed bool) {
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

// Leave reports not ready from now on. Requests are still served, and each
// answer closes its connection.
func (g *Gateway) StartDraining() {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.draining = true
}

// Close refuses new requests from now on: a stop waits for those that run, and
// one that begins late could not end.
func (g *Gateway) StopAccepting() {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.rejecting = true
}

// Running returns the number of requests without an answer.
func (g *Gateway) InFlight() int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	return g.drain.inFlight
}

// Drain waits until no request runs or ctx ends.
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
