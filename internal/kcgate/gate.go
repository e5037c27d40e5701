// Package kcgate forwards HTTP requests to upstreams. It matches the route and
// the API key, chooses the version, the model and the upstream, retries and
// resumes within the limits of the route, and answers each request exactly once.
// A Codec translates the headers of the platform.
package kcgate

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/kingcuprail/kingcuprail/internal/kcadmit"
	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kclatency"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kcspeed"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/internal/kcwarmup"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// PromptPart is one part of a prompt.
type PromptPart = kcprefix.Part

// RequestMeta is what the headers of a request say.
type RequestMeta struct {
	ID      string
	APIKey  string
	Session string
	// Model is the name of a model, or AnyModel.
	Model string
	// CallerTimeoutMs is how long the caller waits, or 0 if it does not say.
	CallerTimeoutMs kcclock.Millis
	// LastEventID is the id of the event after which a stream resumes, or -1 for
	// its start.
	LastEventID  int64
	PromptTokens int
	OutputTokens int
	PromptParts  []PromptPart
	// Header holds the headers that are forwarded.
	Header http.Header
}

// AnyModel leaves the choice of the model to the route.
const AnyModel = "*"

// AttemptMeta is what the headers of one attempt tell the upstream.
type AttemptMeta struct {
	RequestMeta *RequestMeta
	UpstreamID  string
	Workspace   string
	// TimeoutMs is the time that the upstream has for its response.
	TimeoutMs   kcclock.Millis
	Model       string
	LastEventID int64
	// Urgency is the priority of the request at an engine, from 0 (first) to 9
	// (last).
	Urgency int
}

// Load is the load that an upstream reports with a response.
type Load = kcspeed.Load

// ResponseMeta is what the headers of a response say.
type ResponseMeta struct {
	// NotRun is true if the upstream states that it did not run the request.
	NotRun bool
	// FromApplication is true if the response carries the stamp of the upstream's
	// application.
	FromApplication bool
	Load            Load
	// HasLoad is true if Load was reported. IgnoredLoads is the number of reported
	// figures on load or speed that make no sense.
	HasLoad      bool
	IgnoredLoads int
	// Confidence is the model's confidence in its answer, from 0 to 100.
	Confidence    int
	HasConfidence bool
	// LimitPerSecond is the number of requests a second that the upstream takes
	// from all instances together. It is only set if HasLimit is.
	LimitPerSecond float64
	HasLimit       bool
	// BrittlePerSecond is the number of requests a second that the upstream can turn away
	// without falling over, 0 if it does not say that it is brittle.
	BrittlePerSecond int
	// Leaving is true if the upstream says that it leaves.
	Leaving bool
	// RetryAfterMs is the time for which an upstream that turned the request away
	// wants no request of this instance, 0 if it has not asked for any.
	RetryAfterMs kcclock.Millis
	// ColdMs is how long the upstream stays cold. It is only set if HasCold is.
	ColdMs  kcclock.Millis
	HasCold bool
	// IgnoredNotices is the number of headers on leaving and on these times that
	// make no sense.
	IgnoredNotices int
}

// Codec translates between headers and their meaning.
type Codec interface {
	// DecodeRequest decodes the headers of a request.
	DecodeRequest(r *http.Request) (*RequestMeta, error)
	// EncodeAttempt encodes the headers of an attempt.
	EncodeAttempt(d AttemptMeta) http.Header
	// DecodeResponse decodes the headers of a response.
	DecodeResponse(resp *http.Response) ResponseMeta
	// ForwardedHeader returns the headers of a response that the caller gets.
	ForwardedHeader(h http.Header) http.Header
	// SetRejectionHeader sets the headers of a response that the gateway
	// generates itself. retryAfter is 0 if a retry does not help.
	SetRejectionHeader(h http.Header, id string, retryAfter kcclock.Millis)
}

// Options configures a Gateway.
type Options struct {
	Deployment kctable.Deployment
	Codec      Codec
	Pool       *kcconn.Pool
	Clock      kcclock.Clock
	// WallClock is the time of day, which instances share.
	WallClock kcclock.Clock
	Log       *slog.Logger
	Metrics   *kcmetric.Registry
	// ConfigAge returns the age of the configuration, and false if there is none.
	ConfigAge func(now kcclock.Millis) (kcclock.Millis, bool)
	// RolloutStateAge returns the age of the rollout states, and false if there
	// are none.
	RolloutStateAge func(now kcclock.Millis) (kcclock.Millis, bool)
	// InstanceCount returns the number of instances of the deployment, including
	// this one. If it is nil, there are few.
	InstanceCount func() int
	// OnPartBlocked and OnPartCleared, if set, are called when this instance has
	// seen why a prompt part is blocked, or no longer is. They must not block.
	OnPartBlocked func(kcquarantine.Block)
	OnPartCleared func(kcquarantine.Part)
	// OnTrial, if set, is called when a request goes out on trial. It must not
	// block.
	OnTrial func()
}

