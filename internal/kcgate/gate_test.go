package kcgate_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
)

func formatInt(n, base int) string { return strconv.FormatInt(int64(n), base) }

// Guards against a request that is accepted late in a shutdown and aborted at its
// end.
func TestShutdownRejectsLateRequests(t *testing.T) {
	e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool { return reply(w, req, "200 OK", "", "ok") })
	f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, e)
	f.gate.StartDraining()
	if _, ready := f.gate.Ready(); ready {
		t.Error("ready after StartDraining")
	}
	resp, _, err := f.request(t, "/a/x")
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("after StartDraining: %v, %v: want 200 that closes the connection", resp, err)
	}
	f.gate.StopAccepting()
	resp, _, err = f.request(t, "/a/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("after StopAccepting: %v, %v: want 503 with Retry-After", resp, err)
	}
	if n := len(e.requests()); n != 1 {
		t.Errorf("the upstream got %d requests, want 1", n)
	}
}

// Guards against a second run of a request that must run at most once, and
// against a 503 for one that may have run.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	cut := func(_ int, _ *http.Request, _ string, _ net.Conn) bool { return false }
	a, b := newEngine(t, cut), newEngine(t, cut)
	f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, a, b)
	resp, _, err := f.request(t, "/a/x")
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("%v, %v: want 502", resp, err)
	}
	if n := len(a.requests()) + len(b.requests()); n != 1 {
		t.Errorf("got %d attempts, want 1", n)
	}
}

// Guards against a request that is rejected although another upstream has room,
// and against a rejection that does not say that the request did not run.
func TestNotRunIsRetriedElsewhere(t *testing.T) {
	full := func(_ int, req *http.Request, _ string, w net.Conn) bool {
		return reply(w, req, "503 Service Unavailable", "Not-Run: 1\r\n", "")
	}
	a, b := newEngine(t, full), newEngine(t, full)
	ok := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool { return reply(w, req, "200 OK", "", "ok") })
	f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, a, b, ok)
	resp, body, err := f.request(t, "/a/x")
	if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Fatalf("%v %q %v: want 200 ok", resp, body, err)
	}
	f = newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, a, b)
	resp, _, err = f.request(t, "/a/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%v %v: want 503 with Retry-After", resp, err)
	}
}

// Guards against a response to another request that reaches the caller.
func TestAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool {
		other := req.Clone(context.Background())
		other.Header.Set("Request-Id", "q0")
		return reply(w, other, "200 OK", "", "wrong") && reply(w, req, "200 OK", "", "right")
	})
	f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, e)
	resp, body, err := f.request(t, "/a/x")
	if err != nil || resp.StatusCode != http.StatusOK || body != "right" {
		t.Errorf("%v %q %v: want the response with the id of the request", resp, body, err)
	}
}

// Guards against a success that does not come from the application.
func TestUnstampedSuccessIsNotForwarded(t *testing.T) {
	for name, answer := range map[string]string{
		"unstamped": "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nno",
		"encoded":   "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nStamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
	} {
		e := newEngine(t, func(_ int, _ *http.Request, _ string, w net.Conn) bool { return write(w, answer) })
		f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, e)
		if resp, body, err := f.request(t, "/a/x"); err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: %v %q %v: want 502", name, resp, body, err)
		}
	}
}

// Guards against an interrupted stream that looks complete, and against events
// that are lost or repeated when the stream is resumed elsewhere.
func TestStreamIsResumedElsewhere(t *testing.T) {
	serve := func(_ int, req *http.Request, _ string, w net.Conn) bool {
		if req.Header.Get("Last-Event-Id") == "" {
			stream(w, req, "", event(1), event(2), "id: 3\nda")
			return false
		}
		return stream(w, req, "", event(3), event(4)) && write(w, lastChunk)
	}
	f := newFixture(t, []kctable.Route{route("a", kctable.Streaming)}, newEngine(t, serve), newEngine(t, serve))
	resp, body, err := f.request(t, "/a/x")
	if want := event(1) + event(2) + event(3) + event(4); err != nil || resp.StatusCode != http.StatusOK || body != want {
		t.Errorf("%v %q %v: want %q", resp, body, err, want)
	}
	for name, wrong := range map[string]string{"gap": event(4), "repeat": event(2)} {
		serve := func(_ int, req *http.Request, _ string, w net.Conn) bool {
			if req.Header.Get("Last-Event-Id") == "" {
				return stream(w, req, "", event(1), event(2), wrong, event(5)) && write(w, lastChunk)
			}
			return stream(w, req, "", event(3), event(4)) && write(w, lastChunk)
		}
		f := newFixture(t, []kctable.Route{route("a", kctable.Streaming)}, newEngine(t, serve), newEngine(t, serve))
		_, body, err := f.request(t, "/a/x")
		if want := event(1) + event(2) + event(3) + event(4); err != nil || body != want {
			t.Errorf("%s in the events: %q %v: want %q", name, body, err, want)
		}
	}
	once := route("a", kctable.Streaming)
	once.Resumable = false
	f = newFixture(t, []kctable.Route{once}, newEngine(t, serve), newEngine(t, serve))
	if _, body, err = f.request(t, "/a/x"); err == nil || body != event(1)+event(2) {
		t.Errorf("%q %v: want two events and an aborted connection", body, err)
	}
}

