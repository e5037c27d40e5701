package kcentry

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/kingcuprail/kingcuprail/internal/kccascade"
	"github.com/kingcuprail/kingcuprail/internal/kclimit"
	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// retryBudgetRatio and retryBudgetBurst bound retries and hedged calls to 10%
	// of the first attempts, plus an initial burst.
	retryBudgetRatio = 0.1
	retryBudgetBurst = 20
	// ratingSampleShare is the share of the responses sent to the rating service.
	// Responses of cascades that are being explored are always sent.
	ratingSampleShare = 0.3
	// maxPendingSamples bounds the responses that wait for a rating.
	maxPendingSamples = 4096
	// outputMeanWeight is the weight of a response in the exponentially weighted
	// mean response length of its class.
	outputMeanWeight = 0.02
)

// RoutingStateOptions configures RoutingState.
type RoutingStateOptions struct {
	Instance string
	Clock    kcclock.Clock
	Rules    RuleSource
	// KeyRevision returns the revision of a configuration key; nil means that
	// every revision is 0, as if no key had been published.
	KeyRevision func(key string) int64
	// PublishRollout requests the publication of a rollout change; nil discards it.
	PublishRollout kcrollout.PublishFunc
	// RatingsEnabled is true if a rating service rates responses. Without one no
	// cascade is explored, because there would be no ratings to learn from.
	RatingsEnabled bool
	// IsRolloutLeader reports whether this instance publishes the next stages of
	// rollouts; nil means never.
	IsRolloutLeader func() bool
}

// RoutingState holds the state of an instance that routing and admission depend
// on: what it learned about versions and cascades, the evidence for rollouts,
// its share of the rate limits and the retry budget.
type RoutingState struct {
	opts RoutingStateOptions

	mu                sync.Mutex
	catalog           *kcroute.Catalog
	cascadeLearner    *kccascade.Learner
	rolloutEvidence   *kcrollout.Evidence
	rolloutController *kcrollout.Controller
	limiter           *kclimit.Limiter
	retryBudget       kcretry.Budget
	meanOutputTokens  map[kcrules.Class]float64
	pendingSamples    map[string]RatingSample
	unsentSamples     []RatingSample
}

// RatingSample identifies a response to be rated.
type RatingSample struct {
	RequestID string
	Version   string
	Class     kcrules.Class
	chain     kccascade.Chain
	arm       kcrollout.Arm
}

// Minimum duration and minimum number of rated responses of a rollout stage.
const (
	minStageMs      = 10 * kcclock.Minute
	minStageRatings = 30
)

// NewRoutingState returns a state without any evidence.
func NewRoutingState(opts RoutingStateOptions) *RoutingState {
	if opts.KeyRevision == nil {
		opts.KeyRevision = func(string) int64 { return 0 }
	}
	if opts.PublishRollout == nil {
		opts.PublishRollout = func(string, int64, kcrules.Rollout) {}
	}
	return &RoutingState{
		opts: opts, cascadeLearner: kccascade.NewLearner(kccascade.Options{}), rolloutEvidence: kcrollout.NewEvidence(),
		rolloutController: kcrollout.NewController(kcrollout.ControllerOptions{
			MinStageMs: minStageMs, MinStageRatings: minStageRatings, Publish: opts.PublishRollout,
		}),
		limiter: kclimit.NewLimiter(), retryBudget: kcretry.NewBudget(retryBudgetRatio, retryBudgetBurst),
		meanOutputTokens: make(map[kcrules.Class]float64), pendingSamples: make(map[string]RatingSample),
	}
}

