// Package kcedge assembles and runs an instance on the users' platform.
package kcedge

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kcgate"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

// Options configures an instance.
type Options struct {
	Deployment kctable.Deployment
	// SettingsPath is read again at a reload.
	SettingsPath string
	// MetricsPort is the port of the metrics on the address of the instance;
	// 0 serves none.
	MetricsPort int
	Log         *slog.Logger
	// Listening, if set, is told the addresses, which differ from those of the
	// deployment if that states port 0.
	Listening func(callers, ready string)
	// Reload gets a value when the settings should be read again.
	Reload <-chan struct{}
}

const (
	// dialMs is ten times the longest round trip between regions.
	dialMs = 500 * kcclock.Millisecond
	// unackedMs is how long a connection may be silent unseen: less than the
	// time after which an instance counts as in touch again.
	unackedMs = 2500 * kcclock.Millisecond
	// upstreamIdleMs is below the usual idle timeout of servers.
	upstreamIdleMs = 4000 * kcclock.Millisecond
	// maxIdle is the number of idle connections per upstream.
	maxIdle = 16
	// configWaitMs is how long a read of the configuration waits. With the call
	// of a slow store it is below the age at which others stop to believe the
	// one that reads, 2 s in the known deployments.
	configWaitMs = 1300 * kcclock.Millisecond
	// upstreamWaitMs is how long a read of the list of upstreams waits. A
	// connection that went silent is then noticed within 3.2 s, before the
	// instance counts as in touch again.
	upstreamWaitMs = 2000 * kcclock.Millisecond
	// upstreamPauseMs is the pause between reads of the list that find records,
	// so that many changes at once are read together. It is well below the
	// 2.5 s after which a leaving upstream must get no request.
	upstreamPauseMs = 400 * kcclock.Millisecond
	// progressWaitMs is how long a read of the state of orders waits.
	progressWaitMs = 2500 * kcclock.Millisecond
	// progressPauseMs lets the entries of many instances that start be read
	// together.
	progressPauseMs = 150 * kcclock.Millisecond
	// callMs bounds a call of the store: it takes 4 ms, and 350 ms on the
	// slowest days that were announced.
	callMs = 1200 * kcclock.Millisecond
	// readSlackMs bounds a read of the store beyond its wait. The reader of an
	// availability zone has then asked again before the others stop to believe
	// it.
	readSlackMs = 500 * kcclock.Millisecond
	// newestMs bounds the read of all keys of a topic: 6 MB on the slowest link
	// of the known deployments, 10 Mbit/s. A call that stands still ends sooner.
	newestMs = 5000 * kcclock.Millisecond
	// directMs is how long the store is read directly after that.
	directMs = 1500 * kcclock.Millisecond
	// sweepMs is the time between sweeps of idle connections.
	sweepMs = 500 * kcclock.Millisecond
	// memoryPart is the part of the memory limit at which the garbage
	// collector works harder.
	memoryPart = 0.6
	// headBytes bounds the headers of requests, whatever the configuration
	// permits: four times the usual limit of HTTP servers.
	headBytes = 64 << 10
	// callerHeadMs bounds the time in which a caller sends its headers. It is
	// three times the limit of the known deployments.
	callerHeadMs = 10 * kcclock.Second
	// callerIdleMs ends connections that the sweep has missed. The limit that
	// counts is the one of the configuration.
	callerIdleMs = 3600 * kcclock.Second
	// insideHeadMs bounds the time in which other instances and programs that
	// check this one send their headers: they are near.
	insideHeadMs = 5 * kcclock.Second
)

// Edge is an instance.
type Edge struct {
	Options
	metrics   *kcmetric.Registry
	store     *kcplatform.Store
	pool      *kcconn.Pool
	storePool *kcconn.Pool
	gate      *kcgate.Gateway
	conns     *callerConns
	config    *kcfeed.Follower
	upstreams *kcfeed.Follower
	progress  *kcfeed.Follower
	peers     *peers
	orders    *orderKeeper
}

