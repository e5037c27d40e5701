// Package kcinstance assembles an entry instance from its settings, runs it
// and stops it gracefully.
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
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// reloadMs is the time between two reads of the session keys.
const reloadMs = 5 * kcclock.Second

// Options are the parts that differ between a server and the demo.
type Options struct {
	Settings kcsettings.Settings
	Clock    kcclock.Clock
	Log      *slog.Logger
	Store    kclog.Log
	Lister   kcmember.Lister
	// Rater calls the rating service; nil means plain TCP.
	Rater *http.Client
	// Admin adds endpoints to the admin listener; nil adds none.
	Admin func(*http.ServeMux)
	// SingleMemory lets work go on while neither the log nor a peer can hold
	// its bill; see kcbill.LedgerOptions.
	SingleMemory bool
	// Peers answer messages of other instances.
	Peers kcpeer.Handlers
	// SessionKeys reads the session keys again; nil keeps those of Settings.
	SessionKeys func() ([]kcsession.Key, error)
	// Metrics collects the figures of the instance; nil makes a new registry.
	Metrics *kcmetric.Registry
	// Force ends a graceful stop at once when it is closed; nil never does.
	Force <-chan struct{}
}

// Instance is a running entry instance.
type Instance struct {
	opts      Options
	entry     *kcentry.Server
	directory *kcmember.Directory
	ledger    *kcbill.Ledger
	holder    *kcbill.Holder
	jobs      *kcjob.Queue
	claimer   *kcclaim.Claimer
	upstream  *kcupstream.Client
	signer    *kcsession.Signer
	caller    *http.Server
	admin     *http.Server
	node      *kcpeer.Node
	config    *kcconfig.Reader
	decisions *decisions
	// peerTraffic counts the bytes of the peer listener.
	peerTraffic kcmetric.Traffic
	peer        *http.Server // nil if the settings name no address for peers
	// CallerAddr, AdminAddr and PeerAddr are the addresses that the instance
	// listens on; PeerAddr is "" if it does not listen for peers.
	CallerAddr string
	AdminAddr  string
	PeerAddr   string
}

// New assembles an instance. It does not listen yet.
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
	if opts.Rater == nil {
		opts.Rater = &http.Client{Transport: &http.Transport{}}
	}
	metrics := opts.Metrics
	if metrics == nil {
		metrics = kcmetric.New()
	}
	metrics.RegisterProcessMetrics()
	i := &Instance{opts: opts, signer: signer, peerTraffic: metrics.Traffic("peer")}
	i.upstream = kcupstream.NewClient(kcupstream.Options{
		Clock: opts.Clock, IdleTimeoutMs: set.Timing.StreamIdleMs, MaxResponseBytes: set.Limits.WithDefaults().MaxResponseBytes,
		TLS: upstreamTLS, OnRetry: metrics.CountRetry,
		OnResult: func(t kcupstream.Target, header http.Header, err error) {
			i.directory.Observe(t.ID, t.Addr, kcmember.ClassifyResult(header, err))
			i.entry.ObserveLoad(t.ID, header)
		},
	})
	i.directory = kcmember.NewDirectory(kcmember.DirectoryOptions{
		Lister: opts.Lister, Clock: opts.Clock, PollMs: set.Timing.ListPollMs,
	})
	i.holder = i.newHolder()
	i.config = i.newConfig(metrics)
	i.decisions = i.newDecisions()
	i.claimer = i.newClaimer(metrics)
	i.node = kcpeer.NewNode(kcpeer.Options{
		Self: kcmember.Member{
			ID: set.Instance.ID, Role: kcmember.RoleEntry, Addr: set.Instance.Peer,
			Zone: set.Instance.Zone, Region: set.Instance.Region,
		},
		Clock: opts.Clock, Members: i.directory.EntryInstances, Metrics: metrics,
		Seed: xxhash.Sum64String(set.Instance.ID), PeriodMs: kcclock.Second, TimeoutMs: kcclock.Second,
		Handlers: withParts(withBills(withClaims(withConfig(opts.Peers, i.config), i.claimer), i.holder), i.decisions), TLS: peerTLS,
	})
	if set.Instance.Peer != "" {
		i.claimer.SetPeers(i.node)
	}
	i.ledger = i.newLedger()
	metrics.RegisterGauge("bills.pending", func() int64 { return int64(i.ledger.Pending()) })
	metrics.RegisterGauge("bills.held", func() int64 { return int64(i.holder.CopyCount()) })
	i.jobs = i.newJobs()
	i.entry = kcentry.NewServer(kcentry.Options{
		Instance: set.Instance.ID, Zone: set.Instance.Zone, Region: set.Instance.Region, Clock: opts.Clock, Log: opts.Log,
		RoutingState: i.decisions.RoutingState, Metrics: metrics, Rules: i.config, RulesFresh: i.config.Fresh,
		Directory:      i.directory,
		UpstreamClient: i.upstream,
		Claimer:        i.claimer,
		Ledger:         i.ledger, JobQueue: i.jobs, Sessions: signer, Limits: set.Limits,
	})
	i.jobs.SetExecutor(i.entry)
	return i, nil
}

