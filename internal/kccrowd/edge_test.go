package kccrowd

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcprogram"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

const (
	// edgeMemoryMB is below the memory of the smallest known machine, 136 MB.
	edgeMemoryMB = 120
	// edgeDescriptors is far below those of the smallest known machine, 2,870, so
	// that a small crowd exceeds it. edgeFiles of them are reserved for files.
	edgeDescriptors = 600
	edgeFiles       = 200
	edgeMaxBody     = 4 * mib
)

const edgeSettings = `node_name: i1
ip: 127.0.0.1
zone: za
region: r1
zones: {za: r1}
listen: {front: "127.0.0.1:%d", readiness_addr: "127.0.0.1:%d"}
port_range: [%d, %d]
limits: {memory_mb: %d, max_fds: %d}
bounds: {config_apply_ms: 2500, strict_revoke: true, revoke_ms: 5000, drain_ms: 2500, grace_s: 4,
  retry_ratio: 0.9, retry_window_s: 10, retry_slack: 58, exposure_share: 0.6, session_s: 5}
platform: {address: "%s", form: log}
`

// edgeConfig has the limits of the known deployments. Requests have the time of a
// slow stream, so that a body that is not complete stays.
const edgeConfig = `{"version":1,"routes":[
{"name":"once","host":"soak.example","path_prefix":"/once/","type":"nonidempotent","service":"plain","timeout_ms":20000,
  "slo_ms":300,"max_attempts":3},
{"name":"lookup","host":"soak.example","path_prefix":"/lookup/","type":"idempotent","service":"plain","timeout_ms":20000,
  "slo_ms":300,"max_attempts":3},
{"name":"large","host":"soak.example","path_prefix":"/large/","type":"idempotent","service":"large","timeout_ms":20000,
  "slo_ms":300,"max_attempts":3},
{"name":"stream","host":"soak.example","path_prefix":"/stream/","type":"streaming","service":"engine","timeout_ms":20000,
  "slo_ms":2000,"gap_slo_ms":1000,"max_attempts":3,"resumable":true},
{"name":"brokenOnce","host":"soak.example","path_prefix":"/broken/once/","type":"nonidempotent","service":"broken",
  "timeout_ms":4000,"slo_ms":300,"max_attempts":3},
{"name":"brokenLookup","host":"soak.example","path_prefix":"/broken/lookup/","type":"idempotent","service":"broken",
  "timeout_ms":4000,"slo_ms":300,"max_attempts":3},
{"name":"brokenStream","host":"soak.example","path_prefix":"/broken/stream/","type":"streaming","service":"broken",
  "timeout_ms":4000,"slo_ms":2000,"gap_slo_ms":1000,"max_attempts":3,"resumable":true}],
"services":[{"name":"plain"},{"name":"large"},{"name":"engine"},{"name":"broken"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["long"]}]}`

var edgeStarted = regexp.MustCompile(`msg=start `)

