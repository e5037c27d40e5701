package kcgate_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
)

// Guards against a request that waits for a dead upstream until its deadline, and
// against an attempt that is canceled without a second one.
func TestSilentUpstreamIsAbandoned(t *testing.T) {
	var n atomic.Int32
	arrived := make(chan struct{})
	serve := func(_ int, req *http.Request, _ string, w net.Conn) bool {
		if n.Add(1) == 1 {
			close(arrived)
			_, _ = w.Read(make([]byte, 1)) // until the gateway closes the connection
			return false
		}
		return stream(w, req, "", event(1)) && write(w, lastChunk)
	}
	f := newFixture(t, []kctable.Route{route("a", kctable.Streaming)}, newEngine(t, serve), newEngine(t, serve))
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-arrived
		f.clock.AwaitWaiters(1)
		f.clock.Advance(2000) // half of the objective
	}()
	resp, body, err := f.request(t, "/a/x")
	<-done
	if err != nil || resp.StatusCode != http.StatusOK || body != event(1) {
		t.Errorf("%v %q %v: want the response of the other upstream", resp, body, err)
	}
	if n.Load() != 2 {
		t.Errorf("got %d attempts, want 2", n.Load())
	}
}