// Node returns the instance among its peers.
func (i *Instance) Node() *kcpeer.Node { return i.node }

// Run serves until ctx ends and then stops gracefully. It returns an error if
// it could not listen or if requests were cut at the stop limit.
func (i *Instance) Run(ctx context.Context, ready func(*Instance)) error {
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := i.directory.Refresh(ctx); err != nil {
		i.opts.Log.Warn("listNotRead", "error", err)
	}
	failed := make(chan error, 3)
	if err := i.listen(loops, failed); err != nil {
		return err
	}
	current := i.awaitConfig(loops)
	done := []<-chan struct{}{
		i.directory.Run(loops), i.ledger.Run(loops), i.holder.Run(loops), i.jobs.Run(loops),
		i.node.Run(loops), i.config.Run(loops), i.reload(loops),
		i.claimer.Run(loops), i.decisions.Run(loops), current,
	}
	var err error
	select {
	case <-current:
		i.entry.SetReady(true)
		i.opts.Log.Info("ready", "listen", i.CallerAddr, "admin", i.AdminAddr, "peer", i.PeerAddr)
		ready(i)
	case <-ctx.Done():
	case err = <-failed:
		_ = i.close()
	}
	if err == nil {
		err = i.serveUntil(ctx, failed)
	}
	cancel()
	for _, d := range done {
		<-d
	}
	i.opts.Rater.CloseIdleConnections()
	return err
}

func (i *Instance) serveUntil(ctx context.Context, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return i.stop(context.WithoutCancel(ctx))
	case err := <-failed:
		_ = i.close()
		return err
	}
}

func (i *Instance) listen(ctx context.Context, failed chan<- error) error {
	adminMux := i.entry.AdminMux()
	adminMux.HandleFunc("GET /status", i.serveStatus)
	if i.opts.Admin != nil {
		i.opts.Admin(adminMux)
	}
	set := i.opts.Settings
	caller := listener{
		name: "caller", addr: set.Instance.Listen, handler: i.entry.Handler(), files: set.TLS.Caller,
		limits: set.Limits, log: i.opts.Log,
	}
	var err error
	if i.caller, i.CallerAddr, err = caller.start(ctx, failed); err != nil {
		return err
	}
	admin := listener{
		name: "admin", addr: set.Instance.Admin, handler: kcentry.JSONErrors(adminMux), files: set.TLS.Admin,
		limits: set.Limits, wholeBody: true, log: i.opts.Log,
	}
	if i.admin, i.AdminAddr, err = admin.start(ctx, failed); err != nil {
		return errors.Join(err, i.close())
	}
	if set.Instance.Peer == "" {
		return nil
	}
	peer := listener{
		name: "peer", addr: set.Instance.Peer, handler: i.node.Handler(), files: set.TLS.Peer,
		limits: set.Limits, wholeBody: true, log: i.opts.Log, count: i.peerTraffic.WrapListener,
	}
	if i.peer, i.PeerAddr, err = peer.start(ctx, failed); err != nil {
		return errors.Join(err, i.close())
	}
	return nil
}

// close closes every listener and its connections at once.
func (i *Instance) close() error {
	var err error
	for _, srv := range []*http.Server{i.caller, i.admin, i.peer} {
		if srv != nil {
			err = errors.Join(err, srv.Close())
		}
	}
	return err
}

// reload replaces the session keys until ctx ends. The returned channel is
// closed then.
func (i *Instance) reload(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i.opts.SessionKeys != nil {
			select {
			case <-ctx.Done():
				return
			case <-i.opts.Clock.After(reloadMs):
			}
			keys, err := i.opts.SessionKeys()
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
