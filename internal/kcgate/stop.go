package kcgate

import (
	"context"
	"sync"
)

// stopState counts the running requests and tells whether the instance leaves.
type stopState struct {
	mu      sync.Mutex
	running int
	left    bool
	// closed is true once no new request is taken.
	closed bool
	// idle is closed when nothing runs, if someone waits for it.
	idle chan struct{}
}

// enter counts a request. It tells whether the instance is leaving, so that
// the connection must be closed after the answer, and whether the request is
// too late to be taken.
func (s *stopState) enter() (leaving, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.left, s.closed
}

func (s *stopState) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

func (s *stopState) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// Leave reports not ready from now on. Requests are still served, and each
// answer closes its connection.
func (g *Gateway) StartDraining() {
	g.stop.mu.Lock()
	defer g.stop.mu.Unlock()
	g.stop.left = true
}

// Close refuses new requests from now on: a stop waits for those that run, and
// one that begins late could not end.
func (g *Gateway) StopAccepting() {
	g.stop.mu.Lock()
	defer g.stop.mu.Unlock()
	g.stop.closed = true
}

// Running returns the number of requests without an answer.
func (g *Gateway) InFlight() int {
	g.stop.mu.Lock()
	defer g.stop.mu.Unlock()
	return g.stop.running
}

// Drain waits until no request runs or ctx ends.
func (g *Gateway) Drain(ctx context.Context) {
	for {
		g.stop.mu.Lock()
		if g.stop.running == 0 {
			g.stop.mu.Unlock()
			return
		}
		if g.stop.idle == nil {
			g.stop.idle = make(chan struct{})
		}
		idle := g.stop.idle
		g.stop.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return
		}
	}
}
