// Package kcgate forwards raw HTTP requests to upstreams: it matches the route
// and the key, chooses the version, the model and the upstream, sends, repeats
// and resumes within the limits of the route, and answers exactly once. Names
// on the wire are the business of a Codec.
package kcgate

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Part is one part of a prompt. Requests that share the first parts of their
// prompts share what an engine has read of them.
type PromptPart struct {
	ID     string
	Tokens int
}

// Ask is what a caller says of its request.
type RequestMeta struct {
	ID      string
	APIKey  string
	Session string
	// Model is a name, or AnyModel.
	Model string
	// CallerTimeoutMs is how long the caller waits; 0 if it does not say.
	CallerTimeoutMs kcclock.Millis
	// LastEventID is the event after which a stream goes on, -1 for its start.
	LastEventID  int64
	PromptTokens int
	OutputTokens int
	PromptParts  []PromptPart
	// Header holds the headers that are passed on.
	Header http.Header
}

// AnyModel leaves the choice of the model to the route.
const AnyModel = "*"

// Dispatch is one send of a request to an upstream.
type AttemptMeta struct {
	RequestMeta *RequestMeta
	UpstreamID  string
	Workspace   string
	// TimeoutMs is the time that the upstream has.
	TimeoutMs   kcclock.Millis
	Model       string
	LastEventID int64
	// Urgency orders requests at an engine, 0 first, 9 last.
	Urgency int
}

// Load is what an upstream says of itself on an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Head is what the headers of an answer say.
type ResponseMeta struct {
	// NotRun is true if the upstream states that the request did not run.
	NotRun bool
	// Signed is true if the answer comes from the upstream's application.
	FromApplication bool
	Load            Load
	// HasLoad tells whether Load was stated.
	HasLoad bool
	// Confidence is the model's opinion of its answer, 0 to 100.
	Confidence    int
	HasConfidence bool
}

// Codec translates headers.
type Codec interface {
	// Ask decodes the headers of a request.
	DecodeRequest(r *http.Request) (*RequestMeta, error)
	// Dispatch encodes the headers of a send.
	EncodeAttempt(d AttemptMeta) http.Header
	// Head decodes the headers of an answer.
	DecodeResponse(resp *http.Response) ResponseMeta
	// Pass returns the headers of an answer that the caller gets.
	ForwardedHeader(h http.Header) http.Header
	// Refuse sets the headers of an answer of our own. retryAfter is 0 if it
	// does not help.
	SetRejectionHeader(h http.Header, id string, retryAfter kcclock.Millis)
}

// Options configures a Gate.
type Options struct {
	Deployment kctable.Deployment
	Codec      Codec
	Pool       *kcconn.Pool
	Clock      kcclock.Clock
	// Wall is the time of day, which instances share.
	WallClock kcclock.Clock
	Log       *slog.Logger
	Metrics   *kcmetric.Registry
	// ConfigAge returns the age of the configuration, and false if there is
	// none.
	ConfigAge func(now kcclock.Millis) (kcclock.Millis, bool)
	// RolloutStateAge returns the age of the state of orders.
	RolloutStateAge func(now kcclock.Millis) (kcclock.Millis, bool)
}

// Gate is the handler for the requests of callers.
type Gateway struct {
	Options
	table       atomic.Pointer[kctable.Table]
	Upstreams   *Upstreams
	Rollouts    *Rollouts
	startup     startupState
	drain       drainState
	firstEvents *firstEventEstimator
	latencies   *latencyStats

	mu           sync.Mutex
	retryWindows map[string]*kcretry.Window
}

// New returns a gate that knows no configuration.
func New(opts Options) *Gateway {
	upstreams := NewUpstreams(opts.Clock, opts.Deployment.Zone, opts.Deployment.Regions)
	return &Gateway{
		Options:      opts,
		Upstreams:    upstreams,
		startup:      startupState{startedAt: opts.Clock.Now(), table: make(chan struct{}), upstreams: upstreams.loaded},
		Rollouts:     NewRollouts(opts),
		firstEvents:  newFirstEventEstimator(),
		latencies:    newLatencyStats(),
		retryWindows: make(map[string]*kcretry.Window),
	}
}

// SetTable puts a configuration into force. Versions only go forward. It
// reports whether the table was taken.
func (g *Gateway) SetTable(t *kctable.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if g.table.CompareAndSwap(old, t) {
			if old == nil {
				close(g.startup.table)
			}
			return true
		}
	}
}

// Table returns the configuration in force, nil before the first.
func (g *Gateway) Table() *kctable.Table { return g.table.Load() }

const (
	// retryRatioFactor is the part of the permitted repeats that is used: the rest
	// covers windows that begin between a request and its repeat.
	retryRatioFactor = 0.95
	// retrySlack is the number of repeats that one instance takes beyond it.
	// The slack of the smallest deployment is 58 for 12 instances.
	retrySlack = 3
	// defaultRetryWindowMs is used where the operator states no window.
	defaultRetryWindowMs = 10 * kcclock.Second
)

func (g *Gateway) retryWindow(service string) *kcretry.Window {
	b := g.retryWindows[service]
	if b == nil {
		bounds := g.Deployment.Bounds
		b = &kcretry.Window{Share: retryRatioFactor * bounds.RetryRatio, Slack: retrySlack, SpanMs: bounds.RetryWindowMs}
		if b.SpanMs <= 0 {
			b.SpanMs = defaultRetryWindowMs
		}
		g.retryWindows[service] = b
	}
	return b
}

// countRequest counts the first send of a request for the retry budget.
func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryWindow(service).Try(g.Clock.Now())
}

// takeRetry takes one more send of a request from the retry budget.
func (g *Gateway) takeRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryWindow(service).Retry(g.Clock.Now())
}

// keyFreshnessMarginMs covers the time between the admission of a request and its start
// at an upstream, and the difference between the clocks of both.
const keyFreshnessMarginMs = 700 * kcclock.Millisecond

// keysFresh reports whether the keys are known to be recent enough to accept
// one, with their age.
func (g *Gateway) keysFresh() (kcclock.Millis, bool) {
	age, known := g.ConfigAge(g.Clock.Now())
	b := g.Deployment.Bounds
	return age, known && (!b.StrictRevoke || age < b.RevokeMs-keyFreshnessMarginMs)
}

// Ready reports whether the instance should get requests, and why not.
func (g *Gateway) Ready() (reason string, ok bool) {
	_, fresh := g.keysFresh()
	switch {
	case g.drain.isDraining():
		return "stopping", false
	case g.table.Load() == nil:
		return "no configuration", false
	case !g.Upstreams.Loaded():
		return "no list of upstreams", false
	case !fresh:
		return "the configuration is too old", false
	}
	return "", true
}