// startEdge starts an instance with a store and one upstream of each service. The
// service "broken" has the upstreams at the given addresses.
func startEdge(t *testing.T, broken ...string) *target {
	t.Helper()
	store := kcplatformtest.NewStore(t)
	for service, fillBytes := range map[string]int{"plain": 0, "large": 400 << 10, "engine": 256 << 10} {
		u := kcplatformtest.NewUpstream(t, service, "u-"+service, "za", "v1")
		u.SetFaults(kcplatformtest.UpstreamFaults{FillBytes: fillBytes})
		u.Publish(store, nil)
	}
	for n, addr := range broken {
		u := kcplatformtest.NewUpstream(t, "broken", fmt.Sprintf("u-broken-%d", n), "za", "v1")
		u.Publish(store, map[string]any{"address": addr, "slots": brokenCallers})
	}
	store.Put("keyed.op", "config", edgeConfig)
	front, ready, peer := kcprogram.FreePort(t), kcprogram.FreePort(t), kcprogram.FreePort(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(edgeSettings, front, ready, peer, peer+1, edgeMemoryMB, edgeDescriptors, store.Addr)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process, _ := kcprogram.Start(t, "i1", edgeStarted, programPath, "edge", "--settings", path)
	tg := &target{
		process: process, addr: fmt.Sprintf("127.0.0.1:%d", front), memoryBytes: edgeMemoryMB * mib, descriptors: edgeDescriptors,
		sockets: edgeDescriptors - edgeFiles,
		path:    "/lookup/x", large: "/large/x", stream: "/stream/x", maxBody: edgeMaxBody, maxHeader: 64 << 10,
		header: "Host: soak.example\r\nApi-Key: long\r\nDeadline-Ms: 20000\r\n",
	}
	var sent atomic.Int64
	tg.ordinary = func(body []byte) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+tg.addr+"/once/x", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Host = "soak.example"
		req.Header.Set("Api-Key", "long")
		req.Header.Set("Deadline-Ms", "10000")
		req.Header.Set("Request-Id", fmt.Sprintf("ordinary-%d", sent.Add(1)))
		return send(req)
	}
	if err := tg.serveOrdinary(t.Context(), []byte("ordinary")); err != nil {
		t.Fatalf("not ready: %v\n%s", err, process.Tail())
	}
	return tg
}

// Guards against a limit that refuses a single request within the limits of the
// configuration.
func TestEdgeServesLargestBodyInCalm(t *testing.T) {
	tg := startEdge(t)
	if err := tg.ordinary(fill[:tg.maxBody]); err != nil {
		t.Errorf("the largest legal body: %v", err)
	}
	var u usage
	u.sample(tg.process.PID())
	tg.check(t, u)
}

// Guards against large bodies that are sent at once and kept in memory without a
// bound on their sum.
func TestEdgeOutlivesWholeBodies(t *testing.T) { startEdge(t).run(t, bodyCallers, wholeBody) }

// Guards against the same with bodies that arrive in pieces.
func TestEdgeOutlivesBodiesInPieces(t *testing.T) { startEdge(t).run(t, bodyCallers, bodyInPieces) }

// Guards against bodies without a stated length whose end never comes.
func TestEdgeOutlivesLargeChunks(t *testing.T) {
	startEdge(t).run(t, bodyCallers, chunkedBody(largeChunkBytes))
}

// Guards against the same in chunks that are hardly larger than their framing.
func TestEdgeOutlivesSmallChunks(t *testing.T) {
	startEdge(t).run(t, bodyCallers, chunkedBody(smallChunkBytes))
}

// Guards against bodies over the limit that are read although their length is
// known.
func TestEdgeOutlivesAnnouncedOversize(t *testing.T) {
	startEdge(t).run(t, bodyCallers, announcedOversize)
}

// Guards against bodies over the limit that are kept until the limit is met.
func TestEdgeOutlivesSentOversize(t *testing.T) { startEdge(t).run(t, bodyCallers, sentOversize) }

// Guards against a bound that holds for one kind of caller only.
func TestEdgeOutlivesMixedCrowd(t *testing.T) { startEdge(t).run(t, 4*bodyCallers, mixed) }

// Guards against headers that are kept for as long as their end does not come.
func TestEdgeOutlivesSlowHeaders(t *testing.T) { startEdge(t).run(t, openCallers, slowHeader) }

// Guards against connections that take every descriptor and send nothing.
func TestEdgeOutlivesSilentConnections(t *testing.T) { startEdge(t).run(t, openCallers, silent) }

// Guards against answers that are held for callers that do not read.
func TestEdgeOutlivesUnreadAnswers(t *testing.T) { startEdge(t).run(t, openCallers, unreadAnswers) }

// Guards against events that are held for callers that do not read.
func TestEdgeOutlivesUnreadStreams(t *testing.T) { startEdge(t).run(t, openCallers, unreadStream) }

// Guards against requests that are read ahead of the answers before them.
func TestEdgeOutlivesPipelinedRequests(t *testing.T) { startEdge(t).run(t, bodyCallers, pipelined) }
