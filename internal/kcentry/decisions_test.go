package kcentry_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcentry"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// testRouter is a server with one engine for each version. An engine responds
// with its text, or with status 500 if it has none.
type testRouter struct {
	*kcentry.Server
	log          *kcstandin.Log
	ledger       *kcbill.Ledger
	rules        *kcrules.Rules
	engineHeader http.Header
}

func (r *testRouter) Rules() *kcrules.Rules { return r.rules }

func newTestRouter(t *testing.T, textByVersion map[string]string) *testRouter {
	t.Helper()
	return newTestRouterWith(t, textByVersion, true)
}

func newTestRouterWith(t *testing.T, textByVersion map[string]string, seedEvidence bool) *testRouter {
	t.Helper()
	clock := kcclock.System{}
	rules := kcsettings.DemoRules()
	w := rules.Workspaces["demo"]
	w.QualityTarget = map[kcrules.Class]float64{kcrules.DefaultClass: 0.9}
	rules.Workspaces["demo"] = w
	r := &testRouter{rules: &rules, log: kcstandin.NewLog(kcstandin.LogOptions{Clock: clock}), engineHeader: make(http.Header)}
	list := &kcstandin.List{Clock: clock}
	for version, text := range textByVersion {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			for k, v := range r.engineHeader {
				w.Header()[k] = v
			}
			if text == "" {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			const choice = `{"index":0,"delta":{"content":%q},"finish_reason":"stop"}`
			_, _ = fmt.Fprintf(w, "id: 0\ndata: {\"id\":%q,\"choices\":["+choice+"]}\n\ndata: [DONE]\n\n",
				req.Header.Get("X-Request-Id"), text)
		}))
		t.Cleanup(srv.Close)
		list.Put(kcmember.Member{
			ID: version, Role: kcmember.RoleEngine, Addr: srv.Listener.Addr().String(), Versions: []string{version},
		})
	}
	dir := kcmember.NewDirectory(kcmember.DirectoryOptions{Lister: list, Clock: clock})
	if err := dir.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	signer, err := kcsession.NewSigner(kcsettings.DemoSessionKeys())
	if err != nil {
		t.Fatal(err)
	}
	r.ledger = kcbill.NewLedger(kcbill.LedgerOptions{Log: r.log, Clock: clock, Shards: 1, MaxPending: 1000})
	done := r.ledger.Run(t.Context()) // responses wait until their bills are durable
	t.Cleanup(func() { <-done })
	decisions := kcentry.NewRoutingState(kcentry.RoutingStateOptions{Instance: "i", Clock: clock, Rules: r})
	if seedEvidence {
		decisions.SeedCascadeEvidence(kcrules.DefaultClass, "small@1", "large@1")
	}
	r.Server = kcentry.NewServer(kcentry.Options{
		Instance: "i", Clock: clock, Log: slog.New(slog.DiscardHandler), Metrics: kcmetric.New(), Rules: r, Directory: dir,
		Sessions: signer, Limits: kcsettings.Defaults().Limits, Ledger: r.ledger, RoutingState: decisions,
		UpstreamClient: kcupstream.NewClient(kcupstream.Options{
			Clock: clock, IdleTimeoutMs: kcclock.Minute, MaxResponseBytes: 1 << 20,
			OnResult: func(to kcupstream.Target, h http.Header, _ error) { r.ObserveLoad(to.ID, h) },
		}),
	})
	return r
}

