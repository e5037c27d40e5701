package kcedge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

// Guards against requests that reach an evacuated zone: after the record was read, at
// an instance that starts later, or after a record that makes no sense; against
// streams that the evacuation cuts or moves; and against a zone that stays out when
// the record is gone.
func TestEvacuationMovesRequests(t *testing.T) {
	store := kcplatformtest.NewStore(t)
	store.Put("keyed.op", "config", streamConfig)
	zones := map[string]string{"za": "ra", "zb": "ra"}
	upstreams := map[string]*kcplatformtest.Upstream{}
	for zone := range zones {
		upstreams[zone] = kcplatformtest.NewUpstream(t, "x", "u"+zone, zone, "v1")
		upstreams[zone].SetFaults(kcplatformtest.UpstreamFaults{PauseMs: 40})
		upstreams[zone].Publish(store, nil)
	}
	start := func(name string) *testInstance {
		p := &testInstance{store: store}
		p.start(t, kctable.Deployment{
			Instance: name, Zone: "zb", Region: "ra", Regions: zones, PeerAddr: "127.0.0.1:0",
			Bounds: kctable.Bounds{GraceMs: 2000, RetryRatio: 0.9, EvacuateMs: 5000, SessionIdleMs: 5000},
		})
		p.waitForStatus(t, p.callerAddr, "/stream/x", "k1", http.StatusOK)
		return p
	}
	n := 0
	zoneOf := func(p *testInstance) string {
		n++
		id := fmt.Sprint("n", n)
		status, body := p.post(t, "/stream/x", "body of "+id, "Request-Id", id, "Session", "s")
		for zone, u := range upstreams {
			if status == http.StatusOK && strings.Count(body, "id:") == kcplatformtest.StreamEvents && u.RunCounts()[id] == 1 {
				return zone
			}
		}
		return fmt.Sprint(status)
	}
	p := start("i")
	if got := zoneOf(p); got != "zb" {
		t.Fatalf("ran at %s, want the zone of the instance", got)
	}
	running := make(chan string)
	go func() { running <- zoneOf(p) }()
	waitUntil(func() bool { return upstreams["zb"].RunCounts()["n2"] == 1 })
	store.Put("keyed.op", "evacuate/unknown", `{}`)
	store.Put("keyed.op", "evacuate/zb", `{}`)
	if got := <-running; got != "zb" {
		t.Errorf("the running stream ended with %s", got)
	}
	waitUntil(func() bool { return zoneOf(p) == "za" })
	for i, value := range []string{`{}`, `{"since":5}`, `odd`} {
		store.Put("keyed.op", "evacuate/zb", value)
		late := start(fmt.Sprint("late", i))
		for _, instance := range []*testInstance{p, late} {
			if got := zoneOf(instance); got != "za" {
				t.Errorf("with the record %s: ran at %s", value, got)
			}
		}
	}
	store.Put("keyed.op", "evacuate/za", `{}`)
	waitUntil(func() bool { return zoneOf(p) == "503" })
	store.Put("keyed.op", "evacuate/zb", "")
	waitUntil(func() bool { return zoneOf(p) == "zb" })
}