// chooseRoute chooses the version or cascade for the request.
func (d *RoutingState) chooseRoute(r kcroute.Request, wait func(string) (kcclock.Millis, bool)) kcroute.Choice {
	now := d.opts.Clock.Now()
	rules := d.opts.Rules.Rules()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.catalog == nil || d.catalog.Rules != rules {
		d.catalog = kcroute.NewCatalog(rules)
	}
	// Before the first response of a class the shortest possible one is expected,
	// so that no request is rejected because of an overestimate.
	r.Explore = r.Explore && d.opts.RatingsEnabled
	r.ExpectedTokens = max(1, min(r.OutputTokens, int(d.meanOutputTokens[r.Class])))
	return kcroute.ChoosePlan(now, r, kcroute.View{
		Catalog: d.catalog, Wait: wait, Learner: d.cascadeLearner, Rollout: d.effectiveRollout,
	})
}

// effectiveRollout returns the rollout of the model, including a stop by this
// instance that is not published yet. The caller must hold d.mu.
func (d *RoutingState) effectiveRollout(model string) (kcrules.Rollout, bool) {
	r, ok := d.catalog.Rules.Rollouts[model]
	if !ok {
		return r, false
	}
	return d.rolloutController.EffectiveRollout(model, d.publishedRollout(model, r)), true
}

func (d *RoutingState) publishedRollout(model string, r kcrules.Rollout) kcrollout.ActiveRollout {
	return kcrollout.ActiveRollout{Rollout: r, Revision: d.opts.KeyRevision("rollouts/" + model)}
}

// EvaluateRollouts evaluates the evidence for every rollout and requests the
// resulting stops and stage changes. It must be called every few seconds.
func (d *RoutingState) EvaluateRollouts() {
	rules := d.opts.Rules.Rules()
	lead := d.opts.IsRolloutLeader != nil && d.opts.IsRolloutLeader()
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, r := range rules.Rollouts {
		d.rolloutController.Evaluate(now, model, d.publishedRollout(model, r), d.rolloutEvidence, lead)
	}
	d.rolloutEvidence.RetainVersions(func(version string) bool { return isInRollout(rules, version) })
}

// isInRollout reports whether a rollout references the version. Evidence is
// collected for these versions only, and from the start of the rollout on at
// every instance: earlier counts that arrive late from a peer would be mistaken
// for evidence of the rollout.
func isInRollout(rules *kcrules.Rules, version string) bool {
	for _, r := range rules.Rollouts {
		if r.From == version || r.To == version {
			return true
		}
	}
	return false
}

// countSignal adds a signal observed by this instance to the evidence. The
// caller must hold d.mu.
func (d *RoutingState) countSignal(arm kcrollout.Arm, s kcrollout.Signal, bad bool) {
	if isInRollout(d.opts.Rules.Rules(), arm.Version) {
		d.rolloutEvidence.Add(d.opts.Instance, arm, s, bad)
	}
}

// MergeDepartedInstances merges the evidence of the instances for which gone
// returns true into one sum.
func (d *RoutingState) MergeDepartedInstances(gone func(instance string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rolloutEvidence.RetireInstances(gone)
}

// acquireLimits reserves the usage of a request from the limits of its workspace.
func (d *RoutingState) acquireLimits(name string, w kcrules.Workspace, use kclimit.Usage) kclimit.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Admit(d.opts.Clock.Now(), name, w, use)
}

// releaseLimits ends a reservation of tokens of which used were used.
func (d *RoutingState) releaseLimits(name string, reserved, used int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.Done(name, reserved, used)
}

// SetPeerDemand sets the number of live instances and the demand of the other
// instances per workspace, in requests.
func (d *RoutingState) SetPeerDemand(live int, others map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.SetPeers(live, others)
}

// LocalDemand returns the demand of this instance per workspace, in requests.
func (d *RoutingState) LocalDemand() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Demand(d.opts.Clock.Now())
}

// countFirstAttempt counts the first attempt of a request towards the retry budget.
func (d *RoutingState) countFirstAttempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget.AddFirstTry()
}

// acquireRetry takes a retry or a hedged call from the retry budget and reports
// whether the budget permits it.
func (d *RoutingState) acquireRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget.TakeRetry()
}

