// Package kcedge wires the components of an instance together and runs it on
// the users' platform.
package kcedge

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcdetour"
	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kcgate"
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

// Options configures an instance.
type Options struct {
	Deployment kctable.Deployment
	// SettingsPath is the path of the settings file. It is read and checked again
	// at a reload.
	SettingsPath string
	// MetricsPort is the port on the IP address of the instance that serves the
	// metrics; 0 disables them.
	MetricsPort int
	Log         *slog.Logger
	// OnListening, if set, is called with the addresses that the listeners are
	// bound to. They differ from those of the deployment if that states port 0.
	OnListening func(callers, ready string)
	// DialUpstream, if set, opens the connections of this instance to upstreams. It
	// takes dialTimeoutMs at most.
	DialUpstream func(ctx context.Context, addr string) (net.Conn, error)
	// Reload receives a value when the settings file is to be read again.
	Reload <-chan struct{}
}

const (
	// dialTimeoutMs is ten times the longest round trip between regions.
	dialTimeoutMs = 500 * kcclock.Millisecond
	// unackedTimeoutMs is how long sent data may stay unacknowledged before the
	// connection counts as broken. It is shorter than the time after which an
	// instance counts as in touch with the store again. An idle connection breaks
	// 3 s after the last sign of life.
	unackedTimeoutMs = 2500 * kcclock.Millisecond
	// upstreamIdleTimeoutMs is below the usual idle timeout of servers.
	upstreamIdleTimeoutMs = 4000 * kcclock.Millisecond
	// maxIdlePerUpstream is the number of idle connections that are kept per
	// upstream.
	maxIdlePerUpstream = 16
	// configLongPollMs is how long a read of the configuration waits for new
	// records. Added to the duration of a slow store call, it stays below the age
	// at which other instances no longer accept data from the reading instance,
	// 2 s in the known deployments.
	configLongPollMs = 1300 * kcclock.Millisecond
	// upstreamsLongPollMs is how long a read of the list of upstreams waits for
	// new records. A connection that has gone silent is then detected within
	// 3.2 s, before the instance counts as in touch with the store again.
	upstreamsLongPollMs = 2000 * kcclock.Millisecond
	// upstreamsBatchDelayMs is the delay after a read of the list of upstreams
	// that returned records, so that a burst of changes is read in one batch. It
	// is well below the 2.5 s after which a draining upstream must get no
	// request.
	upstreamsBatchDelayMs = 400 * kcclock.Millisecond
	// progressLongPollMs is how long a read of the rollout states waits for new
	// records.
	progressLongPollMs = 2500 * kcclock.Millisecond
	// progressBatchDelayMs lets the entries of many instances that start at the
	// same time be read in one batch.
	progressBatchDelayMs = 150 * kcclock.Millisecond
	// storeCallTimeoutMs bounds a call of the store. A call takes 4 ms, and
	// 350 ms on the slowest days that were announced.
	storeCallTimeoutMs = 1200 * kcclock.Millisecond
	// longPollSlackMs bounds a read of the store beyond the time that it waits
	// for records. The instance that reads for an availability zone has then
	// asked again before the others no longer accept its data.
	longPollSlackMs = 500 * kcclock.Millisecond
	// snapshotTimeoutMs bounds the read of the newest record of every key of a
	// topic: 6 MB on the slowest link of the known deployments, 10 Mbit/s. A call
	// that makes no progress ends sooner.
	snapshotTimeoutMs = 5000 * kcclock.Millisecond
	// storeFallbackMs is how long an instance reads the store directly after no
	// peer could answer a read.
	storeFallbackMs = 1500 * kcclock.Millisecond
	// lapseHeartbeats is the shortest outage of the store, in heartbeats, in which
	// entries lapse. They do so after three, of which up to one is over when the
	// outage begins; the rest is for heartbeats that come early.
	lapseHeartbeats = 1.5
	// lapsedHeartbeats is the number of heartbeats after which the entry of an upstream
	// lapses, reregistrationMs the time in which those of live upstreams return.
	lapsedHeartbeats = 3
	reregistrationMs = 2000 * kcclock.Millisecond
	// sweepIntervalMs is the time between sweeps that close idle connections and
	// remove expired upstreams.
	sweepIntervalMs = 500 * kcclock.Millisecond
	// fileDescriptors is the part of the descriptors of a machine that the platform
	// reserves for files.
	fileDescriptors = 200
	// maxHeaderBytes bounds the headers of a request independently of the
	// configuration. It is four times the usual limit of HTTP servers.
	maxHeaderBytes = 64 << 10
	// callerHeaderTimeoutMs bounds the time in which a caller sends its headers.
	// It is three times the limit of the known deployments.
	callerHeaderTimeoutMs = 10 * kcclock.Second
	// callerIdleTimeoutMs closes idle connections that the sweep has missed. The
	// effective limit is that of the configuration.
	callerIdleTimeoutMs = 3600 * kcclock.Second
	// internalHeaderTimeoutMs bounds the time in which other instances, readiness
	// probes and metrics scrapers send their headers. They are nearby.
	internalHeaderTimeoutMs = 5 * kcclock.Second
)

