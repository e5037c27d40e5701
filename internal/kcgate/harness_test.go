package kcgate_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcgate"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

// engine is an upstream whose responses a test writes byte by byte.
type engine struct {
	ln net.Listener
	// answer writes the response to request n, counted from 0. The connection is
	// closed if it returns false.
	answer func(n int, req *http.Request, body string, w net.Conn) bool
	// onRequest, if set, is called at each request before its answer.
	onRequest func()

	mu       sync.Mutex
	received []*http.Request
	// closed gets a value when a connection ends that carried a request.
	closed chan struct{}
}

func newEngine(t *testing.T, answer func(n int, req *http.Request, body string, w net.Conn) bool) *engine {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &engine{ln: ln, answer: answer, closed: make(chan struct{}, 64)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close(); e.closed <- struct{}{} }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		n := len(e.received)
		e.received = append(e.received, req)
		e.mu.Unlock()
		if e.onRequest != nil {
			e.onRequest()
		}
		if !e.answer(n, req, string(body), c) {
			return
		}
	}
}

func (e *engine) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.received...)
}

// reply writes a complete response with the id of its request.
func reply(w io.Writer, req *http.Request, status, header, body string) bool {
	_, err := io.WriteString(w, "HTTP/1.1 "+status+"\r\nRequest-Id: "+req.Header.Get("Request-Id")+"\r\nStamp: s\r\n"+
		header+"Content-Length: "+itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

// stream writes the headers of a stream and its events as chunks.
func stream(w io.Writer, req *http.Request, header string, events ...string) bool {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: " + req.Header.Get("Request-Id") +
		"\r\nStamp: s\r\nContent-Type: text/event-stream\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n")
	for _, e := range events {
		b.WriteString(chunk(e))
	}
	_, err := w.Write(b.Bytes())
	return err == nil
}

func chunk(s string) string { return strings.ToLower(hex(len(s))) + "\r\n" + s + "\r\n" }

func event(id int) string { return "id: " + itoa(id) + "\ndata: e" + itoa(id) + "\n\n" }

const lastChunk = "0\r\n\r\n"

func itoa(n int) string { return formatInt(n, 10) }

func hex(n int) string { return formatInt(n, 16) }

// fixture is a gateway in front of engines. Its configuration is fresh unless age
// says otherwise.
type fixture struct {
	gate *kcgate.Gateway
	url  string
	host string
	logs *lockedBuffer
	// clock stands still unless a test advances it.
	clock *kcclock.Manual
	mu    sync.Mutex
	age   kcclock.Millis
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (f *fixture) setAge(d kcclock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.age = d
}

func (f *fixture) configAge(kcclock.Millis) (kcclock.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age, true
}

// newFixture serves a table with the given routes. Every service has one upstream
// per engine, named e0, e1, ...
func newFixture(t *testing.T, routes []kctable.Route, engines ...*engine) *fixture {
	t.Helper()
	return newFixtureWithDialer(t, nil, routes, engines...)
}

// newFixtureWithDialer returns a fixture that opens connections to engines with dial.
func newFixtureWithDialer(
	t *testing.T, dial func(context.Context, string) (net.Conn, error), routes []kctable.Route, engines ...*engine,
) *fixture {
	t.Helper()
	f := &fixture{logs: &lockedBuffer{}, clock: kcclock.NewManual(1_000_000)}
	d := kctable.Deployment{
		Instance: "i", Zone: "z", Regions: map[string]string{"z": "r"},
		Bounds: kctable.Bounds{
			StrictRevoke: true, KeyRevokeMs: 5000, RetryRatio: 0.9, SessionIdleMs: 5000, MaxExposureShare: 0.15, GraceMs: 8000,
			ColdOverage: 1.5, ColdSlack: 5,
		},
	}
	pool := kcconn.NewPool(kcconn.Options{
		Clock: f.clock, DialTimeoutMs: 1000, UnackedTimeoutMs: 3000, IdleTimeoutMs: 4000, MaxIdlePerAddr: 4,
		RequestIDHeader: kcplatform.HeaderRequestID, ServerIDHeader: kcplatform.HeaderUpstreamID, Dial: dial,
	})
	t.Cleanup(pool.Close)
	f.gate = kcgate.New(kcgate.Options{
		Deployment: d, Codec: kcplatform.Codec{}, Pool: pool, Clock: f.clock, WallClock: f.clock,
		Log: slog.New(slog.NewTextHandler(f.logs, nil)), Metrics: kcmetric.New(),
		ConfigAge: f.configAge, RolloutStateAge: f.configAge,
	})
	table := &kctable.Table{
		Version: 1, Routes: map[string][]*kctable.Route{}, KeysRequired: true,
		Workspaces: map[string]kctable.Workspace{"key": {Name: "acme"}},
		Limits:     kctable.Limits{MaxBodyBytes: 1 << 20},
	}
	for i := range routes {
		table.AddRoute(&routes[i])
	}
	f.gate.SetTable(table)
	var addrs []string
	for _, e := range engines {
		addrs = append(addrs, e.ln.Addr().String())
	}
	f.listUpstreams(addrs...)
	f.gate.Rollouts.MarkStatesLoaded()
	f.gate.Quarantine.MarkSynced()
	f.host = "h.example"
	f.serve(t, f.gate)
	return f
}

// listUpstreams lists an upstream of the service for each address. They are named e0, e1, ...
func (f *fixture) listUpstreams(addrs ...string) {
	var ups []kctable.Upstream
	for i, addr := range addrs {
		ups = append(ups, kctable.Upstream{
			ID: "e" + itoa(i), Service: "svc", Address: addr, Zone: "z", Version: "v1", Slots: 4, StartedAtMs: int64(i + 1),
		})
	}
	f.gate.Upstreams.Replace(ups, 0)
}

// serve directs the requests of the fixture to a gateway.
func (f *fixture) serve(t *testing.T, gate *kcgate.Gateway) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: gate, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	served := make(chan struct{})
	go func() { defer close(served); _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close(); <-served })
	f.url = "http://" + ln.Addr().String()
}

// route returns a route below /name/ to the service.
func route(name string, effect kctable.RequestType) kctable.Route {
	return kctable.Route{
		Name: name, Host: "h.example", Prefix: "/" + name + "/", Type: effect, MaxAttempts: 3,
		Split: []kctable.WeightedService{{Service: "svc", Weight: 1}}, TimeoutMs: 10_000, LatencyObjectiveMs: 4000, MaxEventGapMs: 1000,
		Resumable: effect == kctable.Streaming,
	}
}

// request sends a request and returns the complete response. The error is that of
// sending the request or of reading the body.
func (f *fixture) request(t *testing.T, path string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.url+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = f.host
	req.Header.Set("Request-Id", "q1")
	req.Header.Set("Api-Key", "key")
	req.Header.Set("Deadline-Ms", "9000")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: tr, Timeout: 20 * time.Second}).Do(req)
	if err != nil {
		return nil, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp, string(raw), err
}
