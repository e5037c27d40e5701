package kcentry_test

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcentry"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// singleUpstreamServer is a server with one upstream of each kind. Its manual
// clock starts at the system time, because claims are compared with that.
type singleUpstreamServer struct {
	*kcentry.Server
	clock *kcclock.Manual
	rules kcrules.Rules
	// failing makes the upstream respond with 500.
	failing atomic.Bool
	calls   atomic.Int64
	// arrived receives a value for each call, which then blocks until release
	// is closed. If arrived is nil, calls do not block.
	arrived, release chan struct{}
}

func (g *singleUpstreamServer) Rules() *kcrules.Rules { return &g.rules }

func (g *singleUpstreamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.calls.Add(1)
	if g.arrived != nil {
		g.arrived <- struct{}{}
		<-g.release
	}
	if g.failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "id: 0\ndata: {\"id\":%q,\"choices\":[]}\n\ndata: [DONE]\n\n", r.Header.Get("X-Request-Id"))
}

func newSingleUpstreamServer(t *testing.T) *singleUpstreamServer {
	t.Helper()
	g := &singleUpstreamServer{clock: kcclock.NewManual(kcclock.System{}.Now()), rules: kcsettings.DemoRules()}
	lookup := g.rules.Services["orders"].Operations["lookup"]
	lookup.HedgeAfterMs, lookup.TimeoutMs = 0, 0
	g.rules.Services["orders"].Operations["lookup"] = lookup
	g.Server = newServerWith(t, g.clock, g, g, 1, nil)
	return g
}

func (g *singleUpstreamServer) send(path, key, wait string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path,
		strings.NewReader(`{"model":"small@1","messages":[{"role":"user","content":"x"}]}`))
	req.Header.Set("Authorization", "Bearer "+kcsettings.DemoAPIKey)
	req.Header.Set("Idempotency-Key", key)
	if wait != "" {
		req.Header.Set(kcapi.HeaderMaxWait, wait)
	}
	w := httptest.NewRecorder()
	g.Handler().ServeHTTP(w, req)
	return w
}

func (g *singleUpstreamServer) metrics() string {
	w := httptest.NewRecorder()
	g.AdminMux().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return w.Body.String()
}

// isUnsentRefusal reports whether w is a retryable error that correctly reports the
// request as not run.
func isUnsentRefusal(w *httptest.ResponseRecorder) bool {
	body := w.Body.String()
	return w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") != "" &&
		strings.Contains(body, `"execution":"notRun"`) &&
		(strings.Contains(body, `"code":"overloaded"`) || strings.Contains(body, `"code":"noUpstream"`))
}

// Guards against requests that are still sent to a failing upstream, against a
// load peak right after its recovery, and against an idempotency key that stays
// unusable after its request was rejected.
func TestBreakerLimitsFailingUpstream(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/v1/services/orders/lookup", "/v1/services/orders/place"} {
		g := newSingleUpstreamServer(t)
		g.failing.Store(true)
		refused := ""
		for range 50 {
			key, before := rand.Text(), g.calls.Load()
			w := g.send(path, key, "")
			if g.calls.Load() > before {
				continue
			}
			refused = key
			if !isUnsentRefusal(w) {
				t.Fatalf("%s: request that was not sent got %d %v %s", path, w.Code, w.Header(), w.Body)
			}
		}
		if n := g.calls.Load(); n != 5 {
			t.Errorf("%s: %d calls of a failing upstream, want 5", path, n)
		}
		if !strings.Contains(g.metrics(), "upstreams.breakerOpened 1\n") {
			t.Errorf("%s: metric upstreams.breakerOpened is missing or not 1:\n%s", path, g.metrics())
		}
		g.failing.Store(false)
		g.clock.Advance(kcclock.Second)
		if w := g.send(path, refused, ""); w.Code != http.StatusOK {
			t.Errorf("%s: probe after 1 s with the key of a rejected request got %d %s", path, w.Code, w.Body)
		}
		// The ramp permits 0.1 and 0.55 of 200 requests on average; the bounds are
		// more than eight standard deviations away.
		for _, maxSent := range []int64{60, 170} {
			sent := g.calls.Load()
			for range 200 {
				_ = g.send(path, rand.Text(), "")
			}
			if n := g.calls.Load() - sent; n > maxSent {
				t.Errorf("%s: %d of 200 requests were sent during the ramp, want at most %d", path, n, maxSent)
			}
			g.clock.Advance(5 * kcclock.Second)
		}
		for range 50 {
			if w := g.send(path, rand.Text(), ""); w.Code != http.StatusOK {
				t.Fatalf("%s: %d %s after the ramp", path, w.Code, w.Body)
			}
		}
	}
}

// batchSize is the number of requests that are sent concurrently.
const batchSize = 100

// sendBatch sends batchSize lookups concurrently and makes those that reach the
// upstream take latency. It returns their number.
func (g *singleUpstreamServer) sendBatch(t *testing.T, latency kcclock.Millis, wait string) int {
	t.Helper()
	g.release = make(chan struct{})
	ended := make(chan *httptest.ResponseRecorder)
	for range batchSize {
		go func() { ended <- g.send("/v1/services/orders/lookup", rand.Text(), wait) }()
	}
	sent := 0
	for left := batchSize; left > 0; left-- {
		select {
		case <-g.arrived:
			sent++
		case w := <-ended:
			if !isUnsentRefusal(w) {
				t.Errorf("response without a call of the upstream: %d %s", w.Code, w.Body)
			}
		}
	}
	g.clock.Advance(latency)
	close(g.release)
	for range sent {
		if w := <-ended; w.Code != http.StatusOK {
			t.Errorf("response %d %s, want 200", w.Code, w.Body)
		}
	}
	return sent
}

// Guards against a slow upstream that keeps its share of the requests, a
// concurrency limit that jumps up as soon as the upstream is fast again, and
// delay-tolerant requests that use the whole limit.
func TestConcurrencyLimitFollowsUpstreamLatency(t *testing.T) {
	g := newSingleUpstreamServer(t)
	g.arrived = make(chan struct{})
	delayTolerant := g.sendBatch(t, 100, "120000")
	initial := g.sendBatch(t, 100, "")
	if delayTolerant >= initial || initial >= batchSize {
		t.Errorf("%d delay-tolerant requests and %d others of %d were sent", delayTolerant, initial, batchSize)
	}
	least := initial
	for range 40 {
		least = g.sendBatch(t, 2000, "")
	}
	if least > initial/8 {
		t.Errorf("%d concurrent requests after 40 slow batches, %d before", least, initial)
	}
	last := least
	for range 30 {
		n := g.sendBatch(t, 100, "")
		if n > last+2 {
			t.Errorf("concurrent requests went up to %d from %d, want an increase of at most 2", n, last)
		}
		last = n
	}
	if last < least+10 {
		t.Errorf("%d concurrent requests after 30 fast batches, %d before", last, least)
	}
	t.Logf("delay-tolerant %d, others %d, slow %d, fast again %d", delayTolerant, initial, least, last)
}