// New returns an instance that does nothing yet.
func New(opts Options) *Edge {
	e := &Edge{Options: opts, metrics: kcmetric.New(), conns: newCallerConns(kcclock.Boot{})}
	clock := kcclock.Boot{}
	e.pool = kcconn.NewPool(kcconn.Options{
		Clock: clock, DialMs: dialMs, UnackedMs: unackedMs, IdleMs: upstreamIdleMs, MaxIdle: maxIdle,
		IDHeader: kcplatform.HeaderRequestID, OnDial: e.countDial,
	})
	e.storePool = kcconn.NewPool(kcconn.Options{
		Clock: clock, DialMs: dialMs, UnackedMs: unackedMs, IdleMs: upstreamIdleMs, MaxIdle: 4,
	})
	e.store = &kcplatform.Store{Pool: e.storePool, Addr: opts.Deployment.StoreAddr, Called: e.countCall}
	e.peers = newPeers(e)
	outage := &kcfeed.Outage{Clock: clock, First: e.peers.first}
	ages := newPeerAges(opts.Deployment.Bounds)
	follow := func(topic string, wait, pause, maxAge kcclock.Millis, apply func([]kcfeed.Record, bool, bool)) *kcfeed.Follower {
		reader := &kcfeed.PeerReader{
			Store: e.store, Pool: e.storePool, Clock: clock, Log: opts.Log, Peer: e.peers.reader, Lost: e.peers.lost,
			MaxAgeMs: maxAge, DirectMs: directMs,
		}
		return kcfeed.New(kcfeed.Options{
			Reader: reader, Clock: clock, Log: opts.Log, Topic: topic,
			WaitMs: wait, PauseMs: pause, ReadMs: readSlackMs, NewestMs: newestMs, Apply: apply,
			Outage: outage, Helped: func() bool { return reader.Helped(topic) },
		})
	}
	e.config = follow(kcplatform.TopicOperator, configWaitMs, 0, ages.config, e.applyOperator)
	e.upstreams = follow(kcplatform.TopicUpstreams, upstreamWaitMs, upstreamPauseMs, ages.upstreams, e.applyUpstreams)
	e.progress = follow(kcplatform.TopicProgress, progressWaitMs, progressPauseMs, ages.progress, e.applyProgress)
	e.gate = kcgate.New(kcgate.Options{
		Deployment: opts.Deployment, Codec: kcplatform.Codec{}, Pool: e.pool, Clock: clock, WallClock: kcclock.System{},
		Log: opts.Log, Metrics: e.metrics, ConfigAge: e.config.Age, RolloutStateAge: e.progress.Age,
	})
	e.orders = newOrderKeeper(e, clock)
	return e
}

func (e *Edge) countDial(_ string, err error) {
	if err != nil {
		e.metrics.Count("upstream.dialFailed")
		return
	}
	e.metrics.Count("upstream.dials")
}

func (e *Edge) countCall(name string, err error) {
	e.metrics.Count("store." + name)
	if err != nil {
		e.metrics.Count("store.failed." + name)
	}
	e.peers.storeCalled(err)
}

// task is a part of the instance that runs until its context ends.
type task struct {
	name string
	run  func(ctx context.Context)
}

// Run serves until ctx ends and the running requests are over.
func (e *Edge) Run(ctx context.Context) error {
	d := e.Deployment
	if d.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(d.MemoryMB<<20)))
	}
	front, err := net.Listen("tcp", d.CallerAddr) //nolint:noctx // lasts as long as the process
	if err != nil {
		return errs.New("listen for callers: %v", err)
	}
	ready, err := net.Listen("tcp", d.ReadyAddr) //nolint:noctx // lasts as long as the process
	if err != nil {
		return errs.New("listen for readiness checks: %v", err)
	}
	e.Log.Info("start", "instance", d.Instance, "zone", d.Zone, "callers", d.CallerAddr, "store", d.StoreAddr)
	if e.Listening != nil {
		e.Listening(front.Addr().String(), ready.Addr().String())
	}
	e.peers.listen()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan string)
	tasks := []task{
		{"config", e.config.Run},
		{"upstreams", e.upstreams.Run},
		{"progress", e.progress.Run},
		{"orders", e.orders.run},
		{"tell", e.peers.tell},
		{"hear", e.peers.hear},
		{"sweep", e.sweep},
		{"reload", e.reload},
	}
	for _, t := range tasks {
		go func() {
			t.run(background)
			ended <- t.name
		}()
	}
	servers := []*http.Server{e.serveCallers(front), e.serve("readiness", ready, http.HandlerFunc(e.answerReady))}
	if ln := e.peers.serving(); ln != nil {
		mux := http.NewServeMux()
		mux.Handle("GET "+kcfeed.FeedPath, &kcfeed.Relay{
			Clock: kcclock.Boot{}, Log: e.Log, Store: e.store,
			Followers: map[string]*kcfeed.Follower{
				kcplatform.TopicOperator: e.config, kcplatform.TopicUpstreams: e.upstreams, kcplatform.TopicProgress: e.progress,
			},
		})
		mux.HandleFunc("POST "+evidencePath, e.peers.take)
		servers = append(servers, e.serve("peers", ln, mux))
	}
	if m := e.serveMetrics(); m != nil {
		servers = append(servers, m)
	}
	<-ctx.Done()
	e.leave()
	e.peers.leave()
	stop()
	for range tasks {
		<-ended
	}
	for _, s := range servers {
		if err := s.Close(); err != nil {
			e.Log.Warn("listener not closed", "error", err)
		}
	}
	e.Log.Info("stop", "unfinished", e.gate.InFlight())
	return nil
}

