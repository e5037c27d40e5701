package kcgate_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcadmit"
	"github.com/kingcuprail/kingcuprail/internal/kcgate"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
)

// admissionFixture is a fixture whose upstream is full until free is set.
type admissionFixture struct {
	*fixture
	engine  *engine
	free    atomic.Bool
	metrics *kcmetric.Registry
}

func newAdmissionFixture(t *testing.T, answer func(n int, req *http.Request, body string, w net.Conn) bool) *admissionFixture {
	t.Helper()
	a := &admissionFixture{engine: newEngine(t, answer), metrics: kcmetric.New()}
	a.fixture = newFixture(t, []kctable.Route{route("once", kctable.NonIdempotent)}, a.engine)
	a.gate.Admission = kcadmit.NewAdmission(kcadmit.AdmissionOptions{
		Enabled: true, Clock: a.clock, Log: slog.New(slog.NewTextHandler(a.logs, nil)), Metrics: a.metrics,
		Senders: func() int { return 60 },
		Room: func(string) kcroom.Room {
			if a.free.Load() {
				return kcroom.Room{Upstreams: 1, Slots: 4, Free: 4, Queueable: 24, HoldMs: 60}
			}
			return kcroom.Room{Upstreams: 1, Slots: 4, Busy: 28, HoldMs: 60, WaitMs: 360}
		},
	})
	return a
}

// response is the end of a request of a caller.
type response struct {
	status     int
	retryAfter string
}

// hold sends requests until one of them is held, and returns the channel of its
// response.
func (a *admissionFixture) hold(t *testing.T) <-chan response {
	t.Helper()
	for range 5 {
		done := make(chan response, 1)
		waiting := make(chan struct{})
		go func() { a.clock.AwaitWaiters(1); close(waiting) }()
		go func() {
			resp, _, err := a.request(t, "/once/x")
			if err != nil {
				done <- response{}
				return
			}
			done <- response{resp.StatusCode, resp.Header.Get("Retry-After")}
		}()
		select {
		case <-waiting:
			return done
		case r := <-done:
			if r.status != http.StatusOK {
				t.Fatalf("status %d before any request is held", r.status)
			}
		}
	}
	t.Fatal("no request is held at a full upstream")
	return nil
}

// finish lets time pass until a held request has ended.
func (a *admissionFixture) finish(t *testing.T, done <-chan response) response {
	t.Helper()
	for range 500 {
		a.clock.Advance(10)
		select {
		case r := <-done:
			return r
		case <-time.After(2 * time.Millisecond):
		}
	}
	t.Fatal("a held request does not end although there is room")
	return response{}
}

func answerOK(_ int, req *http.Request, _ string, w net.Conn) bool {
	return reply(w, req, "200 OK", "", "done")
}

// Guards against held requests that do not proceed when there is room, and against
// ones that are sent twice or are missing in the log.
func TestHeldRequestProceeds(t *testing.T) {
	a := newAdmissionFixture(t, answerOK)
	done := a.hold(t)
	before := len(a.engine.requests())
	a.free.Store(true)
	if r := a.finish(t, done); r.status != http.StatusOK || len(a.engine.requests()) != before+1 {
		t.Errorf("status %d, %d requests at the upstream", r.status, len(a.engine.requests())-before)
	}
	if !strings.Contains(a.logs.String(), "decision=admitted reason=waited") {
		t.Error("the log does not say that the request was held")
	}
}

// Guards against held requests that outlive a planned stop.
func TestPlannedStopRefusesHeldRequests(t *testing.T) {
	a := newAdmissionFixture(t, answerOK)
	done := a.hold(t)
	before := len(a.engine.requests())
	a.gate.StopAccepting()
	if r := <-done; r.status != http.StatusServiceUnavailable || r.retryAfter != "0.1" || len(a.engine.requests()) != before {
		t.Errorf("status %d, Retry-After %s, %d requests at the upstream", r.status, r.retryAfter, len(a.engine.requests())-before)
	}
}

