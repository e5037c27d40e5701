// Package kcinstance builds an entry instance from its settings, runs it and
// shuts it down gracefully.
package kcinstance

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/internal/kcentry"
	"github.com/kingcuprail/kingcuprail/internal/kcjob"
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// keyReloadIntervalMs is the interval between reloads of the session keys.
const keyReloadIntervalMs = 5 * kcclock.Second

// Options configures an Instance. The fields differ between the server, the
// demo and tests.
type Options struct {
	Settings  kcsettings.Settings
	Clock     kcclock.Clock
	Log       *slog.Logger
	RecordLog kclog.Log
	Lister    kcmember.Lister
	// RatingClient calls the rating service; nil means a client without TLS.
	RatingClient *http.Client
	// RegisterAdmin adds endpoints to the admin listener; nil adds none.
	RegisterAdmin func(*http.ServeMux)
	// AllowUnreplicatedBills lets the instance accept work while neither the
	// log nor a peer can store its bill; see kcbill.LedgerOptions.
	AllowUnreplicatedBills bool
	// PeerHandlers handle the RPCs of other instances.
	PeerHandlers kcpeer.Handlers
	// ReloadSessionKeys reads the session keys again; nil keeps those of
	// Settings.
	ReloadSessionKeys func() ([]kcsession.Key, error)
	// Metrics collects the metrics of the instance; nil makes a new registry.
	Metrics *kcmetric.Registry
	// ForceStop ends a graceful stop at once when it is closed; nil never does.
	ForceStop <-chan struct{}
}

// Instance is a running entry instance.
type Instance struct {
	opts  Options
	entry *kcentry.Server
	// memory bounds what callers make the process hold.
	memory         *kcledger.Ledger
	directory      *kcmember.Directory
	ledger         *kcbill.Ledger
	billHolder     *kcbill.Holder
	jobQueue       *kcjob.Queue
	claimer        *kcclaim.Claimer
	upstreamClient *kcupstream.Client
	signer         *kcsession.Signer
	callerServer   *http.Server
	adminServer    *http.Server
	node           *kcpeer.Node
	quarantine     *quarantineSync
	configReader   *kcconfig.Reader
	routingSync    *routingSync
	// peerTraffic counts the bytes sent and received by the peer listener.
	peerTraffic kcmetric.Traffic
	peerServer  *http.Server // nil if the settings name no address for peers
	// CallerAddr, AdminAddr and PeerAddr are the addresses that the instance
	// listens on; PeerAddr is "" if it does not listen for peers.
	CallerAddr string
	AdminAddr  string
	PeerAddr   string
}

// fileDescriptors are reserved for files and for the admin address.
const fileDescriptors = 64

// New builds an instance. It does not listen yet.
func New(opts Options) (*Instance, error) {
	set := opts.Settings
	signer, err := kcsession.NewSigner(set.SessionKeys)
	if err != nil {
		return nil, err
	}
	upstreamTLS, err := set.TLS.Upstreams.ClientConfig()
	if err != nil {
		return nil, err
	}
	peerTLS, err := set.TLS.Peer.ClientConfig()
	if err != nil {
		return nil, err
	}
	if opts.RatingClient == nil {
		opts.RatingClient = &http.Client{Transport: kcresponse.NewTransport(&http.Transport{})}
	}
	metrics := opts.Metrics
	if metrics == nil {
		metrics = kcmetric.New()
	}
	metrics.RegisterProcessMetrics()
	i := &Instance{opts: opts, signer: signer, peerTraffic: metrics.Traffic("peer")}
	i.upstreamClient = kcupstream.NewClient(kcupstream.Options{
		Clock: opts.Clock, IdleTimeoutMs: set.Timing.StreamIdleTimeoutMs, MaxResponseBytes: set.Limits.WithDefaults().MaxResponseBytes,
		TLS: upstreamTLS, OnRetry: metrics.CountRetry,
		OnResult: func(t kcupstream.Target, header http.Header, err error) {
			i.directory.Observe(t.ID, t.Addr, kcmember.ClassifyResult(header, err))
			i.entry.ObserveLoad(t.ID, header)
		},
	})
	limits := kcledger.NewLimits(set.Limits.MemoryMB<<20, set.Limits.MaxDescriptors, fileDescriptors)
	limits.Apply()
	i.memory = kcledger.New(kcledger.Options{
		Limits: limits, Clock: kcclock.Boot{}, Log: opts.Log, Count: metrics.Count, Gauge: metrics.RegisterGauge,
	})
	i.directory = kcmember.NewDirectory(kcmember.DirectoryOptions{
		Lister: opts.Lister, Clock: opts.Clock, PollMs: set.Timing.ListPollIntervalMs,
	})
	i.billHolder = i.newHolder()
	i.configReader = i.newConfig(metrics)
	i.routingSync = i.newRoutingSync()
	i.claimer = i.newClaimer(metrics)
	i.quarantine = newQuarantineSync(opts.Clock, set.Instance.ID, opts.Log)
	i.node = kcpeer.NewNode(kcpeer.Options{
		Self: kcmember.Member{
			ID: set.Instance.ID, Role: kcmember.RoleEntry, Addr: set.Instance.Peer,
			Zone: set.Instance.Zone, Region: set.Instance.Region,
		},
		Clock: opts.Clock, Members: i.directory.EntryInstances, Metrics: metrics,
		Seed: xxhash.Sum64String(set.Instance.ID), PeriodMs: kcclock.Second, TimeoutMs: kcclock.Second,
		Handlers: withDigestParts(
			withBillHandler(withClaimHandler(withConfigHandler(opts.PeerHandlers, i.configReader), i.claimer), i.billHolder),
			i.routingSync, i.quarantine), TLS: peerTLS, Deployment: set.Platform.DeploymentID(), Log: opts.Log,
	})
	if set.Instance.Peer != "" {
		i.claimer.SetPeers(i.node)
	}
	i.ledger = i.newLedger()
	metrics.RegisterGauge("bills.pending", func() int64 { return int64(i.ledger.Pending()) })
	metrics.RegisterGauge("bills.held", func() int64 { return int64(i.billHolder.CopyCount()) })
	i.jobQueue = i.newJobs()
	i.entry = kcentry.NewServer(kcentry.Options{
		Instance: set.Instance.ID, Zone: set.Instance.Zone, Region: set.Instance.Region, Clock: opts.Clock, Log: opts.Log,
		RoutingState: i.routingSync.RoutingState, Metrics: metrics, Rules: i.configReader, RulesFresh: i.configReader.Fresh,
		Directory:      i.directory,
		UpstreamClient: i.upstreamClient,
		Claimer:        i.claimer,
		Ledger:         i.ledger, JobQueue: i.jobQueue, Sessions: signer, Limits: set.Limits, Quarantine: i.quarantine.Tracker,
	})
	i.jobQueue.SetExecutor(i.entry)
	return i, nil
}