// Edge is a running instance.
type Edge struct {
	Options
	metrics          *kcmetric.Registry
	store            *kcplatform.Store
	upstreamPool     *kcconn.Pool
	storePool        *kcconn.Pool
	gate             *kcgate.Gateway
	conns            *callerConns
	reach            *kcdetour.Reach
	detours          *kcdetour.Dialer
	relay            *kcdetour.Relay
	configFollower   *kcfeed.Follower
	upstreamFollower *kcfeed.Follower
	progressFollower *kcfeed.Follower
	outage           *kcfeed.OutageCoordinator
	peers            *peers
	rollouts         *rolloutController
	quarantine       *quarantineStore
	eras             eraLog
}

// New returns an instance that is not started yet.
func New(opts Options) *Edge {
	e := &Edge{Options: opts, metrics: kcmetric.New(), conns: newCallerConns(kcclock.Boot{})}
	clock := kcclock.Boot{}
	e.eras.clock = clock
	e.peers = newPeers(e)
	e.newDetours()
	e.upstreamPool = kcconn.NewPool(kcconn.Options{
		Clock: clock, DialTimeoutMs: dialTimeoutMs, UnackedTimeoutMs: unackedTimeoutMs,
		IdleTimeoutMs: upstreamIdleTimeoutMs, MaxIdlePerAddr: maxIdlePerUpstream,
		RequestIDHeader: kcplatform.HeaderRequestID, OnDial: e.countDial, Dial: e.detours.Dial,
		OnUnframedEnd: e.countUnframedEnd, ServerIDHeader: kcplatform.HeaderUpstreamID,
	})
	e.storePool = kcconn.NewPool(kcconn.Options{
		Clock: clock, DialTimeoutMs: dialTimeoutMs, UnackedTimeoutMs: unackedTimeoutMs,
		IdleTimeoutMs: upstreamIdleTimeoutMs, MaxIdlePerAddr: 4,
	})
	e.store = &kcplatform.Store{
		Pool: e.storePool, Addr: opts.Deployment.StoreAddr, OnCall: e.countStoreCall,
		OnEraChange: e.recordEraChange, OnNoEra: func() { e.metrics.Count("store.noEra") },
	}
	e.quarantine = newQuarantineStore(e)
	e.outage = &kcfeed.OutageCoordinator{
		Clock: clock, ProbesFirst: e.peers.probesFirst,
		LapseAfterMs: kcclock.Millis(lapseHeartbeats * float64(opts.Deployment.Bounds.HeartbeatMs)),
	}
	maxAges := newPeerMaxAges(opts.Deployment.Bounds)
	follow := func(
		topic string, longPoll, batchDelay, maxAge kcclock.Millis, apply func(kcfeed.Update),
	) *kcfeed.Follower {
		reader := &kcfeed.PeerReader{
			Store: e.store, Pool: e.storePool, Clock: clock, Log: opts.Log, PeerAddr: e.peers.readerAddr, OnPeerLost: e.peers.peerLost,
			MaxAgeMs: maxAge, StoreFallbackMs: storeFallbackMs, PeerID: e.peers.idAt,
		}
		return kcfeed.New(kcfeed.Options{
			Reader: reader, Clock: clock, Log: opts.Log, Topic: topic,
			LongPollMs: longPoll, BatchDelayMs: batchDelay, ReadSlackMs: longPollSlackMs,
			SnapshotTimeoutMs: snapshotTimeoutMs, Apply: apply, Outage: e.outage,
			RereadAfterMs: rereadAfter(topic, opts.Deployment.Bounds),
			PeerAvailable: func() bool { return reader.PeerAvailable(topic) },
		})
	}
	e.configFollower = follow(kcplatform.TopicOperator, configLongPollMs, 0, maxAges.config, e.applyOperatorRecords)
	e.upstreamFollower = follow(kcplatform.TopicUpstreams, upstreamsLongPollMs, upstreamsBatchDelayMs, maxAges.upstreams,
		e.applyUpstreamRecords)
	e.progressFollower = follow(kcplatform.TopicStatus, progressLongPollMs, progressBatchDelayMs, maxAges.progress,
		e.applyProgressRecords)
	e.gate = kcgate.New(kcgate.Options{
		Deployment: opts.Deployment, Codec: kcplatform.Codec{}, Pool: e.upstreamPool, Clock: clock, WallClock: kcclock.System{},
		Log: opts.Log, Metrics: e.metrics, ConfigAge: e.configFollower.Age, RolloutStateAge: e.progressFollower.Age,
		OnPartBlocked: e.quarantine.blocked, OnPartCleared: e.quarantine.cleared, OnTrial: e.peers.wake,
		InstanceCount: e.peers.instanceCount,
	})
	e.metrics.RegisterGauge("upstreams.cold", e.gate.Upstreams.ColdUpstreams)
	e.metrics.RegisterGauge("relay.open", e.relay.Open)
	e.metrics.RegisterGauge("upstreams.unreached", e.reach.Unreached)
	e.metrics.RegisterGauge("upstreams.outOfReachMs", func() int64 { return int64(e.reach.LostMs()) })
	e.rollouts = newRolloutController(e, clock)
	return e
}

