package kcentry_test

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcentry"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// withdrawingRules is a RuleSource and a clock. It switches to rules that withdraw
// everything at a given read of the clock, or at a given call of an upstream.
type withdrawingRules struct {
	kcclock.System
	mu                        sync.Mutex
	clockReadsLeft, callsLeft int // number left until the withdrawal; negative means never
	before, after             *kcrules.Rules
	withdrawn                 bool
}

func (s *withdrawingRules) Rules() *kcrules.Rules {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.withdrawn {
		return s.after
	}
	return s.before
}

func (s *withdrawingRules) Now() kcclock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockReadsLeft--
	s.withdrawn = s.withdrawn || s.clockReadsLeft == 0
	return s.System.Now()
}

// recordCall records a call of an upstream and reports whether it came after the
// withdrawal.
func (s *withdrawingRules) recordCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.withdrawn
	s.callsLeft--
	s.withdrawn = s.withdrawn || s.callsLeft == 0
	return late
}

func withdrawnRules() *kcrules.Rules {
	r := kcsettings.DemoRules()
	for key, v := range r.Versions {
		v.State = kcrules.Withdrawn
		r.Versions[key] = v
	}
	r.Services = nil
	return &r
}

// upstreamStub responds to every call with status and counts the calls that come
// after the withdrawal.
type upstreamStub struct {
	rules     *withdrawingRules
	status    int
	mu        sync.Mutex
	lateCalls int
	calls     int
}

func (u *upstreamStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		u.mu.Lock()
		u.calls++
		if u.rules.recordCall() {
			u.lateCalls++
		}
		u.mu.Unlock()
	}
	w.WriteHeader(u.status)
	_, _ = fmt.Fprint(w, "id: 0\ndata: {\"choices\":[]}\n\ndata: [DONE]\n\n")
}

func newServer(t *testing.T, rules *withdrawingRules, u *upstreamStub, fresh func() bool) http.Handler {
	t.Helper()
	return newServerWith(t, rules, rules, u, 3, fresh).Handler()
}

// newServerWith returns a server with n engines and n plain services as upstreams.
func newServerWith(
	t *testing.T, now kcclock.Clock, rules kcentry.RuleSource, u http.Handler, n int, fresh func() bool,
) *kcentry.Server {
	t.Helper()
	signer, err := kcsession.NewSigner(kcsettings.DemoSessionKeys())
	if err != nil {
		t.Fatal(err)
	}
	clock := kcclock.System{}
	list := &kcstandin.List{Clock: clock}
	for n := range n {
		srv := httptest.NewServer(u)
		t.Cleanup(srv.Close)
		addr := srv.Listener.Addr().String()
		versions := []string{"small@1", "large@1"}
		list.Put(kcmember.Member{ID: fmt.Sprintf("e%d", n), Role: kcmember.RoleEngine, Addr: addr, Versions: versions})
		list.Put(kcmember.Member{ID: fmt.Sprintf("s%d", n), Role: kcmember.RoleService, Addr: addr, Service: "orders"})
	}
	dir := kcmember.NewDirectory(kcmember.DirectoryOptions{Lister: list, Clock: clock})
	if err := dir.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: clock})
	set := kcsettings.Defaults()
	ledger := kcbill.NewLedger(kcbill.LedgerOptions{Log: log, Clock: clock, Shards: 1, MaxPending: 100})
	done := ledger.Run(t.Context()) // responses wait until their bills are durable
	t.Cleanup(func() { <-done })
	return kcentry.NewServer(kcentry.Options{
		Instance: "i", Clock: now, Log: slog.New(slog.DiscardHandler), Metrics: kcmetric.New(), Rules: rules, RulesFresh: fresh,
		Directory: dir, Sessions: signer, Limits: set.Limits,
		UpstreamClient: kcupstream.NewClient(kcupstream.Options{
			Clock: clock, IdleTimeoutMs: kcclock.Minute, MaxResponseBytes: 1 << 20,
		}),
		Claimer: kcclaim.NewClaimer(kcclaim.ClaimerOptions{Log: log, Clock: clock, Shards: 1}),
		Ledger:  ledger,
	})
}

// Guards against a dispatch to a version or an operation that was withdrawn
// after it was chosen. The withdrawal happens at each read of the clock in turn,
// some of which are between choice and dispatch, and during each call. Upstreams
// that respond with 503 cover the retries.
func TestNoDispatchAfterWithdrawal(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/v1/services/orders/place", "/v1/services/orders/lookup"} {
		for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			for _, atCall := range []bool{false, true} {
				for n, withdrawn := 1, true; withdrawn; n++ {
					withdrawn = isWithdrawnAt(t, path, status, atCall, n)
				}
			}
		}
	}
}

// isWithdrawnAt runs a request with the withdrawal at the n-th clock read, or at
// the n-th call, and reports whether the request got that far.
func isWithdrawnAt(t *testing.T, path string, status int, atCall bool, n int) bool {
	t.Helper()
	before := kcsettings.DemoRules()
	rules := &withdrawingRules{clockReadsLeft: n, callsLeft: -1, before: &before, after: withdrawnRules()}
	if atCall {
		rules.clockReadsLeft, rules.callsLeft = -1, n
	}
	u := &upstreamStub{rules: rules, status: status}
	req := httptest.NewRequest(http.MethodPost, path,
		strings.NewReader(`{"model":"auto","messages":[{"role":"user","content":"x"}]}`))
	req.Header.Set("Authorization", "Bearer "+kcsettings.DemoKey)
	req.Header.Set("Idempotency-Key", rand.Text())
	rec := httptest.NewRecorder()
	newServer(t, rules, u, nil).ServeHTTP(rec, req)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lateCalls > 0 {
		t.Errorf("%s, status %d, withdrawal at event %d (of calls: %v): %d of %d calls came after it",
			path, status, n, atCall, u.lateCalls, u.calls)
	}
	if u.calls == 0 && !strings.Contains(rec.Body.String(), `"execution":"notRun"`) {
		t.Errorf("%s, withdrawal at event %d: got %s, want execution notRun", path, n, rec.Body)
	}
	return rules.withdrawn
}

// Guards against an instance that serves requests with stale rules, and against
// one that rejects requests of a class that permits stale rules.
func TestStaleRulesRefuseUnlessClassAllows(t *testing.T) {
	for _, c := range []struct {
		whenStale string
		status    int
	}{{"", 503}, {kcrules.WhenStaleRefuse, 503}, {kcrules.WhenStaleServe, 200}} {
		before := kcsettings.DemoRules()
		before.Classes = map[kcrules.Class]kcrules.ClassRule{kcrules.DefaultClass: {WhenStale: c.whenStale}}
		rules := &withdrawingRules{clockReadsLeft: -1, callsLeft: -1, before: &before}
		u := &upstreamStub{rules: rules, status: http.StatusOK}
		req := httptest.NewRequest(http.MethodPost, "/v1/services/orders/lookup", http.NoBody)
		req.Header.Set("Authorization", "Bearer "+kcsettings.DemoKey)
		rec := httptest.NewRecorder()
		newServer(t, rules, u, func() bool { return false }).ServeHTTP(rec, req)
		refused := strings.Contains(rec.Body.String(), `"code":"staleConfiguration","execution":"notRun"`)
		if rec.Code != c.status || refused != (c.status == 503) {
			t.Errorf("whenStale %q: status %d, %s", c.whenStale, rec.Code, rec.Body)
		}
	}
}