// attemptResult is the result of a dispatch to an engine.
type attemptResult struct {
	requestID string
	class     kcrules.Class
	version   string
	chain     kccascade.Chain
	// secondStep is true for the second version of a cascade.
	secondStep bool
	// failed is true if the engine returned a server error.
	failed bool
	// checked is true if the complete response was checked, passed if the check
	// found no sign of a bad response.
	checked, passed bool
	slow            bool
	outputTokens    int
	// delivered is true if the response is delivered to the caller, exploratory
	// if its cascade is being explored.
	delivered, exploratory bool
}

func (a *attemptResult) arm() kcrollout.Arm {
	stratum := string(a.class)
	if a.secondStep {
		stratum += "/second"
	}
	return kcrollout.Arm{Version: a.version, Stratum: stratum}
}

// recordAttempt updates the evidence, the mean response length and the rating
// samples with the result of a dispatch.
func (d *RoutingState) recordAttempt(a attemptResult) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	arm := a.arm()
	d.countSignal(arm, kcrollout.Failure, a.failed)
	if a.failed {
		return
	}
	d.countSignal(arm, kcrollout.Slow, a.slow)
	if a.checked {
		d.countSignal(arm, kcrollout.FailedCheck, !a.passed)
		d.cascadeLearner.RecordCheck(a.class, a.version, a.passed, now)
	}
	mean := d.meanOutputTokens[a.class]
	if mean == 0 {
		mean = float64(a.outputTokens)
	}
	d.meanOutputTokens[a.class] = mean + outputMeanWeight*(float64(a.outputTokens)-mean)
	if a.delivered && len(d.pendingSamples) < maxPendingSamples && (a.exploratory || rand.Float64() < ratingSampleShare) {
		s := RatingSample{RequestID: a.requestID, Version: a.version, Class: a.class, chain: a.chain, arm: arm}
		d.pendingSamples[s.RequestID] = s
		d.unsentSamples = append(d.unsentSamples, s)
	}
}

// TakeSamples returns the responses to be sent to the rating service and clears
// the list. They stay pending until they are rated or dropped.
func (d *RoutingState) TakeSamples() []RatingSample {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.unsentSamples
	d.unsentSamples = nil
	return out
}

// DropSample discards a pending sample that will not be rated.
func (d *RoutingState) DropSample(requestID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pendingSamples, requestID)
}

// RecordRating records the rating of a response. Responses of other instances
// are ignored; their evidence arrives in peer messages.
func (d *RoutingState) RecordRating(requestID string, good bool) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.pendingSamples[requestID]
	if !ok {
		return
	}
	delete(d.pendingSamples, requestID)
	d.cascadeLearner.RecordRating(s.Class, s.chain, good, now)
	d.countSignal(s.arm, kcrollout.BadRating, !good)
}

// LocalEvidence returns the evidence collected by this instance.
func (d *RoutingState) LocalEvidence() map[kcrollout.Arm]kcrollout.Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rolloutEvidence.InstanceCounts(d.opts.Instance)
}

// MergePeerEvidence merges the counts that another instance reports for arm.
// Reports about versions in no rollout are ignored.
func (d *RoutingState) MergePeerEvidence(instance string, arm kcrollout.Arm, t kcrollout.Tally) {
	if instance == d.opts.Instance {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if isInRollout(d.opts.Rules.Rules(), arm.Version) {
		d.rolloutEvidence.MergeCounts(instance, arm, t)
	}
}

// isSlowGeneration reports whether the generation took much longer than declared
// for the version.
func isSlowGeneration(v kcrules.Version, tokens int, elapsed kcclock.Millis) bool {
	// slowFactor leaves room for a full batch, which takes about 1.3 times the
	// declared time per token.
	const slowFactor = 2
	return v.TokenMillis > 0 && float64(elapsed) > slowFactor*v.TokenMillis*math.Max(float64(tokens), 1)+float64(kcclock.Second)
}
