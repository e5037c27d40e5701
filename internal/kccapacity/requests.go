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

const ofConcurrency = "requests at a time"

// settleMs is longer than the time between two batches of bills, so that the
// records of all requests are in the log when they are counted.
const settleMs = 500 * kcclock.Millisecond

// countingLog counts what goes to the log and comes from it.
type countingLog struct {
	kclog.Log
	mu      sync.Mutex
	streams map[string]traffic // by the stream name without the shard
}

type traffic struct{ appends, records, bytes, reads, readBytes int64 }

func (l *countingLog) count(stream string, t traffic) {
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

func (l *countingLog) traffic(name string) traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[name]
}

// Append appends and counts.
func (l *countingLog) Append(ctx context.Context, stream string, recs []kclog.NewRecord) (int64, error) {
	t := traffic{appends: 1, records: int64(len(recs))}
	for _, r := range recs {
		t.bytes += int64(len(r.ID) + len(r.Kind) + len(r.Body))
	}
	l.count(stream, t)
	return l.Log.Append(ctx, stream, recs)
}

// Read reads and counts.
func (l *countingLog) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (kclog.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	t := traffic{reads: 1}
	for _, r := range page.Records {
		t.readBytes += int64(len(r.ID) + len(r.Kind) + len(r.Body))
	}
	l.count(stream, t)
	return page, err
}

// bench is an instance in this process before stand-ins.
type bench struct {
	platform *kcstandin.Platform
	log      *countingLog
	url      string
	http     *http.Client
	keys     atomic.Int64
	stop     func()
}

// startBench starts an instance whose list has unused runners besides the
// stand-ins.
func startBench(ctx context.Context, unused int) (*bench, error) {
	ctx, cancel := context.WithCancel(ctx)
	p, err := kcstandin.StartPlatform(ctx, kcstandin.PlatformOptions{Clock: kcclock.System{}, TokenMillis: 1})
	if err != nil {
		cancel()
		return nil, err
	}
	for _, m := range runners(unused) {
		p.InstanceList.Put(m)
	}
	b := &bench{
		platform: p, log: &countingLog{Log: p.Log, streams: make(map[string]traffic)},
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
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- inst.Run(ctx, func(i *kcinstance.Instance) { ready <- i.CallerAddr }) }()
	b.stop = func() {
		b.http.CloseIdleConnections()
		cancel()
		<-ended
		p.Close()
	}
	select {
	case addr := <-ready:
		b.url = "http://" + addr
		return b, nil
	case err := <-ended:
		cancel()
		p.Close()
		return nil, err
	}
}

const chatBody = `{"model":"small","max_tokens":8,"messages":[{"role":"user","content":"which train goes to the depot"}]}`

// post sends one request. Every request has an idempotency key of its own.
func (b *bench) post(ctx context.Context, path, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+kcsettings.DemoAPIKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("key-%08d", b.keys.Add(1)))
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

// load sends n requests, at most concurrency at a time, and returns their
// latencies in milliseconds in ascending order.
func (b *bench) load(ctx context.Context, path, body string, n, concurrency int) ([]float64, error) {
	times, errs := make([]float64, n), make(chan error, concurrency)
	var next atomic.Int64
	for range concurrency {
		go func() {
			var failed error
			for i := next.Add(1) - 1; i < int64(n) && failed == nil; i = next.Add(1) - 1 {
				start := time.Now()
				failed = b.post(ctx, path, body)
				times[i] = float64(time.Since(start).Microseconds()) / 1000
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
	slices.Sort(times)
	return times, failed
}

// kinds of requests, the stream whose records each of them adds and the path.
var kinds = []struct{ name, stream, path, body string }{
	{"chat", "bills", "/v1/chat/completions", chatBody},
	{"lookup", "bills", "/v1/services/orders/lookup", `{"dish":"stew"}`},
	{"order", "claims", "/v1/services/orders/place", `{"dish":"stew","portions":12}`},
}

// measureRequests measures requests through a whole instance, the stand-ins
// and the load generator in one process. The difference between an order,
// which is claimed, and a look-up is the cost of the claim.
func measureRequests(ctx context.Context, r *Report) error {
	// An instance sends 64 requests at a time to an upstream that it does not
	// know yet, and the stand-in has one service.
	for _, concurrency := range []int{1, 8, 32, 64} {
		b, err := startBench(ctx, 0)
		if err != nil {
			return err
		}
		for _, k := range kinds {
			if err := b.measure(ctx, r, k.name, k.stream, k.path, k.body, concurrency); err != nil {
				b.stop()
				return err
			}
		}
		b.stop()
	}
	for _, size := range runnerSizes {
		b, err := startBench(ctx, size)
		if err != nil {
			return err
		}
		r.cost("chat.runners", ofRunners, float64(size), 50, func() { _, err = b.load(ctx, kinds[0].path, chatBody, 4, 4) })
		b.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// requestsPerPoint is enough for the memory of a claim to stand out.
const requestsPerPoint = 2000

func (b *bench) measure(ctx context.Context, r *Report, name, stream, path, body string, concurrency int) error {
	if _, err := b.load(ctx, path, body, 200, concurrency); err != nil {
		return err
	}
	<-kcclock.System{}.After(settleMs)
	size := float64(concurrency)
	n := requestsPerPoint
	if concurrency == 1 {
		n /= 4 // one at a time takes long
	}
	before, live, start := b.log.traffic(stream), liveBytes(), processorMicros()
	var memBefore, memAfter runtime.MemStats
	runtime.ReadMemStats(&memBefore)
	times, err := b.load(ctx, path, body, n, concurrency)
	if err != nil {
		return err
	}
	runtime.ReadMemStats(&memAfter)
	count := float64(n)
	r.add(name+".cpu", ofConcurrency, Micros, one(size, (processorMicros()-start)/count))
	<-kcclock.System{}.After(settleMs)
	after := b.log.traffic(stream)
	r.add(name+".allocs", ofConcurrency, Allocs, one(size, float64(memAfter.Mallocs-memBefore.Mallocs)/count))
	r.add(name+".latency", ofConcurrency, "ms", Point{
		Size: size, Value: times[n/2], Min: times[n/20], Max: times[n*19/20],
	})
	r.add(name+".memory", ofConcurrency, Bytes, one(size, max(0, liveBytes()-live)/count))
	records, appends := float64(after.records-before.records), float64(max(after.appends-before.appends, 1))
	r.add(name+".log.records", ofConcurrency, Count, one(size, records/count))
	r.add(name+".log.bytes", ofConcurrency, Bytes, one(size, float64(after.bytes-before.bytes)/max(records, 1)))
	r.add(name+".log.batch", ofConcurrency, Count, one(size, records/appends))
	r.add(name+".log.reads", ofConcurrency, Count, one(size, float64(after.reads-before.reads)/count))
	r.add(name+".log.readBytes", ofConcurrency, Bytes, one(size, float64(after.readBytes-before.readBytes)/count))
	return nil
}
