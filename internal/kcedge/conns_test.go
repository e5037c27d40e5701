package kcedge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// watchedConn records what is done to a connection.
type watchedConn struct {
	net.Conn
	deadline time.Time
	closed   bool
}

func (w *watchedConn) SetReadDeadline(t time.Time) error { w.deadline = t; return nil }

func (w *watchedConn) Close() error { w.closed = true; return nil }

// Guards against a request that is cut off because its connection counted as
// idle while it was read, for example after the limit was lowered.
func TestCrossedRequestIsServed(t *testing.T) {
	clock := kcclock.NewManual(1000)
	c := newCallerConns(clock)
	w := &watchedConn{}
	c.changed(w, http.StateIdle)
	clock.Advance(500)
	c.closeIdle(600)
	if !w.deadline.IsZero() {
		t.Error("a connection within the limit is ended")
	}
	c.closeIdle(400)
	if w.deadline.IsZero() || w.closed {
		t.Errorf("deadline %v, closed %v: want the wait for a request to end, and no close", w.deadline, w.closed)
	}
	c.changed(w, http.StateActive)
	if !w.deadline.IsZero() {
		t.Error("a request that crossed the end of its connection has no time to be read")
	}
}
