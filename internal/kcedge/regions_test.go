package kcedge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

const regionConfig = `{"version":3,"routes":[
{"name":"any","host":"h.example","path_prefix":"/any/","type":"idempotent","service":"x","max_attempts":3},
{"name":"rb","host":"h.example","path_prefix":"/rb/","type":"idempotent","service":"x","max_attempts":3,"regions_allowed":["rb"]},
{"name":"odd","host":"h.example","path_prefix":"/odd/","type":"idempotent","service":"x","regions_allowed":"ra"},
{"name":"no","host":"h.example","path_prefix":"/no/","type":"idempotent","service":"x","regions_allowed":["nowhere"]}],
"services":[{"name":"x"}],"limits":{"max_body_bytes":1000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["k1"]},{"name":"b","api_keys":["kb"],"regions_allowed":["rb"]},
{"name":"a","api_keys":["ka"],"regions_allowed":["ra"]},{"name":"both","api_keys":["kboth"],"regions_allowed":["ra","rb"]}]}`

// Guards against requests that reach upstreams outside the regions that their
// route or workspace names, at instances of either region, as a first attempt or as
// a retry, and against a region list that cannot be read and then allows all.
func TestRequestsStayInTheirRegions(t *testing.T) {
	store := kcplatformtest.NewStore(t)
	store.Put("keyed.op", "config", regionConfig)
	zones := map[string]string{"za": "ra", "zb": "rb"}
	upstreams := map[string][]*kcplatformtest.Upstream{}
	for n := range 4 {
		for zone, region := range zones {
			id := fmt.Sprint("u", zone, n)
			u := kcplatformtest.NewUpstream(t, "x", id, zone, "v1")
			// Rejections make each request try several upstreams.
			u.SetFaults(kcplatformtest.UpstreamFaults{RejectedShare: 0.4})
			u.Publish(store, nil)
			upstreams[region] = append(upstreams[region], u)
		}
	}
	for _, zone := range []string{"za", "zb"} {
		p := &testInstance{store: store}
		p.start(t, kctable.Deployment{
			Instance: "i" + zone, Zone: zone, Region: zones[zone], Regions: zones, PeerAddr: "127.0.0.1:0",
			Bounds: kctable.Bounds{GraceMs: 2000, RetryRatio: 0.9, RetrySlack: 1000, SessionIdleMs: 5000},
		})
		p.waitForStatus(t, p.callerAddr, "/any/x", "k1", http.StatusOK)
		send := func(path, key, id string) int {
			status, _ := p.get(t, p.callerAddr, path, key, "Request-Id", id)
			return status
		}
		for n := range 30 {
			for i, c := range []struct{ path, key, region string }{
				{"/any/x", "kb", "rb"},
				{"/any/x", "ka", "ra"},
				{"/rb/x", "k1", "rb"},
				{"/rb/x", "kb", "rb"},
				{"/rb/x", "kboth", "rb"},
			} {
				send(c.path, c.key, fmt.Sprint(c.region, "-", zone, n, "-", i))
			}
			for i, c := range []struct{ path, key string }{{"/rb/x", "ka"}, {"/odd/x", "k1"}, {"/no/x", "k1"}} {
				if status := send(c.path, c.key, fmt.Sprint("none-", zone, n, "-", i)); status != http.StatusServiceUnavailable {
					t.Errorf("%s with %s at %s: status %d, want 503", c.path, c.key, zone, status)
				}
			}
		}
	}
	for region, list := range upstreams {
		for _, u := range list {
			for request := range u.RunCounts() {
				if want, _, ok := strings.Cut(request, "-"); ok && want != region {
					t.Errorf("request %s ran in region %s", request, region)
				}
			}
		}
	}
}
