// Package kcentry implements the request path of an instance: it accepts requests
// from callers, runs them through a pipeline of filters, dispatches them to
// upstreams and returns the responses.
package kcentry

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcjob"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// RuleSource provides the rules in force.
type RuleSource interface {
	// Rules returns the newest known rules. The value must not be modified.
	Rules() *kcrules.Rules
}

// Options configures a Server.
type Options struct {
	Instance string
	Zone     string
	Region   string
	Clock    kcclock.Clock
	Log      *slog.Logger
	Metrics  *kcmetric.Registry
	Rules    RuleSource
	// RulesFresh reports whether Rules are known to be current; nil means always.
	RulesFresh     func() bool
	Directory      *kcmember.Directory
	UpstreamClient *kcupstream.Client
	Claimer        *kcclaim.Claimer
	Ledger         *kcbill.Ledger
	// JobQueue accepts deferred jobs; nil disables the job endpoints.
	JobQueue *kcjob.Queue
	Sessions *kcsession.Signer
	// Quarantine holds the messages under which engines have crashed. It may be nil;
	// the server then creates its own.
	Quarantine *kcquarantine.Tracker
	Limits     Limits
	// RoutingState may be nil; the server then creates its own.
	RoutingState *RoutingState
}

// Server handles the requests of callers.
type Server struct {
	Options
	upstreamLoad *upstreamLoadTable
	enginePools  *engineTable
	// routingState is Options.RoutingState, or the server's own if that is nil.
	routingState    *RoutingState
	apiKeys         apiKeyCache
	runningRequests requestTracker
	ready           atomic.Bool
	shutdownPhase   atomic.Int32
	// running ends when the running requests must be answered at once.
	running    context.Context
	endRunning context.CancelFunc
}

// NewServer returns a server that reports not ready until SetReady is called.
func NewServer(opts Options) *Server {
	opts.Limits = opts.Limits.WithDefaults()
	if opts.RoutingState == nil {
		opts.RoutingState = NewRoutingState(RoutingStateOptions{Instance: opts.Instance, Clock: opts.Clock, Rules: opts.Rules})
	}
	if opts.Quarantine == nil {
		opts.Quarantine = kcquarantine.New(kcquarantine.Options{Clock: opts.Clock, Instance: opts.Instance})
	}
	load := newUpstreamLoadTable(opts.Clock, opts.Metrics.Count)
	running, endRunning := context.WithCancel(context.Background())
	return &Server{
		running: running, endRunning: endRunning,
		Options: opts, upstreamLoad: load, enginePools: newEngineTable(load.blockedUpstreams), routingState: opts.RoutingState,
	}
}

// SetReady sets the readiness that /readyz reports.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Handler returns the handler for the listener that callers connect to.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.pipelineHandler(s.chatPipeline()))
	mux.HandleFunc("GET /v1/models", s.pipelineHandler([]Filter{s.authenticate, s.listModels}))
	mux.HandleFunc("POST /v1/services/{service}/{operation}", s.pipelineHandler(s.servicePipeline()))
	if s.JobQueue != nil {
		mux.HandleFunc("POST /v1/jobs", s.pipelineHandler([]Filter{s.authenticate, s.readBody, s.submitJob}))
		mux.HandleFunc("GET /v1/jobs/{id}", s.pipelineHandler([]Filter{s.authenticate, s.jobStatus}))
	}
	noRoute := s.pipelineHandler([]Filter{unmatchedRoute(mux)})
	mux.HandleFunc("/", noRoute)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isUncleanPath(r.URL.Path) {
			// The mux would respond with an HTML redirect.
			noRoute(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// AdminMux returns the mux for the admin listener.
func (s *Server) AdminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /explain", s.explain)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = s.Metrics.WriteTo(w)
	})
	return mux
}