// rereadAfter returns the time after which the newest records of a restored store hold
// what its writers know. Entries of upstreams that are gone lapse after three heartbeats.
func rereadAfter(topic string, b kctable.Bounds) kcclock.Millis {
	switch topic {
	case kcplatform.TopicOperator:
		return kcfeed.MinRereadAfterMs
	case kcplatform.TopicUpstreams:
		return lapsedHeartbeats*b.HeartbeatMs + reregistrationMs
	}
	return 0
}

func (e *Edge) countDial(_ string, err error) {
	if err != nil {
		e.metrics.Count("upstream.dialFailed")
		return
	}
	e.metrics.Count("upstream.dials")
}

// countUnframedEnd counts the end of a response without framing.
func (e *Edge) countUnframedEnd(via string, upstream kcconn.Liveness) {
	name := "upstream.unframedEnd."
	if via != "" {
		name = "upstream.unframedEnd.detoured."
	}
	e.metrics.Count(name + string(upstream))
}

func (e *Edge) countStoreCall(name string, err error) {
	e.metrics.Count("store." + name)
	if err != nil {
		e.metrics.Count("store.failed." + name)
	}
	e.peers.recordStoreCall(err)
}

// backgroundTask is a loop of the instance that runs until its context ends.
type backgroundTask struct {
	name string
	run  func(ctx context.Context)
}

// Run serves requests until ctx ends, then shuts the instance down.
func (e *Edge) Run(ctx context.Context) error {
	d := e.Deployment
	limits := kcledger.NewLimits(int64(d.MemoryMB)<<20, d.MaxDescriptors, fileDescriptors)
	limits.Apply()
	callerListener, err := net.Listen("tcp", d.CallerAddr) //nolint:noctx // lasts as long as the process
	if err != nil {
		return errs.New("cannot listen for callers: %v", err)
	}
	readinessListener, err := net.Listen("tcp", d.ReadyAddr) //nolint:noctx // lasts as long as the process
	if err != nil {
		return errs.New("cannot listen for readiness checks: %v", err)
	}
	e.Log.Info("start", "instance", d.Instance, "zone", d.Zone, "callers", d.CallerAddr, "store", d.StoreAddr)
	if e.OnListening != nil {
		e.OnListening(callerListener.Addr().String(), readinessListener.Addr().String())
	}
	e.peers.listen()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan string)
	tasks := []backgroundTask{
		{"config", e.configFollower.Run},
		{"upstreams", e.upstreamFollower.Run},
		{"progress", e.progressFollower.Run},
		{"orders", e.rollouts.run},
		{"quarantine", e.quarantine.run},
		{"tell", e.peers.sendReports},
		{"hear", e.peers.receive},
		{"sweep", e.sweepIdle},
		{"reload", e.checkSettingsOnReload},
	}
	for _, t := range tasks {
		go func() {
			t.run(background)
			ended <- t.name
		}()
	}
	servers := []*http.Server{
		e.serveCallers(callerListener, limits), e.serveInternal("readiness", readinessListener, http.HandlerFunc(e.serveReadiness)),
	}
	if ln := e.peers.tcpListener(); ln != nil {
		mux := http.NewServeMux()
		mux.Handle("GET "+kcfeed.FeedPath, &kcfeed.Relay{
			Clock: kcclock.Boot{}, Log: e.Log, Store: e.store,
			InstanceID: e.peers.ownID.String(), OnForeign: e.peers.recordForeign, Outage: e.outage,
			Followers: map[string]*kcfeed.Follower{
				kcplatform.TopicOperator: e.configFollower, kcplatform.TopicUpstreams: e.upstreamFollower,
				kcplatform.TopicStatus: e.progressFollower,
			},
		})
		mux.HandleFunc("POST "+evidencePath, e.peers.serveEvidence)
		mux.Handle("GET "+kcdetour.TunnelPath, e.relay)
		servers = append(servers, e.serveInternal("peers", ln, mux))
	}
	if m := e.serveMetrics(); m != nil {
		servers = append(servers, m)
	}
	<-ctx.Done()
	e.shutDown()
	e.peers.unregister()
	stop()
	for range tasks {
		<-ended
	}
	e.closeServers(servers)
	e.Log.Info("stop", "unfinished", e.gate.InFlight())
	return nil
}

