package kcedge_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

// onceConfig has a route whose requests must not be repeated.
const onceConfig = `{"version":2,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","type":"nonidempotent",
"service":"x","timeout_ms":60000,"slo_ms":300,"max_attempts":2}],"services":[{"name":"x","max_conns":9}],
"limits":{"max_body_bytes":1000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]}`

// startOnce starts an instance with an upstream and waits until it is ready.
func startOnce(t *testing.T, grace kcclock.Millis, upstream http.HandlerFunc) *testInstance {
	t.Helper()
	p := &testInstance{store: kcplatformtest.NewStore(t)}
	p.store.Put("keyed.servers", "u1", upstreamEntry(kcplatformtest.Serve(t, upstream), "v1", 1))
	p.store.Put("keyed.op", "config", onceConfig)
	p.start(t, kctable.Deployment{
		Instance: "i", Zone: "z", Region: "r", Regions: map[string]string{"z": "r"},
		Bounds: kctable.Bounds{StrictRevoke: true, KeyRevokeMs: 5000, GraceMs: grace, RetryRatio: 0.9, SessionIdleMs: 5000},
	})
	p.waitForStatus(t, p.readyAddr, "/readyz", "", http.StatusOK)
	return p
}

// Guards against requests that are cut off without an answer at the end of the grace
// period: callers then wait for a timeout of their own, or cannot tell what has happened.
func TestRequestThatOutlastsTheGraceIsAnswered(t *testing.T) {
	running := make(chan struct{})
	p := startOnce(t, 3*kcclock.Second, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(running)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	status := make(chan int, 1)
	go func() {
		got, _ := p.post(t, "/a/x", "body", "Request-Id", "q1", "Deadline-Ms", "60000")
		status <- got
	}()
	<-running
	p.stop()
	if got := <-status; got != http.StatusBadGateway {
		t.Errorf("status %d, want 502: the request may have run", got)
	}
}

// Guards against requests that begin early and whose bodies arrive late in the grace
// period: they were sent on and might be cut off with the process.
func TestLateBodyIsRejectedInTheGrace(t *testing.T) {
	for name, before := range map[string]int{"new connection": 0, "kept connection": 1} {
		t.Run(name, func(t *testing.T) {
			var late atomic.Int64
			p := startOnce(t, 20*kcclock.Second, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Request-Id") == "late" {
					late.Add(1)
				}
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Stamp", "s")
			})
			const head = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\nDeadline-Ms: 60000\r\nRequest-Id: "
			u := kcfault.NewUpload(t, p.callerAddr)
			for range before {
				u.Begin(head+"early\r\n", "bo", 4)
				if status, _ := u.Finish("dy"); status != http.StatusOK {
					t.Fatalf("status %d of the first request on the connection", status)
				}
			}
			u.Begin(head+"late\r\n", "bo", 4)
			p.stop()
			waitUntil(func() bool {
				got, _ := p.post(t, "/a/x", "", "Request-Id", "other", "Deadline-Ms", "60000")
				return got == http.StatusServiceUnavailable
			})
			if status, _ := u.Finish("dy"); status != http.StatusServiceUnavailable || late.Load() != 0 {
				t.Errorf("status %d, %d runs: want 503 and none", status, late.Load())
			}
		})
	}
}
