package kccapacity

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const variableConcurrency = "requests at a time"

// billFlushWaitMs is longer than the interval between two batches of bills, so
// that the records of all requests are in the log before they are counted.
const billFlushWaitMs = 500 * kcclock.Millisecond

// countingLog is a log that counts the appends, the reads and their bytes.
type countingLog struct {
	kclog.Log
	mu      sync.Mutex
	streams map[string]streamTraffic // by stream name without the shard number
}

type streamTraffic struct{ appends, records, bytes, reads, readBytes int64 }

func (l *countingLog) count(stream string, t streamTraffic) {
	name, _, _ := strings.Cut(stream, "-")
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.streams[name]
	sum.appends += t.appends
	sum.records += t.records
	sum.bytes += t.bytes
	sum.reads += t.reads
	sum.readBytes += t.readBytes
	l.streams[name] = sum
}

// trafficOf returns the sum over all shards of a stream.
func (l *countingLog) trafficOf(name string) streamTraffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[name]
}

// Append counts the records and passes them to the log.
func (l *countingLog) Append(ctx context.Context, stream string, recs []kclog.NewRecord) (int64, error) {
	t := streamTraffic{appends: 1, records: int64(len(recs))}
	for _, r := range recs {
		t.bytes += int64(len(r.ID) + len(r.Kind) + len(r.Body))
	}
	l.count(stream, t)
	return l.Log.Append(ctx, stream, recs)
}

// Read reads from the log and counts the records.
func (l *countingLog) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (kclog.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	t := streamTraffic{reads: 1}
	for _, r := range page.Records {
		t.readBytes += int64(len(r.ID) + len(r.Kind) + len(r.Body))
	}
	l.count(stream, t)
	return page, err
}

// testInstance is an instance in this process that uses stand-ins as the platform
// and as upstreams.
type testInstance struct {
	platform        *kcstandin.Platform
	log             *countingLog
	url             string
	http            *http.Client
	idempotencyKeys atomic.Int64
	stop            func()
}

// startTestInstance starts an instance whose member list holds unusedRunners
// runners besides the stand-ins.
func startTestInstance(ctx context.Context, unusedRunners int) (*testInstance, error) {
	ctx, cancel := context.WithCancel(ctx)
	p, err := kcstandin.StartPlatform(ctx, kcstandin.PlatformOptions{Clock: kcclock.System{}, TokenMillis: 1})
	if err != nil {
		cancel()
		return nil, err
	}
	for _, m := range runnerMembers(unusedRunners) {
		p.InstanceList.Put(m)
	}
	b := &testInstance{
		platform: p, log: &countingLog{Log: p.Log, streams: make(map[string]streamTraffic)},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	opts := kcinstance.Options{
		Settings: kcsettings.Defaults(), Clock: kcclock.System{}, Log: slog.New(slog.DiscardHandler),
		RecordLog: b.log, Lister: p.InstanceList,
	}
	opts.Settings.Instance = kcsettings.Instance{ID: "entry", Zone: "zone-a", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	opts.Settings.SessionKeys, opts.Settings.Rules = kcsettings.DemoSessionKeys(), kcsettings.DemoRules()
	opts.Settings.Timing.LameDuckMs = 0
	inst, err := kcinstance.New(opts)
	if err != nil {
		cancel()
		p.Close()
		return nil, err
	}
	ready, runErr := make(chan string, 1), make(chan error, 1)
	go func() { runErr <- inst.Run(ctx, func(i *kcinstance.Instance) { ready <- i.CallerAddr }) }()
	b.stop = func() {
		b.http.CloseIdleConnections()
		cancel()
		<-runErr
		p.Close()
	}
	select {
	case addr := <-ready:
		b.url = "http://" + addr
		return b, nil
	case err := <-runErr:
		cancel()
		p.Close()
		return nil, err
	}
}

const chatBody = `{"model":"small","max_tokens":8,"messages":[{"role":"user","content":"which train goes to the depot"}]}`

// postRequest sends one request with a new idempotency key.
func (b *testInstance) postRequest(ctx context.Context, path, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+kcsettings.DemoAPIKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("key-%08d", b.idempotencyKeys.Add(1)))
	resp, err := b.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		err = fmt.Errorf("%s: status %d: %s", path, resp.StatusCode, text)
	}
	return err
}

