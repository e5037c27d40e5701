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
	// retryBudgetRatio and retryBudgetBurst bound retries and hedges: 10% of the traffic.
	retryBudgetRatio = 0.1
	retryBudgetBurst = 20
	// ratingSampleShare of the answers are sent to the rating service; those of
	// cascades that are being tried always are.
	ratingSampleShare = 0.3
	// maxPendingSamples bounds the answers that wait for a rating.
	maxPendingSamples = 4096
	// outputMeanWeight is the weight of an answer in the mean length of its class.
	outputMeanWeight = 0.02
)

// RoutingStateOptions configures RoutingState.
type RoutingStateOptions struct {
	Instance string
	Clock    kcclock.Clock
	Rules    RuleSource
	// Revision returns the revision of a configuration key; nil means that
	// nothing is published.
	KeyRevision func(key string) int64
	// Publish asks for a change of a roll-out; nil drops it.
	PublishRollout kcrollout.Publish
	// Rated is true if a rating service rates answers. Without one no cascade is
	// tried, because nothing would be learned from it.
	RatingsEnabled bool
	// Lead reports whether this instance publishes stages; nil means never.
	IsRolloutLeader func() bool
}

// Decisions is what an instance has learned and its part of the limits.
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

// Sample is an answer to be rated.
type RatingSample struct {
	RequestID string
	Version   string
	Class     kcrules.Class
	chain     kccascade.Chain
	arm       kcrollout.Arm
}

// Least time and least number of rated answers of a stage of a roll-out.
const (
	minStageMs      = 10 * kcclock.Minute
	minStageRatings = 30
)

// NewRoutingState returns a state without evidence.
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
			StageMs: minStageMs, StageEvents: minStageRatings, Publish: opts.PublishRollout,
		}),
		limiter: kclimit.NewLimiter(), retryBudget: kcretry.NewBudget(retryBudgetRatio, retryBudgetBurst),
		meanOutputTokens: make(map[kcrules.Class]float64), pendingSamples: make(map[string]RatingSample),
	}
}

// pick chooses a way for the request.
func (d *RoutingState) chooseRoute(r kcroute.Request, wait func(string) (kcclock.Millis, bool)) kcroute.Choice {
	now := d.opts.Clock.Now()
	rules := d.opts.Rules.Rules()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.catalog == nil || d.catalog.Rules != rules {
		d.catalog = kcroute.NewCatalog(rules)
	}
	// Before any answer of the class the shortest one is expected, so that no
	// request is refused early by mistake.
	r.Explore = r.Explore && d.opts.RatingsEnabled
	r.ExpectedTokens = max(1, min(r.OutputTokens, int(d.meanOutputTokens[r.Class])))
	return kcroute.Pick(now, r, kcroute.View{Catalog: d.catalog, Wait: wait, Learned: d.cascadeLearner, Rollout: d.effectiveRollout})
}

// rollout returns the roll-out of model in force. The caller holds the lock.
func (d *RoutingState) effectiveRollout(model string) (kcrules.Rollout, bool) {
	r, ok := d.catalog.Rules.Rollouts[model]
	if !ok {
		return r, false
	}
	return d.rolloutController.Apply(model, d.publishedRollout(model, r)), true
}

func (d *RoutingState) publishedRollout(model string, r kcrules.Rollout) kcrollout.Current {
	return kcrollout.Current{Rollout: r, Revision: d.opts.KeyRevision("rollouts/" + model)}
}

// Tick looks at the evidence for every roll-out. It is called every few
// seconds.
func (d *RoutingState) EvaluateRollouts() {
	rules := d.opts.Rules.Rules()
	lead := d.opts.IsRolloutLeader != nil && d.opts.IsRolloutLeader()
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, r := range rules.Rollouts {
		d.rolloutController.Tick(now, model, d.publishedRollout(model, r), d.rolloutEvidence, lead)
	}
	d.rolloutEvidence.Forget(func(version string) bool { return isInRollout(rules, version) })
}

// isInRollout reports whether a roll-out names the version. Only these versions
// are compared, and their counts begin with the roll-out at every instance:
// counts from before it that arrive late would be taken for new ones.
func isInRollout(rules *kcrules.Rules, version string) bool {
	for _, r := range rules.Rollouts {
		if r.From == version || r.To == version {
			return true
		}
	}
	return false
}