// serve answers the requests of other programs than callers.
func (e *Edge) serve(what string, ln net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: insideHeadMs.Duration()}
	go e.listen(what, s, ln)
	return s
}

// listen serves until the server is closed. An instance goes on without the
// listeners that other programs use.
func (e *Edge) listen(what string, s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		e.Log.Error("listener ended", "listener", what, "error", err)
	}
}

func (e *Edge) serveCallers(ln net.Listener) *http.Server {
	s := &http.Server{
		Handler: e.gate, MaxHeaderBytes: headBytes, ConnState: e.conns.changed,
		ReadHeaderTimeout: callerHeadMs.Duration(), IdleTimeout: callerIdleMs.Duration(),
		ErrorLog: slog.NewLogLogger(e.Log.Handler(), slog.LevelWarn),
	}
	go e.listen("callers", s, ln)
	return s
}

// serveMetrics serves the metrics. An instance without them still serves.
func (e *Edge) serveMetrics() *http.Server {
	if e.MetricsPort == 0 {
		return nil
	}
	addr := net.JoinHostPort(e.Deployment.IP, itoa(e.MetricsPort))
	ln, err := net.Listen("tcp", addr) //nolint:noctx // lasts as long as the process
	if err != nil {
		e.Log.Error("metrics are not served", "address", addr, "error", err)
		return nil
	}
	e.metrics.RegisterProcess()
	return e.serve("metrics", ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := e.metrics.WriteTo(w); err != nil {
			e.Log.Warn("metrics not written", "error", err)
		}
	}))
}

func (e *Edge) answerReady(w http.ResponseWriter, _ *http.Request) {
	if reason, ok := e.gate.Ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// sweep closes idle connections and drops upstreams that did not come back.
func (e *Edge) sweep(ctx context.Context) {
	was := ""
	for kcclock.Wait(ctx, kcclock.Boot{}, sweepMs) == nil {
		e.gate.Upstreams.RemoveExpired()
		e.pool.Keep(e.gate.Upstreams.Addresses().Has)
		if t := e.gate.Table(); t != nil {
			e.conns.closeIdle(t.Limits.IdleMs)
		}
		if reason, ok := e.gate.Ready(); reason != was {
			was = reason
			age, known := e.config.Age(kcclock.Boot{}.Now())
			if !known {
				age = -1
			}
			e.Log.Info("readiness", "ready", ok, "reason", reason, "configAgeMs", age)
		}
	}
}

func (e *Edge) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Reload:
		}
		// Addresses and bounds are in use, so only their check is of use here.
		_, err := kcplatform.ReadSettings(e.SettingsPath)
		e.Log.Info("reload", "settings", e.SettingsPath, "error", err)
	}
}

// callerConns closes connections of callers that are idle for too long. The
// limit may change at any time, which the server of net/http does not allow.
type callerConns struct {
	clock kcclock.Clock
	mu    sync.Mutex
	idle  map[net.Conn]kcclock.Millis
}

func newCallerConns(clock kcclock.Clock) *callerConns {
	return &callerConns{clock: clock, idle: make(map[net.Conn]kcclock.Millis)}
}

func (c *callerConns) changed(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[nc] = c.clock.Now()
		return
	}
	if state == http.StateActive {
		// A request that crossed closeIdle was read and is served.
		_ = nc.SetReadDeadline(time.Time{})
	}
	delete(c.idle, nc)
}

// closeIdle ends the connections that are idle for longer than limit. Their
// server stops waiting for a request; a close would cut off one that was read
// already and is not known to be active yet.
func (c *callerConns) closeIdle(limit kcclock.Millis) {
	if limit <= 0 {
		return
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, since := range c.idle {
		if now-since > limit {
			_ = nc.SetReadDeadline(time.Unix(1, 0))
			delete(c.idle, nc)
		}
	}
}
