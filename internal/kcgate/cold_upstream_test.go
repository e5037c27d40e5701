package kcgate_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// coldInterval is the time between two requests of the only instance to a cold
// upstream.
const coldInterval = 125 * kcclock.Millisecond

// newColdFixture returns a fixture whose service has cold upstreams. Its instance is
// the only one.
func newColdFixture(t *testing.T, engines ...*engine) *fixture {
	t.Helper()
	f := newFixture(t, []kctable.Route{route("a", kctable.Idempotent)}, engines...)
	table := *f.gate.Table()
	table.Version++
	table.ColdStarts = map[string]kctable.ColdStart{"svc": {ForMs: 3000, PerSecond: 11}}
	f.gate.SetTable(&table)
	f.gate.Upstreams.SetPeerZones(map[string]string{})
	return f
}

func newColdEngine(t *testing.T) *engine {
	t.Helper()
	return newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool {
		return reply(w, req, "200 OK", "Cold-Ms: 2000\r\n", "ok")
	})
}

// Guards against requests beyond the rate of the last upstream while it is cold,
// against refusals without the time until the next turn, and against a header of
// upstreams that callers get.
func TestLastUpstreamIsCold(t *testing.T) {
	e := newColdEngine(t)
	f := newColdFixture(t, e)
	f.gate.Upstreams.Upsert(upstreamEntry(e, 9))
	refused := 0
	for range 50 {
		resp, _, err := f.request(t, "/a/x")
		if err != nil {
			t.Fatal(err)
		}
		after := resp.Header.Get("Retry-After")
		switch {
		case resp.StatusCode == http.StatusOK && resp.Header.Get("Cold-Ms") == "":
		case resp.StatusCode == http.StatusServiceUnavailable && (after == "0.125" || after == "0.1"):
			refused++
		default:
			t.Errorf("status %d, headers %v", resp.StatusCode, resp.Header)
		}
		f.clock.Advance(coldInterval / 5)
	}
	if n := len(e.requests()); n != 9 || n+refused != 50 || !strings.Contains(f.logs.String(), "reason=upstreamsCold") {
		t.Errorf("%d requests sent and %d refused in 9 turns", n, refused)
	}
	if !strings.Contains(f.logs.String(), `msg="upstream cold" upstream=e0 service=svc cause=new forMs=3000`) {
		t.Errorf("the log does not say that the upstream is cold: %s", f.logs.String())
	}
}

// Guards against an answer of a cold upstream that is discarded for one of a larger
// model although no upstream may get the request now.
func TestAnswerOfColdUpstreamIsKept(t *testing.T) {
	e := newEngine(t, func(_ int, req *http.Request, _ string, w net.Conn) bool {
		return reply(w, req, "200 OK", "Confidence: 20\r\n", "weak")
	})
	f := newColdFixture(t, e)
	table := *f.gate.Table()
	table.Version, table.Routes = table.Version+1, map[string][]*kctable.Route{}
	r := route("a", kctable.Idempotent)
	r.Models = []string{"small", "large"}
	table.AddRoute(&r)
	f.gate.SetTable(&table)
	f.gate.Upstreams.Upsert(upstreamEntry(e, 9))
	f.clock.Advance(coldInterval)
	resp, body, err := f.request(t, "/a/x", "Model", "*")
	if err != nil || resp.StatusCode != http.StatusOK || body != "weak" || len(e.requests()) != 1 {
		t.Errorf("%v %q %v, %d attempts", resp, body, err, len(e.requests()))
	}
}

// Guards against requests that are refused because the target of a rollout is cold
// although the old version runs them, against sessions that leave the version which
// has served them, and against a target that stays out of use when it is warm.
func TestRolloutToColdTarget(t *testing.T) {
	answer := func(_ int, req *http.Request, _ string, w net.Conn) bool { return reply(w, req, "200 OK", "", "x") }
	old, target := newEngine(t, answer), newEngine(t, answer)
	f := newColdFixture(t, old)
	f.startRollout(old, target)
	names := targetSessions(t)
	for n := range sessionCount {
		if resp, _, err := f.request(t, "/a/x", "Request-Id", "s"+itoa(n)); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("a request without a session: %v, %v", resp, err)
		}
	}
	f.requestInSession(t, "/a/x", names[0])
	if n := len(target.requests()); n > 0 {
		t.Errorf("%d requests to the cold target before its first turn", n)
	}
	f.clock.Advance(3000)
	f.requestInSession(t, "/a/x", names[0])
	if n := len(target.requests()); n > 0 {
		t.Error("a session left the old version when the target was warm")
	}
	f.requestInSession(t, "/a/x", names[1])
	if n := len(target.requests()); n != 1 {
		t.Errorf("%d requests to the warm target, want 1", n)
	}
	f.gate.Upstreams.Upsert(kctable.Upstream{
		ID: "e1", Service: "svc", Address: target.ln.Addr().String(), Zone: "z", Version: "v2", Slots: 4, StartedAtMs: 12,
	})
	before := len(old.requests())
	resp, _, err := f.request(t, "/a/x", "Session", names[1])
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "0.125" {
		t.Errorf("a session of the cold target: %v, %v", resp, err)
	}
	f.clock.Advance(coldInterval)
	f.requestInSession(t, "/a/x", names[1])
	if n := len(target.requests()); n != 2 || len(old.requests()) != before {
		t.Errorf("%d requests to the target, want 2; %d to the old version", n, len(old.requests())-before)
	} // All sessions move to the target now. One that this instance does not know may be
	// there already.
	f.gate.Rollouts.ApplyProgress(kctable.RolloutProgress{
		Service: "svc", Target: "v2", OrderOffset: 1, TargetServing: true, Step: 1,
	})
	f.gate.Upstreams.Upsert(kctable.Upstream{
		ID: "e1", Service: "svc", Address: target.ln.Addr().String(), Zone: "z", Version: "v2", Slots: 4, StartedAtMs: 13,
	})
	for session, want := range map[string]int{"unknown": http.StatusServiceUnavailable, "": http.StatusOK} {
		if resp, _, err := f.request(t, "/a/x", "Session", session); err != nil || resp.StatusCode != want {
			t.Errorf("session %q in the second step: %v, %v", session, resp, err)
		}
	}
}