// count adds an event of this instance to the evidence. The caller holds the
// lock.
func (d *RoutingState) countSignal(arm kcrollout.Arm, s kcrollout.Signal, bad bool) {
	if isInRollout(d.opts.Rules.Rules(), arm.Version) {
		d.rolloutEvidence.Add(d.opts.Instance, arm, s, bad)
	}
}

// Retire keeps the counts of instances that are gone as one sum.
func (d *RoutingState) MergeDepartedInstances(gone func(instance string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rolloutEvidence.Retire(gone)
}

// admit takes what a request uses from the limits of its workspace.
func (d *RoutingState) acquireLimits(name string, w kcrules.Workspace, use kclimit.Use) kclimit.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Admit(d.opts.Clock.Now(), name, w, use)
}

func (d *RoutingState) releaseLimits(name string, reserved, used int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.Done(name, reserved, used)
}

// SetPeerDemand sets the number of live instances and the demand of the others per
// workspace, in requests.
func (d *RoutingState) SetPeerDemand(live int, others map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.SetPeers(live, others)
}

// Demand returns the demand of this instance per workspace, in requests.
func (d *RoutingState) LocalDemand() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Demand(d.opts.Clock.Now())
}

// countFirstAttempt counts a first try for the retry budget.
func (d *RoutingState) countFirstAttempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget.Try()
}

// retry takes a retry or hedge from the budget.
func (d *RoutingState) acquireRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget.Retry()
}

// attempt is the result of a dispatch to an engine.
type attemptResult struct {
	requestID  string
	class      kcrules.Class
	version    string
	chain      kccascade.Chain
	secondStep bool
	// failed is true if the engine answered with an error.
	failed bool
	// checked is true if the whole answer was looked at, passed if it has no
	// sign of a bad answer.
	checked, passed bool
	slow            bool
	outputTokens    int
	// final is true if the answer goes to the caller, explored if its cascade
	// is being tried.
	delivered, exploratory bool
}

func (a *attemptResult) arm() kcrollout.Arm {
	stratum := string(a.class)
	if a.secondStep {
		stratum += "/second"
	}
	return kcrollout.Arm{Version: a.version, Stratum: stratum}
}

// observe learns from a dispatch.
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
		d.cascadeLearner.Check(a.class, a.version, a.passed, now)
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

// Samples returns the answers to be rated and forgets which they are.
func (d *RoutingState) TakeSamples() []RatingSample {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.unsentSamples
	d.unsentSamples = nil
	return out
}

// Drop forgets a sample that will not be rated.
func (d *RoutingState) DropSample(requestID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pendingSamples, requestID)
}

// Rate learns the rating of an answer. Answers of other instances are ignored;
// their evidence comes with messages.
func (d *RoutingState) RecordRating(requestID string, good bool) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.pendingSamples[requestID]
	if !ok {
		return
	}
	delete(d.pendingSamples, requestID)
	d.cascadeLearner.Rate(s.Class, s.chain, good, now)
	d.countSignal(s.arm, kcrollout.BadRating, !good)
}

// Evidence returns the counts of this instance.
func (d *RoutingState) LocalEvidence() map[kcrollout.Arm]kcrollout.Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rolloutEvidence.Own(d.opts.Instance)
}

// Report takes over the counts of another instance.
func (d *RoutingState) SetPeerEvidence(instance string, arm kcrollout.Arm, t kcrollout.Tally) {
	if instance == d.opts.Instance {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if isInRollout(d.opts.Rules.Rules(), arm.Version) {
		d.rolloutEvidence.Report(instance, arm, t)
	}
}

// isSlowGeneration reports whether the generation took longer than expected.
func isSlowGeneration(v kcrules.Version, tokens int, took kcclock.Millis) bool {
	// A full batch takes about 1.3 times the declared time per token.
	const slowFactor = 2
	return v.TokenMillis > 0 && float64(took) > slowFactor*v.TokenMillis*math.Max(float64(tokens), 1)+float64(kcclock.Second)
}