// Node returns the client and server of the peer protocol.
func (i *Instance) Node() *kcpeer.Node { return i.node }

// Run serves until ctx ends and then stops gracefully. It calls ready once the
// instance listens and its configuration is current. It returns an error if it
// could not listen or if requests were interrupted at the shutdown timeout.
func (i *Instance) Run(ctx context.Context, ready func(*Instance)) error {
	backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := i.directory.Refresh(ctx); err != nil {
		i.opts.Log.Warn("listNotRead", "error", err)
	}
	serveErrors := make(chan error, 3)
	if err := i.startListeners(backgroundCtx, serveErrors); err != nil {
		return err
	}
	configCurrent := i.awaitConfig(backgroundCtx)
	done := []<-chan struct{}{
		i.directory.Run(backgroundCtx), i.ledger.Run(backgroundCtx), i.billHolder.Run(backgroundCtx), i.jobQueue.Run(backgroundCtx),
		i.node.Run(backgroundCtx), i.configReader.Run(backgroundCtx), i.runKeyReload(backgroundCtx),
		i.claimer.Run(backgroundCtx), i.routingSync.Run(backgroundCtx), configCurrent,
	}
	var err error
	select {
	case <-configCurrent:
		i.entry.SetReady(true)
		i.opts.Log.Info("ready", "listen", i.CallerAddr, "admin", i.AdminAddr, "peer", i.PeerAddr)
		ready(i)
	case <-ctx.Done():
	case err = <-serveErrors:
		_ = i.closeListeners()
	}
	if err == nil {
		err = i.awaitStop(ctx, serveErrors)
	}
	cancel()
	for _, d := range done {
		<-d
	}
	i.opts.RatingClient.CloseIdleConnections()
	return err
}

func (i *Instance) awaitStop(ctx context.Context, serveErrors <-chan error) error {
	select {
	case <-ctx.Done():
		return i.gracefulStop(context.WithoutCancel(ctx))
	case err := <-serveErrors:
		_ = i.closeListeners()
		return err
	}
}

func (i *Instance) startListeners(ctx context.Context, serveErrors chan<- error) error {
	adminMux := i.entry.AdminMux()
	adminMux.HandleFunc("GET /status", i.serveStatus)
	if i.opts.RegisterAdmin != nil {
		i.opts.RegisterAdmin(adminMux)
	}
	set := i.opts.Settings
	caller := listener{
		name: "caller", addr: set.Instance.Listen, handler: i.entry.Handler(), tlsFiles: set.TLS.Caller,
		limits: set.Limits, log: i.opts.Log, ledger: i.memory,
	}
	var err error
	if i.callerServer, i.CallerAddr, err = caller.listenAndServe(ctx, serveErrors); err != nil {
		return err
	}
	admin := listener{
		name: "admin", addr: set.Instance.Admin, handler: kcentry.JSONErrors(adminMux), tlsFiles: set.TLS.Admin,
		limits: set.Limits, boundWholeRequest: true, log: i.opts.Log,
	}
	if i.adminServer, i.AdminAddr, err = admin.listenAndServe(ctx, serveErrors); err != nil {
		return errors.Join(err, i.closeListeners())
	}
	if set.Instance.Peer == "" {
		return nil
	}
	peer := listener{
		name: "peer", addr: set.Instance.Peer, handler: i.node.Handler(), tlsFiles: set.TLS.Peer,
		limits: set.Limits, boundWholeRequest: true, log: i.opts.Log, countBytes: i.peerTraffic.WrapListener,
	}
	if i.peerServer, i.PeerAddr, err = peer.listenAndServe(ctx, serveErrors); err != nil {
		return errors.Join(err, i.closeListeners())
	}
	return nil
}

// closeListeners closes every listener and its connections at once.
func (i *Instance) closeListeners() error {
	var err error
	for _, srv := range []*http.Server{i.callerServer, i.adminServer, i.peerServer} {
		if srv != nil {
			err = errors.Join(err, srv.Close())
		}
	}
	return err
}

// runKeyReload reloads the session keys periodically until ctx ends. The
// returned channel is closed then.
func (i *Instance) runKeyReload(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i.opts.ReloadSessionKeys != nil {
			select {
			case <-ctx.Done():
				return
			case <-i.opts.Clock.After(keyReloadIntervalMs):
			}
			keys, err := i.opts.ReloadSessionKeys()
			if err == nil {
				err = i.signer.SetKeys(keys)
			}
			if err != nil {
				i.opts.Log.Warn("sessionKeysNotReloaded", "error", err)
			}
		}
	}()
	return done
}
