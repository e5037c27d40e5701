package kcedge_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcprogram"
	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

const streamConfig = `{"version":3,"routes":[{"name":"r","host":"h.example","path_prefix":"/stream/","type":"streaming",
"service":"x","timeout_ms":9000,"slo_ms":1000,"gap_slo_ms":500,"max_attempts":3,"resumable":true}],
"services":[{"name":"x"}],"limits":{"max_body_bytes":1000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]}`

// Guards against a prompt part that crashes upstreams through one instance after
// the other, also through one that starts when the others have blocked it.
func TestBlockedPartIsKnownAtAllInstances(t *testing.T) {
	store := kcplatformtest.NewStore(t)
	store.Put("keyed.op", "config", streamConfig)
	var upstreams []*kcplatformtest.Upstream
	for n := range 12 {
		u := kcplatformtest.NewUpstream(t, "x", fmt.Sprint("u", n), "za", "v1")
		u.SetFaults(kcplatformtest.UpstreamFaults{CrashingPart: "crashing"})
		u.Publish(store, nil)
		upstreams = append(upstreams, u)
	}
	crashes := func() (n int) {
		for _, u := range upstreams {
			n += len(u.CrashingRuns())
		}
		return n
	}
	zones := map[string]string{"za": "ra", "zb": "rb"}
	startInstance := func(name, zone string) *testInstance {
		p := &testInstance{store: store}
		p.start(t, kctable.Deployment{
			Instance: name, Zone: zone, Region: zones[zone], Regions: zones, PeerAddr: fmt.Sprintf("127.0.0.1:%d", kcprogram.FreePort(t)),
			Bounds: kctable.Bounds{GraceMs: 2000, RetryRatio: 0.9, RetryWindowMs: 60_000, SessionIdleMs: 5000},
		})
		p.waitForStatus(t, p.readyAddr, "/readyz", "", http.StatusOK)
		waitUntil(func() bool { return store.Latest("keyed.status", "instance/"+name) != "" })
		return p
	}
	n := 0
	request := func(p *testInstance, middle string) int {
		n++
		id := fmt.Sprint("q", n)
		status, _ := p.post(t, "/stream/x", "body of "+id, "Request-Id", id, "Model", "m", "Token-Count", "300,10",
			"Prefix-Hash", "first:100,"+middle+":100,own"+id+":100")
		return status
	}
	instances := []*testInstance{startInstance("a", "za"), startInstance("b", "zb"), startInstance("c", "za")}
	waitUntil(func() bool {
		if store.Latest("keyed.status", "quarantine/"+kcquarantine.PartOf("crashing").String()) != "" {
			return true
		}
		request(instances[n%len(instances)], "crashing")
		return false
	})
	blockedAfter := crashes()
	late := startInstance("d", "zb")
	for _, p := range append(instances, late) {
		waitUntil(func() bool { return request(p, "sound") == http.StatusOK })
		for range 5 {
			if got := request(p, "crashing"); got != http.StatusServiceUnavailable {
				t.Errorf("status %d for a blocked part", got)
			}
		}
	}
	if got := crashes(); got != blockedAfter {
		t.Errorf("%d crashes after the block, %d before", got-blockedAfter, blockedAfter)
	}
}