func write(w net.Conn, s string) bool {
	_, err := w.Write([]byte(s))
	return err == nil
}

// Guards against headers that callers forge, and against an API key that reaches
// an upstream.
func TestReservedHeadersAreNotForwarded(t *testing.T) {
	e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool { return reply(w, req, "200 OK", "", "ok") })
	f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, e)
	_, _, err := f.request(t, "/a/x?y=1", "Hold", "h", "Kv-From", "k", "Pin-Ms", "9", "Tenant", "evil",
		"Connection", "Other", "Other", "v", "Expect-Instance", "x")
	if err != nil {
		t.Fatal(err)
	}
	got := e.requests()[0]
	for _, name := range []string{"Hold", "Kv-From", "Pin-Ms", "Api-Key", "Other"} {
		if v := got.Header.Get(name); v != "" {
			t.Errorf("%s is forwarded as %q", name, v)
		}
	}
	if got.Header.Get("Tenant") != "acme" || got.Header.Get("Expect-Instance") != "e0" || got.RequestURI != "/a/x?y=1" {
		t.Errorf("the upstream got %s %v", got.RequestURI, got.Header)
	}
	if ms, _ := strconv.Atoi(got.Header.Get("Deadline-Ms")); ms < 1 || ms > 9000 {
		t.Errorf("Deadline-Ms is %d, want at most the 9000 of the caller", ms)
	}
}

// Guards against an API key that is accepted although the instance may have
// missed its removal, and against a wrong status while the keys are stale: keyed
// routes get 503, and public routes are served.
func TestStaleKeysAreRejected(t *testing.T) {
	e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool { return reply(w, req, "200 OK", "", "ok") })
	open := route("open", kctable.NonIdempotent)
	open.Public = true
	f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent), open}, e)
	f.setAge(4900)
	for path, want := range map[string]int{"/a/x": 503, "/open/x": 200, "/none/": 404} {
		if resp, _, err := f.request(t, path); err != nil || resp.StatusCode != want {
			t.Errorf("%s with stale keys: %v %v, want %d", path, resp, err, want)
		}
	}
	if _, ready := f.gate.Ready(); ready {
		t.Error("ready with stale keys")
	}
	f.setAge(100)
	if resp, _, err := f.request(t, "/a/x", "Api-Key", "other"); err != nil || resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("unknown key: %v %v, want 401", resp, err)
	}
}

// Guards against an upstream that continues to run a request after its caller has
// disconnected.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	started := make(chan struct{})
	e := newEngine(t, func(_ int, _ *http.Request, _ string, w net.Conn) bool {
		close(started)
		_, _ = w.Read(make([]byte, 1)) // until the gateway closes the connection
		return false
	})
	f := newFixture(t, []kctable.Route{route("a", kctable.Idempotent)}, e)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	write(c, "GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\nApi-Key: key\r\n\r\n")
	<-started
	_ = c.Close()
	<-e.closed
}

// Guards against a low-confidence answer of a small model that is forwarded
// although a larger model could answer.
func TestLowConfidenceEscalatesToLargestModel(t *testing.T) {
	e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool {
		if req.Header.Get("Model") == "small" {
			stream(w, req, "Confidence: 20\r\n", event(1))
			_, _ = w.Read(make([]byte, 1))
			return false
		}
		return stream(w, req, "Confidence: 90\r\n", "id: 1\ndata: large\n\n") && write(w, lastChunk)
	})
	r := route("a", kctable.Streaming)
	r.Models = []string{"small", "middle", "large"}
	f := newFixture(t, []kctable.Route{r}, e)
	resp, body, err := f.request(t, "/a/x", "Model", "*")
	if err != nil || resp.StatusCode != http.StatusOK || body != "id: 1\ndata: large\n\n" {
		t.Errorf("%v %q %v: want the response of the largest model", resp, body, err)
	}
	if n := len(e.requests()); n != 2 {
		t.Errorf("got %d attempts, want 2", n)
	}
}

// Guards against a configuration that is replaced by an older version.
func TestTableVersionOnlyIncreases(t *testing.T) {
	f := newFixture(t, nil)
	if f.gate.SetTable(&kctable.Table{Version: 1}) || !f.gate.SetTable(&kctable.Table{Version: 5}) ||
		f.gate.SetTable(&kctable.Table{Version: 4}) {
		t.Error("want version 5 active and no other")
	}
}

// Guards against a configured limit that is not applied.
func TestLargeHeadersAreRejected(t *testing.T) {
	e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool { return reply(w, req, "200 OK", "", "ok") })
	f := newFixture(t, []kctable.Route{route("a", kctable.NonIdempotent)}, e)
	table := *f.gate.Table()
	table.Version, table.Limits.MaxHeaderBytes = 2, 1000
	f.gate.SetTable(&table)
	for size, want := range map[int]int{100: http.StatusOK, 1000: http.StatusRequestHeaderFieldsTooLarge} {
		resp, _, err := f.request(t, "/a/x", "X-Note", strings.Repeat("n", size))
		if err != nil || resp.StatusCode != want {
			t.Errorf("header of %d bytes: %v, %v: want %d", size, resp, err, want)
		}
	}
}
