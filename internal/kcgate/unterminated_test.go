package kcgate_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
)

// awaitClose reads until the other side closes the connection.
func awaitClose(w net.Conn) bool {
	_, _ = w.Read(make([]byte, 1))
	return false
}

// newFirstBrokenEngines returns two engines. The one that gets the first request
// responds with broken, the other one with ok.
func newFirstBrokenEngines(t *testing.T, broken, ok func(*http.Request, net.Conn) bool) (a, b *engine) {
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

// Guards against a request that hangs after a rejection whose body never arrives.
func TestRejectionWithoutBodyIsRetriedElsewhere(t *testing.T) {
	a, b := newFirstBrokenEngines(t, func(req *http.Request, w net.Conn) bool {
		head := "HTTP/1.1 503 Busy\r\nRequest-Id: " + req.Header.Get("Request-Id") + "\r\n"
		return write(w, head+"Not-Run: 1\r\nContent-Length: 9\r\n\r\n") && awaitClose(w)
	}, replyOK)
	f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, a, b)
	if resp, body, err := f.request(t, "/a/x"); err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("%v %q %v: want the response of the other upstream", resp, body, err)
	}
}

// Guards against a retryable request that waits until its deadline for the end of
// a body, while another upstream could answer.
func TestUnterminatedBodyIsRetriedElsewhere(t *testing.T) {
	a, b := newFirstBrokenEngines(t, func(req *http.Request, w net.Conn) bool {
		return stream(w, req, "", "no end") && awaitClose(w)
	}, replyOK)
	f := newFixture(t, []kctable.Route{route("a", kctable.Idempotent)}, a, b)
	resp, body, err := f.request(t, "/a/x", "Deadline-Ms", "2000")
	if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("%v %q %v: want the response of the other upstream", resp, body, err)
	}
}

// Guards against an instance that buffers an endless response in memory, and
// against one that forwards it as if it were complete.
func TestLongUnterminatedBodyIsAborted(t *testing.T) {
	e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool {
		if !stream(w, req, "") {
			return false
		}
		for write(w, chunk(strings.Repeat("x", 32<<10))) {
		}
		return false
	})
	f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, e)
	if resp, body, err := f.request(t, "/a/x", "Deadline-Ms", "500"); err == nil {
		t.Errorf("%v, %d bytes: want an aborted connection", resp.Status, len(body))
	}
	<-e.closed
}

// Guards against a stream that is kept open by bytes that are not events.
func TestStreamWithoutEventsIsResumed(t *testing.T) {
	for name, c := range map[string]struct{ first, noise string }{
		"blank lines":             {event(1), "\n"},
		"comments":                {event(1), ": x\n\n"},
		"events without an id":    {event(1), "data: x\n\n"},
		"comments from the start": {": x\n\n", ": x\n\n"},
	} {
		flood := chunk(strings.Repeat(c.noise, 1000))
		a, b := newFirstBrokenEngines(t, func(req *http.Request, w net.Conn) bool {
			if !stream(w, req, "", c.first) {
				return false
			}
			for write(w, flood) {
			}
			return false
		}, func(req *http.Request, w net.Conn) bool {
			if req.Header.Get("Last-Event-Id") == "" && !stream(w, req, "", event(1), event(2)) ||
				req.Header.Get("Last-Event-Id") == "1" && !stream(w, req, "", event(2)) {
				return false
			}
			return write(w, lastChunk)
		})
		f := newFixture(t, []kctable.Route{route("a", kctable.Streaming)}, a, b)
		_, body, err := f.request(t, "/a/x", "Deadline-Ms", "3000")
		if err != nil || strings.Count(body, event(1)) != 1 || !strings.HasSuffix(body, event(2)) {
			t.Errorf("%s: %d bytes, %v: want the stream to resume at the other upstream", name, len(body), err)
		}
	}
}

// Guards against a stream that is taken for complete because its upstream ends
// it with the connection, inside an event.
func TestStreamWithoutFramingThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	for _, last := range []string{"", "id: 2\nda", "id: 2\ndata: e2\n"} {
		e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool {
			_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+req.Header.Get("Request-Id")+
				"\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n"+event(1)+last)
			return err != nil
		})
		f := newFixture(t, []kctable.Route{route("a", kctable.Streaming)}, e)
		resp, body, err := f.request(t, "/a/x")
		if complete := err == nil; complete != (last == "") {
			t.Errorf("end %q: %v %q complete=%v", last, resp, body, complete)
		}
	}
}
