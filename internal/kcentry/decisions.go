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
	// retryShare and retryBurst bound retries and hedges: 10% of the traffic.
	retryShare = 0.1
	retryBurst = 20
	// ratedShare of the answers are sent to the rating service; those of
	// cascades that are being tried always are.
	ratedShare = 0.3
	// maxSamples bounds the answers that wait for a rating.
	maxSamples = 4096
	// outputPart is the weight of an answer in the mean length of its class.
	outputPart = 0.02
)

// DecisionsOptions configures Decisions.
type DecisionsOptions struct {
	Instance string
	Clock    kcclock.Clock
	Rules    RuleSource
	// Revision returns the revision of a configuration key; nil means that
	// nothing is published.
	Revision func(key string) int64
	// Publish asks for a change of a roll-out; nil drops it.
	Publish kcrollout.PublishFunc
	// Rated is true if a rating service rates answers. Without one no cascade is
	// tried, because nothing would be learned from it.
	Rated bool
	// Lead reports whether this instance publishes stages; nil means never.
	Lead func() bool
}

// Decisions is what an instance has learned and its part of the limits.
type Decisions struct {
	opts DecisionsOptions

	mu         sync.Mutex
	catalog    *kcroute.Catalog
	learner    *kccascade.Learner
	evidence   *kcrollout.Evidence
	controller *kcrollout.Controller
	limiter    *kclimit.Limiter
	budget     kcretry.Budget
	outputs    map[kcrules.Class]float64
	samples    map[string]Sample
	waiting    []Sample
}

// Sample is an answer to be rated.
type Sample struct {
	RequestID string
	Version   string
	Class     kcrules.Class
	chain     kccascade.Chain
	arm       kcrollout.Arm
}

// Least time and least number of rated answers of a stage of a roll-out.
const (
	stageMs     = 10 * kcclock.Minute
	stageEvents = 30
)

// NewDecisions returns decisions without evidence.
func NewDecisions(opts DecisionsOptions) *Decisions {
	if opts.Revision == nil {
		opts.Revision = func(string) int64 { return 0 }
	}
	if opts.Publish == nil {
		opts.Publish = func(string, int64, kcrules.Rollout) {}
	}
	return &Decisions{
		opts: opts, learner: kccascade.NewLearner(kccascade.Options{}), evidence: kcrollout.NewEvidence(),
		controller: kcrollout.NewController(kcrollout.ControllerOptions{
			MinStageMs: stageMs, MinStageRatings: stageEvents, Publish: opts.Publish,
		}),
		limiter: kclimit.NewLimiter(), budget: kcretry.NewBudget(retryShare, retryBurst),
		outputs: make(map[kcrules.Class]float64), samples: make(map[string]Sample),
	}
}

// pick chooses a way for the request.
func (d *Decisions) pick(r kcroute.Request, wait func(string) (kcclock.Millis, bool)) kcroute.Choice {
	now := d.opts.Clock.Now()
	rules := d.opts.Rules.Rules()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.catalog == nil || d.catalog.Rules != rules {
		d.catalog = kcroute.NewCatalog(rules)
	}
	// Before any answer of the class the shortest one is expected, so that no
	// request is refused early by mistake.
	r.Explore = r.Explore && d.opts.Rated
	r.ExpectedTokens = max(1, min(r.OutputTokens, int(d.outputs[r.Class])))
	return kcroute.ChoosePlan(now, r, kcroute.View{Catalog: d.catalog, Wait: wait, Learner: d.learner, Rollout: d.rollout})
}

// rollout returns the roll-out of model in force. The caller holds the lock.
func (d *Decisions) rollout(model string) (kcrules.Rollout, bool) {
	r, ok := d.catalog.Rules.Rollouts[model]
	if !ok {
		return r, false
	}
	return d.controller.EffectiveRollout(model, d.current(model, r)), true
}

func (d *Decisions) current(model string, r kcrules.Rollout) kcrollout.ActiveRollout {
	return kcrollout.ActiveRollout{Rollout: r, Revision: d.opts.Revision("rollouts/" + model)}
}

// Tick looks at the evidence for every roll-out. It is called every few
// seconds.
func (d *Decisions) Tick() {
	rules := d.opts.Rules.Rules()
	lead := d.opts.Lead != nil && d.opts.Lead()
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, r := range rules.Rollouts {
		d.controller.Evaluate(now, model, d.current(model, r), d.evidence, lead)
	}
	d.evidence.RetainVersions(func(version string) bool { return inRollout(rules, version) })
}

