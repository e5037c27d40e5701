package kcedge_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcprogram"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

// Guards against a session that changes its version because its next request
// reaches an instance that has not served it before.
func TestSessionKeepsItsVersionAtAnotherInstance(t *testing.T) {
	store := kcplatformtest.NewStore(t)
	store.Put("keyed.servers", "u1", upstreamEntry(serveEcho(t), "v1", 1))
	store.Put("keyed.op", "config", configJSON("3", `"k1"`))
	// The zones are in two regions.
	zones := map[string]string{"za": "ra", "zb": "rb"}
	startInstance := func(zone string) *testInstance {
		p := &testInstance{store: store}
		p.start(t, kctable.Deployment{
			Instance: "i-" + zone, Zone: zone, Region: zones[zone], Regions: zones,
			PeerAddr: fmt.Sprintf("127.0.0.1:%d", kcprogram.FreePort(t)),
			Bounds:   kctable.Bounds{GraceMs: 2000, RetryRatio: 0.9, SessionIdleMs: 60_000, MaxExposureShare: 0.9},
		})
		p.waitForStatus(t, p.callerAddr, "/a/b", "k1", http.StatusOK)
		return p
	}
	a, b := startInstance("za"), startInstance("zb")
	waitUntil(func() bool {
		return store.Latest("keyed.status", "instance/i-za") != "" && store.Latest("keyed.status", "instance/i-zb") != ""
	})
	upstreamFor := func(p *testInstance, session string) string {
		t.Helper()
		status, upstream := p.get(t, p.callerAddr, "/a/b", "k1", "Session", session)
		if status != http.StatusOK {
			t.Errorf("session %s: status %d", session, status)
		}
		return upstream
	}
	const sessions = 8
	for n := range sessions {
		if got := upstreamFor(a, fmt.Sprint("s", n)); got != "u1" {
			t.Fatalf("%q before the order", got)
		}
	}
	store.Put("keyed.op", "rollout/x", `{"service":"x","target":"v2","deadline_s":300}`)
	store.Put("keyed.servers", "u2", upstreamEntry(serveEcho(t), "v2", 2))
	// New sessions are served by the target once it takes requests.
	n := 0
	waitUntil(func() bool { n++; return upstreamFor(b, fmt.Sprint("new", n)) == "u2" })
	for n := range sessions {
		if got := upstreamFor(b, fmt.Sprint("s", n)); got != "u1" {
			t.Errorf("session %d moved to %q", n, got)
		}
	}
}