// sendConcurrently sends n requests, at most concurrency at a time. It returns
// their latencies in milliseconds in ascending order.
func (b *testInstance) sendConcurrently(ctx context.Context, path, body string, n, concurrency int) ([]float64, error) {
	latenciesMs, errs := make([]float64, n), make(chan error, concurrency)
	var next atomic.Int64
	for range concurrency {
		go func() {
			var failed error
			for i := next.Add(1) - 1; i < int64(n) && failed == nil; i = next.Add(1) - 1 {
				start := time.Now()
				failed = b.postRequest(ctx, path, body)
				latenciesMs[i] = float64(time.Since(start).Microseconds()) / 1000
			}
			errs <- failed
		}()
	}
	var failed error
	for range concurrency {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	slices.Sort(latenciesMs)
	return latenciesMs, failed
}

// requestKinds are the measured kinds of requests. A request of each kind adds
// records to the given log stream.
var requestKinds = []struct{ name, stream, path, body string }{
	{"chat", "bills", "/v1/chat/completions", chatBody},
	{"lookup", "bills", "/v1/services/orders/lookup", `{"dish":"stew"}`},
	{"order", "claims", "/v1/services/orders/place", `{"dish":"stew","portions":12}`},
}

// measureRequests measures requests through a complete instance. The stand-ins
// and the load generator run in the same process. An order is claimed and a
// lookup is not, so their difference is the cost of the claim.
func measureRequests(ctx context.Context, r *Report) error {
	// 64 is the concurrency limit of an instance for an upstream whose capacity it
	// does not know yet, and the stand-in has only one service.
	for _, concurrency := range []int{1, 8, 32, 64} {
		b, err := startTestInstance(ctx, 0)
		if err != nil {
			return err
		}
		for _, k := range requestKinds {
			if err := b.measureKind(ctx, r, k.name, k.stream, k.path, k.body, concurrency); err != nil {
				b.stop()
				return err
			}
		}
		b.stop()
	}
	for _, size := range runnerCounts {
		b, err := startTestInstance(ctx, size)
		if err != nil {
			return err
		}
		r.measureCalls("chat.runners", variableRunners, float64(size), 50, func() {
			_, err = b.sendConcurrently(ctx, requestKinds[0].path, chatBody, 4, 4)
		})
		b.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// requestsPerPoint is large enough to tell the memory of claims from noise.
const requestsPerPoint = 2000

func (b *testInstance) measureKind(ctx context.Context, r *Report, name, stream, path, body string, concurrency int) error {
	if _, err := b.sendConcurrently(ctx, path, body, 200, concurrency); err != nil {
		return err
	}
	<-kcclock.System{}.After(billFlushWaitMs)
	size := float64(concurrency)
	n := requestsPerPoint
	if concurrency == 1 {
		n /= 4 // sequential requests take long
	}
	trafficBefore, liveBefore, cpuBefore := b.log.trafficOf(stream), liveHeapBytes(), processCPUMicros()
	var memBefore, memAfter runtime.MemStats
	runtime.ReadMemStats(&memBefore)
	latenciesMs, err := b.sendConcurrently(ctx, path, body, n, concurrency)
	if err != nil {
		return err
	}
	runtime.ReadMemStats(&memAfter)
	count := float64(n)
	r.addPoint(name+".cpu", variableConcurrency, UnitMicros, singlePoint(size, (processCPUMicros()-cpuBefore)/count))
	<-kcclock.System{}.After(billFlushWaitMs)
	trafficAfter := b.log.trafficOf(stream)
	r.addPoint(name+".allocs", variableConcurrency, UnitAllocs, singlePoint(size, float64(memAfter.Mallocs-memBefore.Mallocs)/count))
	r.addPoint(name+".latency", variableConcurrency, "ms", Point{
		Size: size, Value: latenciesMs[n/2], Min: latenciesMs[n/20], Max: latenciesMs[n*19/20],
	})
	r.addPoint(name+".memory", variableConcurrency, UnitBytes, singlePoint(size, max(0, liveHeapBytes()-liveBefore)/count))
	records, appends := float64(trafficAfter.records-trafficBefore.records),
		float64(max(trafficAfter.appends-trafficBefore.appends, 1))
	r.addPoint(name+".log.records", variableConcurrency, UnitCount, singlePoint(size, records/count))
	r.addPoint(name+".log.bytes", variableConcurrency, UnitBytes,
		singlePoint(size, float64(trafficAfter.bytes-trafficBefore.bytes)/max(records, 1)))
	r.addPoint(name+".log.batch", variableConcurrency, UnitCount, singlePoint(size, records/appends))
	r.addPoint(name+".log.reads", variableConcurrency, UnitCount,
		singlePoint(size, float64(trafficAfter.reads-trafficBefore.reads)/count))
	r.addPoint(name+".log.readBytes", variableConcurrency, UnitBytes,
		singlePoint(size, float64(trafficAfter.readBytes-trafficBefore.readBytes)/count))
	return nil
}