// inRollout reports whether a roll-out names the version. Only these versions
// are compared, and their counts begin with the roll-out at every instance:
// counts from before it that arrive late would be taken for new ones.
func inRollout(rules *kcrules.Rules, version string) bool {
	for _, r := range rules.Rollouts {
		if r.From == version || r.To == version {
			return true
		}
	}
	return false
}

// count adds an event of this instance to the evidence. The caller holds the
// lock.
func (d *Decisions) count(arm kcrollout.Arm, s kcrollout.Signal, bad bool) {
	if inRollout(d.opts.Rules.Rules(), arm.Version) {
		d.evidence.Add(d.opts.Instance, arm, s, bad)
	}
}

// Retire keeps the counts of instances that are gone as one sum.
func (d *Decisions) Retire(gone func(instance string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evidence.RetireInstances(gone)
}

// admit takes what a request uses from the limits of its workspace.
func (d *Decisions) admit(name string, w kcrules.Workspace, use kclimit.Usage) kclimit.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Admit(d.opts.Clock.Now(), name, w, use)
}

func (d *Decisions) release(name string, reserved, used int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.Done(name, reserved, used)
}

// SetDemand sets the number of live instances and the demand of the others per
// workspace, in requests.
func (d *Decisions) SetDemand(live int, others map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.SetPeers(live, others)
}

// Demand returns the demand of this instance per workspace, in requests.
func (d *Decisions) Demand() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Demand(d.opts.Clock.Now())
}

// tryFirst counts a first try for the retry budget.
func (d *Decisions) tryFirst() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.AddFirstTry()
}

// retry takes a retry or hedge from the budget.
func (d *Decisions) retry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.TakeRetry()
}

// attempt is the result of a dispatch to an engine.
type attempt struct {
	requestID string
	class     kcrules.Class
	version   string
	chain     kccascade.Chain
	second    bool
	// failed is true if the engine answered with an error.
	failed bool
	// checked is true if the whole answer was looked at, passed if it has no
	// sign of a bad answer.
	checked, passed bool
	slow            bool
	tokens          int
	// final is true if the answer goes to the caller, explored if its cascade
	// is being tried.
	final, explored bool
}

func (a *attempt) arm() kcrollout.Arm {
	stratum := string(a.class)
	if a.second {
		stratum += "/second"
	}
	return kcrollout.Arm{Version: a.version, Stratum: stratum}
}

// observe learns from a dispatch.
func (d *Decisions) observe(a attempt) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	arm := a.arm()
	d.count(arm, kcrollout.Failure, a.failed)
	if a.failed {
		return
	}
	d.count(arm, kcrollout.Slow, a.slow)
	if a.checked {
		d.count(arm, kcrollout.FailedCheck, !a.passed)
		d.learner.RecordCheck(a.class, a.version, a.passed, now)
	}
	mean := d.outputs[a.class]
	if mean == 0 {
		mean = float64(a.tokens)
	}
	d.outputs[a.class] = mean + outputPart*(float64(a.tokens)-mean)
	if a.final && len(d.samples) < maxSamples && (a.explored || rand.Float64() < ratedShare) {
		s := Sample{RequestID: a.requestID, Version: a.version, Class: a.class, chain: a.chain, arm: arm}
		d.samples[s.RequestID] = s
		d.waiting = append(d.waiting, s)
	}
}

// Samples returns the answers to be rated and forgets which they are.
func (d *Decisions) Samples() []Sample {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.waiting
	d.waiting = nil
	return out
}

// Drop forgets a sample that will not be rated.
func (d *Decisions) Drop(requestID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.samples, requestID)
}

// Rate learns the rating of an answer. Answers of other instances are ignored;
// their evidence comes with messages.
func (d *Decisions) Rate(requestID string, good bool) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.samples[requestID]
	if !ok {
		return
	}
	delete(d.samples, requestID)
	d.learner.RecordRating(s.Class, s.chain, good, now)
	d.count(s.arm, kcrollout.BadRating, !good)
}

// Evidence returns the counts of this instance.
func (d *Decisions) Evidence() map[kcrollout.Arm]kcrollout.Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evidence.InstanceCounts(d.opts.Instance)
}

// Report takes over the counts of another instance.
func (d *Decisions) Report(instance string, arm kcrollout.Arm, t kcrollout.Tally) {
	if instance == d.opts.Instance {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if inRollout(d.opts.Rules.Rules(), arm.Version) {
		d.evidence.MergeCounts(instance, arm, t)
	}
}

// isSlow reports whether the generation took longer than expected.
func isSlow(v kcrules.Version, tokens int, took kcclock.Millis) bool {
	// A full batch takes about 1.3 times the declared time per token.
	const factor = 2
	return v.TokenMillis > 0 && float64(took) > factor*v.TokenMillis*math.Max(float64(tokens), 1)+float64(kcclock.Second)
}