// Guards against a held request that is sent with a key that was withdrawn meanwhile.
func TestWithdrawnKeyEndsHeldRequest(t *testing.T) {
	a := newAdmissionFixture(t, answerOK)
	done := a.hold(t)
	before := len(a.engine.requests())
	table := *a.gate.Table()
	table.Version, table.Workspaces = 2, map[string]kctable.Workspace{}
	a.gate.SetTable(&table)
	a.free.Store(true)
	if r := a.finish(t, done); r.status != http.StatusUnauthorized || len(a.engine.requests()) != before {
		t.Errorf("status %d, %d requests at the upstream", r.status, len(a.engine.requests())-before)
	}
}

// Guards against a rejection of an upstream that ends a request which can wait, and
// against one that runs a request twice.
func TestRejectedRequestWaits(t *testing.T) {
	ran := atomic.Int32{}
	a := newAdmissionFixture(t, func(n int, req *http.Request, _ string, w net.Conn) bool {
		if n == 0 {
			return reply(w, req, "503 Service Unavailable", "Not-Run: 1\r\n", "full")
		}
		ran.Add(1)
		return reply(w, req, "200 OK", "", "done")
	})
	done := a.hold(t)
	a.free.Store(true)
	if r := a.finish(t, done); r.status != http.StatusOK || int(ran.Load()) != len(a.engine.requests())-1 {
		t.Errorf("status %d, %d runs of %d requests", r.status, ran.Load(), len(a.engine.requests()))
	}
}

// Guards against a gateway that is not connected to admission, that holds requests
// without a shortage, or that tells all callers the same time to return.
func TestOverloadControl(t *testing.T) {
	full := atomic.Bool{}
	e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool {
		if full.Load() {
			return reply(w, req, "503 Service Unavailable", "Not-Run: 1\r\n", "full")
		}
		return reply(w, req, "200 OK", "Load: 1,0,4\r\n", "done")
	})
	f := newFixture(t, []kctable.Route{route("once", kctable.NonIdempotent)}, e)
	opts := f.gate.Options
	opts.Deployment.Overload, opts.Metrics = true, kcmetric.New()
	gate := kcgate.New(opts)
	gate.SetTable(f.gate.Table())
	gate.Upstreams.Replace([]kctable.Upstream{{
		ID: "e0", Service: "svc", Address: e.ln.Addr().String(), Zone: "z", Version: "v1", Slots: 4, StartedAtMs: 1,
	}}, 0)
	gate.Rollouts.MarkStatesLoaded()
	gate.Quarantine.MarkSynced()
	f.serve(t, gate)
	for range 20 {
		if resp, _, err := f.request(t, "/once/x"); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
	var text strings.Builder
	_, _ = opts.Metrics.WriteTo(&text)
	if !strings.Contains(text.String(), "admission.svc.waiting 0") || strings.Contains(text.String(), "admission.held") {
		t.Errorf("calm:\n%s", text.String())
	}
	full.Store(true)
	f.clock.Advance(kcroom.CacheMs) // the room was computed before the first response
	resp, _, err := f.request(t, "/once/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "0.02" {
		t.Errorf("full: %v, %v", resp, err)
	}
}

// Guards against a caller that has disconnected and keeps its place in the queue.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	a := newAdmissionFixture(t, answerOK)
	a.hold(t)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.url+"/once/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = a.host
	req.Header = http.Header{"Request-Id": {"q2"}, "Api-Key": {"key"}, "Deadline-Ms": {"9000"}}
	left := make(chan struct{})
	go func() {
		defer close(left)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	a.awaitWaiting(t, 2)
	cancel()
	<-left
	a.awaitWaiting(t, 1)
}

// awaitWaiting waits until a number of requests is held.
func (a *admissionFixture) awaitWaiting(t *testing.T, n int) {
	t.Helper()
	var text strings.Builder
	for range 1000 {
		text.Reset()
		_, _ = a.metrics.WriteTo(&text)
		if strings.Contains(text.String(), "admission.svc.waiting "+itoa(n)+"\n") {
			return
		}
		<-time.After(2 * time.Millisecond)
	}
	t.Fatalf("want %d held requests:\n%s", n, text.String())
}
