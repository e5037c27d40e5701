package kcgate_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a session that moves to another version after a long stream:
// it began more than the time of a session ago, and ended a moment ago.
func TestSessionGoesOnFromTheEndOfAStream(t *testing.T) {
	during := func() {}
	serve := func(_ int, req *http.Request, _ string, w net.Conn) bool {
		if !stream(w, req, "", event(1)) {
			return false
		}
		during()
		return write(w, chunk(event(2))+lastChunk)
	}
	order := kctable.Order{Service: "svc", Target: "v2", SpanMs: 24_000, Offset: 1}
	// begin returns a gate whose first upstream runs the old version, and a
	// function that gives it an order and the upstream of its target.
	begin := func() (f *fixture, target *engine, move func()) {
		old, target := newEngine(t, serve), newEngine(t, serve)
		f = newFixture(t, []kctable.Route{route("a", kctable.Stream)}, old)
		return f, target, func() {
			f.gate.Upstreams.Replace([]kctable.Upstream{
				{ID: "e0", Service: "svc", Address: old.ln.Addr().String(), Zone: "z", Version: "v1", Slots: 4, Born: 1},
				{ID: "e1", Service: "svc", Address: target.ln.Addr().String(), Zone: "z", Version: "v2", Slots: 4, Born: 2},
			}, false)
			f.gate.Orders.SetOrder(order, true)
			f.gate.Orders.SetProgress(kctable.Progress{Service: "svc", Target: "v2", Order: 1})
		}
	}
	ask := func(f *fixture, session string) {
		t.Helper()
		if resp, _, err := f.ask(t, "/a/x", "Session", session); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	// A session that begins at the target while the order runs.
	f, target, move := begin()
	move()
	session := ""
	for i := 0; len(target.requests()) == 0; i++ {
		session = "s" + itoa(i)
		ask(f, session)
	}
	// The same one begins before the order, with a stream of 4 s.
	f, target, move = begin()
	during = func() {
		// The first event is passed on meanwhile; if not, the test sees less.
		_ = kcclock.Wait(context.Background(), kcclock.System{}, 50)
		f.clock.Advance(4000)
	}
	ask(f, session)
	move()
	// 6 s after its start, 2 s after its end.
	f.clock.Advance(2000)
	ask(f, session)
	if len(target.requests()) != 0 {
		t.Error("a session moved to the target 2 s after an answer of the old version")
	}
	// Once it has paused for long enough, it counts as a new one.
	f.clock.Advance(6000)
	ask(f, session)
	if len(target.requests()) != 1 {
		t.Error("a session that paused for 6 s did not move")
	}
}