func (r *testRouter) sendChat(stream bool, headers ...string) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"model":"auto","stream":%v,"messages":[{"role":"user","content":"a menu for eleven"}]}`, stream)
	req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+kcsettings.DemoKey)
	for n := 0; n+1 < len(headers); n += 2 {
		req.Header.Set(headers[n], headers[n+1])
	}
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, req)
	return w
}

// billAmounts returns the amounts of the bills in the log.
func (r *testRouter) billAmounts(t *testing.T) []string {
	t.Helper()
	if err := r.ledger.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	page, err := r.log.Read(context.Background(), kcbill.Stream("x", 1), 0, 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	book := kcbill.NewIndex()
	for _, rec := range page.Records {
		book.Fold(kcbill.Stream("x", 1), rec)
	}
	var out []string
	for _, b := range book.All() {
		out = append(out, strconv.FormatInt(b.Amount, 10))
	}
	return out
}

const (
	acceptedText = "Beans, bread and coffee for eleven."
	rejectedText = "I'm sorry, but I cannot help with that menu."
)

// Guards against a rejected first response that partly reaches the caller, a
// cascade that is billed twice or not at the quoted price, and a failure of the
// second version that discards the response of the first.
func TestCascadeDeliversAndBillsOneAnswer(t *testing.T) {
	for _, c := range []struct {
		name, small, large, version, text string
	}{
		{"first passes", acceptedText, "x", "small@1", acceptedText},
		{"second answers", rejectedText, acceptedText, "large@1", acceptedText},
		{"second fails", rejectedText, "", "small@1", rejectedText},
	} {
		for _, stream := range []bool{false, true} {
			r := newTestRouter(t, map[string]string{"small@1": c.small, "large@1": c.large})
			w := r.sendChat(stream)
			body := w.Body.String()
			if w.Code != http.StatusOK || w.Header().Get(kcapi.HeaderVersion) != c.version || !strings.Contains(body, c.text) {
				t.Errorf("%s, stream %v: %d from %s: %s", c.name, stream, w.Code, w.Header().Get(kcapi.HeaderVersion), body)
			}
			if c.text != rejectedText && strings.Contains(body, rejectedText) {
				t.Errorf("%s, stream %v: the rejected response reached the caller: %s", c.name, stream, body)
			}
			if b := r.billAmounts(t); len(b) != 1 || b[0] != w.Header().Get(kcapi.HeaderPrice) {
				t.Errorf("%s, stream %v: bills %v, price %s", c.name, stream, b, w.Header().Get(kcapi.HeaderPrice))
			}
		}
	}
}

// Guards against exploring cascades without a rating service: callers would bear
// the risk and nothing would be learned.
func TestNoCascadeExplorationWithoutRatings(t *testing.T) {
	r := newTestRouterWith(t, map[string]string{"small@1": rejectedText, "large@1": acceptedText}, false)
	for range 300 {
		if w := r.sendChat(false); w.Header().Get(kcapi.HeaderVersion) != "large@1" {
			t.Fatalf("response of %s, want large@1: %s", w.Header().Get(kcapi.HeaderVersion), w.Body)
		}
	}
	w := httptest.NewRecorder()
	r.AdminMux().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	if strings.Contains(w.Body.String(), "escalated") {
		t.Error("a cascade was explored without ratings")
	}
}

// Guards against a rate limit that does not reject requests, reports them as run,
// or sends no Retry-After.
func TestRateLimitRefusesWithoutRunning(t *testing.T) {
	r := newTestRouter(t, map[string]string{"small@1": acceptedText, "large@1": acceptedText})
	w := r.rules.Workspaces["demo"]
	w.RequestsPerSecond = 0.01
	r.rules.Workspaces["demo"] = w
	for range 5 {
		if a := r.sendChat(false); a.Code != http.StatusOK {
			t.Fatalf("%d %s", a.Code, a.Body)
		}
	}
	a := r.sendChat(false)
	if a.Code != http.StatusTooManyRequests || a.Header().Get("Retry-After") == "" ||
		!strings.Contains(a.Body.String(), `"code":"rateLimited","execution":"notRun"`) {
		t.Errorf("%d %v %s", a.Code, a.Header(), a.Body)
	}
	if b := r.billAmounts(t); len(b) != 5 {
		t.Errorf("bills %v for 5 responses", b)
	}
}

// Guards against sending requests to full engines although their deadline cannot
// be met, and against an output of /explain without the reasons.
func TestFullEnginesMakeDeadlineUnreachable(t *testing.T) {
	r := newTestRouter(t, map[string]string{"small@1": acceptedText, "large@1": acceptedText})
	r.engineHeader.Set("X-Engine-Load", `{"running":4,"waiting":400,"slots":4}`)
	// The first responses report the load of both engines.
	for _, v := range []string{"small@1", "large@1"} {
		req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions",
			strings.NewReader(`{"model":"`+v+`","messages":[{"role":"user","content":"x"}]}`))
		req.Header.Set("Authorization", "Bearer "+kcsettings.DemoKey)
		r.Handler().ServeHTTP(httptest.NewRecorder(), req)
	}
	a := r.sendChat(false, kcapi.HeaderMaxWait, "3000")
	if a.Code != http.StatusServiceUnavailable ||
		!strings.Contains(a.Body.String(), `"code":"deadlineUnreachable","execution":"notRun"`) {
		t.Errorf("%d %s", a.Code, a.Body)
	}
	w := httptest.NewRecorder()
	r.AdminMux().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/explain?workspace=demo&maxWaitMs=3000", http.NoBody))
	for _, want := range []string{"refused: deadlineUnreachable", "small@1", "large@1", "cannot finish before the deadline"} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("the output of /explain lacks %q:\n%s", want, w.Body)
		}
	}
}

// Guards against counts from before a rollout that reach other instances late
// and are mistaken for evidence of it, and against their size in every digest.
func TestEvidenceIsCountedOnlyDuringRollout(t *testing.T) {
	r := newTestRouter(t, map[string]string{"small@1": "hello", "large@1": "hello"})
	r.sendChat(false)
	if n := len(r.RoutingState.LocalEvidence()); n != 0 {
		t.Errorf("%d arms without a rollout, want none", n)
	}
	r.rules.Rollouts = map[string]kcrules.Rollout{
		"small": {From: "small@1", To: "small@2", Stages: []float64{0.5, 1}},
		"large": {From: "large@1", To: "large@2", Stages: []float64{0.5, 1}},
	}
	r.sendChat(false)
	for arm, tally := range r.RoutingState.LocalEvidence() {
		if n := tally[kcrollout.Failure].Total; n != 1 {
			t.Errorf("%v: %d dispatches counted, want 1 since the start of the rollout", arm, n)
		}
	}
	if len(r.RoutingState.LocalEvidence()) == 0 {
		t.Error("no evidence during a rollout")
	}
}
