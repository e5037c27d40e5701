// Package kcentry is the entry instance: it takes requests from callers, runs
// them through a pipeline of filters and answers them.
package kcentry

import (
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcjob"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// RuleSource returns the rules in force.
type RuleSource interface {
	// Rules returns the newest known rules; the value must not be changed.
	Rules() *kcrules.Rules
}

// Options are the parts that a Server is made of.
type Options struct {
	Instance string
	Zone     string
	Region   string
	Clock    kcclock.Clock
	Log      *slog.Logger
	Metrics  *kcmetric.Registry
	Rules    RuleSource
	// Fresh reports whether Rules are known to be current; nil means always.
	RulesFresh     func() bool
	Directory      *kcmember.Directory
	UpstreamClient *kcupstream.Client
	Claimer        *kcclaim.Claimer
	Ledger         *kcbill.Ledger
	// Jobs takes deferred jobs; nil means that there are none.
	JobQueue *kcjob.Queue
	Sessions *kcsession.Signer
	Limits   Limits
	// Decisions may be nil; the server then makes its own.
	RoutingState *RoutingState
}

// Server answers callers.
type Server struct {
	Options
	upstreamLoad *upstreamLoadTable
	enginePools  *engineTable
	// decisions is Options.Decisions or the server's own.
	routingState    *RoutingState
	apiKeys         apiKeyCache
	runningRequests requestTracker
	ready           atomic.Bool
	shutdownPhase   atomic.Int32
}

// NewServer returns a server that is not ready.
func NewServer(opts Options) *Server {
	opts.Limits = opts.Limits.WithDefaults()
	if opts.RoutingState == nil {
		opts.RoutingState = NewRoutingState(RoutingStateOptions{Instance: opts.Instance, Clock: opts.Clock, Rules: opts.Rules})
	}
	load := newUpstreamLoadTable(opts.Clock, opts.Metrics.Count)
	return &Server{Options: opts, upstreamLoad: load, enginePools: newEngineTable(load.blockedUpstreams), routingState: opts.RoutingState}
}

// SetReady sets what /readyz answers.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Handler returns the handler of the caller listener.
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
			// The mux would answer with a redirect in HTML.
			noRoute(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// AdminMux returns the mux of the admin listener.
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