// serveInternal serves the requests of other instances, readiness probes and
// metrics scrapers.
func (e *Edge) serveInternal(what string, ln net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: internalHeaderTimeoutMs.Duration()}
	go e.serveListener(what, s, ln)
	return s
}

// serveListener serves until the server is closed. An instance continues
// without a listener that fails.
func (e *Edge) serveListener(what string, s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		e.Log.Error("listener failed", "listener", what, "error", err)
	}
}

func (e *Edge) serveCallers(ln net.Listener, limits kcledger.Limits) *http.Server {
	s := &http.Server{
		Handler: kcledger.ResetIncomplete(e.gate), MaxHeaderBytes: maxHeaderBytes, ConnState: e.conns.stateChanged,
		ReadHeaderTimeout: callerHeaderTimeoutMs.Duration(), IdleTimeout: callerIdleTimeoutMs.Duration(),
		ErrorLog: slog.NewLogLogger(e.Log.Handler(), slog.LevelWarn),
	}
	ledger := kcledger.New(kcledger.Options{
		Limits: limits, Clock: kcclock.Boot{}, Log: e.Log, Count: e.metrics.Count, Gauge: e.metrics.RegisterGauge,
	})
	ledger.Attach(s)
	go e.serveListener("callers", s, ledger.Listener(ln))
	return s
}

// serveMetrics serves the metrics. If the port is not available, the instance
// runs without them.
func (e *Edge) serveMetrics() *http.Server {
	if e.MetricsPort == 0 {
		return nil
	}
	addr := net.JoinHostPort(e.Deployment.IP, itoa(e.MetricsPort))
	ln, err := net.Listen("tcp", addr) //nolint:noctx // lasts as long as the process
	if err != nil {
		e.Log.Error("metrics port is not available; running without metrics", "address", addr, "error", err)
		return nil
	}
	e.metrics.RegisterProcessMetrics()
	return e.serveInternal("metrics", ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := e.metrics.WriteTo(w); err != nil {
			e.Log.Warn("cannot write metrics", "error", err)
		}
	}))
}

func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if reason, ok := e.gate.Ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// sweepIdle closes idle connections, removes upstreams that did not come back,
// and logs changes of the era and of the readiness.
func (e *Edge) sweepIdle(ctx context.Context) {
	lastReason := ""
	for kcclock.Wait(ctx, kcclock.Boot{}, sweepIntervalMs) == nil {
		e.logEraChanges()
		e.gate.Upstreams.RemoveExpired()
		known := e.gate.Upstreams.Addresses()
		e.upstreamPool.Prune(known.Has)
		e.detours.Prune(known.Has)
		if t := e.gate.Table(); t != nil {
			e.conns.closeIdle(t.Limits.IdleTimeoutMs)
		}
		if reason, ok := e.gate.Ready(); reason != lastReason {
			lastReason = reason
			age, known := e.configFollower.Age(kcclock.Boot{}.Now())
			if !known {
				age = -1
			}
			e.Log.Info("readiness", "ready", ok, "reason", reason, "configAgeMs", age)
		}
	}
}

func (e *Edge) checkSettingsOnReload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Reload:
		}
		// Addresses and bounds are in use and are not replaced, so the file is only
		// checked.
		_, err := kcplatform.ReadSettings(e.SettingsPath)
		e.Log.Info("reload", "settings", e.SettingsPath, "error", err)
	}
}

// callerConns closes connections of callers that are idle for too long. The
// limit may change at any time, which the idle timeout of net/http does not
// support.
type callerConns struct {
	clock     kcclock.Clock
	mu        sync.Mutex
	idleSince map[net.Conn]kcclock.Millis
}

func newCallerConns(clock kcclock.Clock) *callerConns {
	return &callerConns{clock: clock, idleSince: make(map[net.Conn]kcclock.Millis)}
}

func (c *callerConns) stateChanged(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[nc] = c.clock.Now()
		return
	}
	if state == http.StateActive {
		// The request arrived while closeIdle ended the wait for it. It was read,
		// so it is served.
		_ = nc.SetReadDeadline(time.Time{})
	}
	delete(c.idleSince, nc)
}

// closeIdle ends the connections that are idle for longer than limit. It sets a
// read deadline in the past, so that the server stops waiting for a request.
// Closing the connection would cut off a request that was read already but is
// not yet reported as active.
func (c *callerConns) closeIdle(limit kcclock.Millis) {
	if limit <= 0 {
		return
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, since := range c.idleSince {
		if now-since > limit {
			_ = nc.SetReadDeadline(time.Unix(1, 0))
			delete(c.idleSince, nc)
		}
	}
}
