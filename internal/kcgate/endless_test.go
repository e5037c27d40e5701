package kcgate_test

import (
	"net"
	"net/http"

	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
)

// untilClosed reads until the other side closes the connection.
func untilClosed(w net.Conn) bool {
	_, _ = w.Read(make([]byte, 1))
	return false
}

// firstFails returns two engines: whichever gets the first request answers with
// broken, the other one with ok.
func firstFails(t *testing.T, broken, ok func(*http.Request, net.Conn) bool) (a, b *engine) {
	t.Helper()
	var n atomic.Int32
	serve := func(_ int, req *http.Request, _ string, w net.Conn) bool {
		if n.Add(1) == 1 {
			return broken(req, w)
		}
		return ok(req, w)
	}
	return newEngine(t, serve), newEngine(t, serve)
}

func replyOK(req *http.Request, w net.Conn) bool { return reply(w, req, "200 OK", "", "ok") }

// Guards against a request that hangs after a refusal whose body does not come.
func TestRefusalWithoutItsBodyIsSentElsewhere(t *testing.T) {
	a, b := firstFails(t, func(req *http.Request, w net.Conn) bool {
		return write(w, "HTTP/1.1 503 Busy\r\nRequest-Id: "+req.Header.Get("Request-Id")+"\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\n") &&
			untilClosed(w)
	}, replyOK)
	f := newFixture(t, []kctable.Route{route("a", kctable.Once)}, a, b)
	if resp, body, err := f.ask(t, "/a/x"); err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("%v %q %v: want the answer of the other upstream", resp, body, err)
	}
}