// Gateway is the HTTP handler for requests of callers.
type Gateway struct {
	Options
	table       atomic.Pointer[kctable.Table]
	Upstreams   *Upstreams
	Rollouts    *Rollouts
	startup     startupState
	drain       drainState
	firstEvents *kclatency.FirstEvents
	latencies   *kclatency.Stats
	// Admission is nil unless the deployment has overload control.
	Admission *kcadmit.Admission
	// Quarantine holds the prompt parts under which upstreams have crashed.
	Quarantine *kcquarantine.Tracker

	mu           sync.Mutex
	retryWindows map[string]*kcretry.WindowBudget
}

// New returns a gateway without a configuration.
func New(opts Options) *Gateway {
	upstreams := NewUpstreams(opts.Clock, opts.Deployment.Zone, opts.Deployment.Regions)
	upstreams.log, upstreams.instance, upstreams.wallClock = opts.Log, opts.Deployment.Instance, opts.WallClock
	upstreams.sharesFigures, upstreams.overload = opts.Deployment.Overload, opts.Deployment.Overload
	upstreams.warmup = kcwarmup.Warmup{
		Instance: opts.Deployment.Instance, Overage: opts.Deployment.Bounds.ColdOverage, Slack: opts.Deployment.Bounds.ColdSlack,
		Log: opts.Log,
	}
	running, end := context.WithCancel(context.Background())
	return &Gateway{
		drain:       drainState{running: running, end: end},
		Admission:   newAdmission(opts, upstreams),
		Options:     opts,
		Upstreams:   upstreams,
		startup:     startupState{startedAt: opts.Clock.Now(), table: make(chan struct{}), upstreams: upstreams.loaded},
		Rollouts:    NewRollouts(opts),
		firstEvents: kclatency.NewFirstEvents(),
		latencies:   kclatency.NewStats(),
		Quarantine: kcquarantine.New(kcquarantine.Options{
			Clock: opts.Clock, Instance: opts.Deployment.Instance, OnBlocked: opts.OnPartBlocked, OnCleared: opts.OnPartCleared,
			OnTrial: opts.OnTrial,
		}),
		retryWindows: make(map[string]*kcretry.WindowBudget),
	}
}

// SetTable activates a configuration if its version is higher than that of the
// active one. It reports whether it did.
func (g *Gateway) SetTable(t *kctable.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		// Requests that follow the new configuration must find its rates.
		g.Upstreams.setColdStarts(t.ColdStarts)
		if g.Deployment.Overload {
			g.Upstreams.setCapacity(t.EngineTokens)
		}
		if g.table.CompareAndSwap(old, t) {
			if old == nil {
				close(g.startup.table)
			}
			return true
		}
	}
}

// Table returns the active configuration, or nil before the first.
func (g *Gateway) Table() *kctable.Table { return g.table.Load() }

const (
	// retryRatioFactor is the share of the configured retry ratio that is used.
	// The rest covers retry windows that begin between a request and its retry.
	retryRatioFactor = 0.95
	// maxRetrySlack is the number of retries that one instance may make beyond the
	// ratio, however few instances there are.
	maxRetrySlack = 3
	// retrySlackFactor is the share of the configured slack that all instances use
	// together. The rest covers those that have started since and that are not on
	// the list yet.
	retrySlackFactor = 0.9
	// defaultRetryWindowMs is used if the operator configures no window.
	defaultRetryWindowMs = 10 * kcclock.Second
)

func (g *Gateway) retryWindow(service string) *kcretry.WindowBudget {
	b := g.retryWindows[service]
	if b == nil {
		bounds := g.Deployment.Bounds
		b = &kcretry.WindowBudget{Share: retryRatioFactor * bounds.RetryRatio, SpanMs: bounds.RetryWindowMs}
		if b.SpanMs <= 0 {
			b.SpanMs = defaultRetryWindowMs
		}
		g.retryWindows[service] = b
	}
	b.BaseRetries = g.retrySlack()
	return b
}

// retrySlack returns the number of retries that this instance may make beyond the
// ratio: its part of the slack, which holds for all instances together.
func (g *Gateway) retrySlack() float64 {
	slack := g.Deployment.Bounds.RetrySlack
	if slack <= 0 || g.InstanceCount == nil {
		return maxRetrySlack
	}
	return min(retrySlackFactor*slack/float64(max(g.InstanceCount(), 1)), maxRetrySlack)
}

// countRequest counts the first attempt of a request for the retry budget.
func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryWindow(service).AddFirstTry(g.Clock.Now())
}

// takeRetry charges one retry to the retry budget and reports whether it is
// allowed.
func (g *Gateway) takeRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryWindow(service).TakeRetry(g.Clock.Now())
}

// keyFreshnessMarginMs covers the time between the admission of a request and its
// start at an upstream, and the clock skew between both.
const keyFreshnessMarginMs = 700 * kcclock.Millisecond

// keysFresh returns the age of the configuration and whether its API keys are
// recent enough to accept one.
func (g *Gateway) keysFresh() (kcclock.Millis, bool) {
	age, known := g.ConfigAge(g.Clock.Now())
	b := g.Deployment.Bounds
	return age, known && (!b.StrictRevoke || age < b.KeyRevokeMs-keyFreshnessMarginMs)
}

// Ready reports whether the instance should get requests, and otherwise why not.
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
