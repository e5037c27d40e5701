package kcedge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// recordingConn records the read deadline and the close of a connection.
type recordingConn struct {
	net.Conn
	deadline time.Time
	closed   bool
}

func (w *recordingConn) SetReadDeadline(t time.Time) error { w.deadline = t; return nil }

func (w *recordingConn) Close() error { w.closed = true; return nil }

// Guards against cutting off a request that is being read while its connection
// still counts as idle, for example after the limit was lowered.
func TestIdleLimitDoesNotCutOffArrivingRequest(t *testing.T) {
	clock := kcclock.NewManual(1000)
	c := newCallerConns(clock)
	w := &recordingConn{}
	c.stateChanged(w, http.StateIdle)
	clock.Advance(500)
	c.closeIdle(600)
	if !w.deadline.IsZero() {
		t.Error("a connection within the idle limit was ended")
	}
	c.closeIdle(400)
	if w.deadline.IsZero() || w.closed {
		t.Errorf("deadline %v, closed %v: want a read deadline and no close", w.deadline, w.closed)
	}
	c.stateChanged(w, http.StateActive)
	if !w.deadline.IsZero() {
		t.Error("the read deadline is not reset for a request that arrived while the idle connection was ended")
	}
}
