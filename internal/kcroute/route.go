// Package kcroute chooses the version and the upstream for a request.
package kcroute

import (
	"slices"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kccascade"
	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Request holds the properties of a request on which the choice depends.
type Request struct {
	// ID determines, with the roll-out, which version of a model the request
	// gets.
	ID        string
	Workspace kcrules.Workspace
	Class     kcrules.Class
	// Model is auto, a model name or name@version.
	Model        string
	PromptTokens int
	// OutputTokens is the largest possible answer; the price is based on it.
	OutputTokens int
	// ExpectedTokens is the expected size of the answer; 0 means OutputTokens.
	ExpectedTokens int
	// SessionVersion is the version that the session is bound to, or "".
	SessionVersion string
	// Deadline is the latest time for the end of the answer; 0 means none.
	Deadline kcclock.Millis
	// Admitted is true after admission control. The request is then no longer
	// refused because of its deadline but takes the fastest version.
	Admitted bool
	// Cascade allows a second version if the answer of the first one fails the
	// check.
	Cascade bool
	// Explore allows this request to try a cascade that lacks evidence.
	Explore bool
}

// Candidate is a version that was considered.
type Candidate struct {
	Version string `json:"version"`
	// Quality is the learned quality, or the declared one if too little is
	// learned.
	Quality float64 `json:"quality"`
	// Cost is in micro-units of currency.
	Cost int64 `json:"cost"`
	// WaitMs is the expected wait for a free slot, RunMs the expected run time.
	WaitMs kcclock.Millis `json:"waitMs"`
	RunMs  kcclock.Millis `json:"runMs"`
	// Rejected is the reason why the candidate was rejected, or "".
	Rejected string `json:"rejected,omitempty"`
}

// Choice is the result of ChoosePlan.
type Choice struct {
	// Version is "" if no candidate is usable.
	Version string
	// Plan is the chosen plan; its First is Version.
	Plan       kccascade.Plan
	Candidates []Candidate
	// Plans holds all plans that were considered.
	Plans []kccascade.Plan
	// Code is the refusal reason if Version is "".
	Code kcapi.Code
	// ReserveMs is how long before the deadline the request must start at the
	// latest, so that any version that meets the target can still be used if
	// the pool of the chosen one stays full.
	ReserveMs kcclock.Millis
}

// Safety factors on the expected times in the deadline check.
const (
	// runSafetyFactor covers a full batch, which takes about 1.33 times the
	// declared time.
	runSafetyFactor = 1.4
	// waitSafetyFactor covers load reports that lag and requests of other
	// instances that are not visible yet.
	waitSafetyFactor = 2
)

// View is the state of an instance on which a decision is based.
type View struct {
	Catalog *Catalog
	// Wait returns the expected wait for a version; live is false if no
	// upstream serves it.
	Wait func(version string) (wait kcclock.Millis, live bool)
	// Learner holds the learned qualities. It may be nil.
	Learner *kccascade.Learner
	// Rollout returns the roll-out of a model in force, including a local stop
	// by this instance. Nil means the roll-out of the rules.
	Rollout func(model string) (kcrules.Rollout, bool)
}

// Catalog holds the versions of rules, sorted and split into model and version
// for fast search.
type Catalog struct {
	Rules   *kcrules.Rules
	entries []catalogEntry
}

type catalogEntry struct {
	key, model string
	version    kcrules.Version
}

// NewCatalog returns the catalog of rules.
func NewCatalog(rules *kcrules.Rules) *Catalog {
	c := &Catalog{Rules: rules}
	for key, v := range rules.Versions {
		model, _, _ := strings.Cut(key, "@")
		c.entries = append(c.entries, catalogEntry{key: key, model: model, version: v})
	}
	slices.SortFunc(c.entries, func(a, b catalogEntry) int { return strings.Compare(a.key, b.key) })
	return c
}

// ChoosePlan returns the cheapest plan that meets the quality target before the
// deadline. If none meets the target, it returns the one with the highest
// quality that meets the deadline.
func ChoosePlan(now kcclock.Millis, r Request, view View) Choice {
	choice := Choice{Code: kcapi.CodeUnknownModel, Candidates: make([]Candidate, 0, len(view.Catalog.entries))}
	steps := make([]kccascade.Step, 0, len(view.Catalog.entries))
	for i := range view.Catalog.entries {
		e := &view.Catalog.entries[i]
		if !matchesModel(e, r) {
			continue
		}
		wait, live := view.Wait(e.key)
		c := Candidate{
			Version: e.key, Quality: e.version.QualityFor(r.Class),
			Cost:   ListPrice(e.version, r.PromptTokens, r.OutputTokens),
			WaitMs: wait, RunMs: ExpectedRunTime(e.version, r.PromptTokens, r.expectedOutputTokens()),
		}
		var code kcapi.Code
		c.Rejected, code = rejectReason(r, e, live, view)
		if code != "" {
			choice.Code = code
		} else {
			run := kcclock.Millis(runSafetyFactor * float64(c.RunMs))
			steps = append(steps, kccascade.Step{
				Version: e.key, RolloutPeer: view.rolloutPeer(e), Declared: c.Quality, Cost: float64(c.Cost),
				TimeMs: waitSafetyFactor*c.WaitMs + run,
			})
			if c.Quality >= r.Workspace.TargetFor(r.Class) {
				choice.ReserveMs = max(choice.ReserveMs, run)
			}
		}
		choice.Candidates = append(choice.Candidates, c)
	}
	if len(steps) > 0 {
		choice.choosePlan(now, r, view, steps)
	}
	return choice
}

func (r *Request) expectedOutputTokens() int {
	if r.ExpectedTokens > 0 {
		return r.ExpectedTokens
	}
	return r.OutputTokens
}

// noDeadlineSlack is the slack of a request without a deadline.
const noDeadlineSlack = 365 * kcclock.Day

// emptyLearner is used where no learner is given; only declared qualities
// count.
var emptyLearner = kccascade.NewLearner(kccascade.Options{})

func (c *Choice) choosePlan(now kcclock.Millis, r Request, view View, steps []kccascade.Step) {
	learned := view.Learner
	if learned == nil {
		learned = emptyLearner
	}
	need := kccascade.Requirements{
		Class: r.Class, Target: r.Workspace.TargetFor(r.Class), SlackMs: noDeadlineSlack,
		Cascade: r.Cascade && r.SessionVersion == "", Explore: r.Explore,
		ExploreSample: float64(kcset.RendezvousHash(r.ID, "explore")>>11) / (1 << 53),
	}
	if r.Deadline > 0 {
		need.SlackMs = r.Deadline - now
	}
	var ok bool
	c.Plan, c.Plans, ok = learned.BestPlan(now, need, steps, make([]kccascade.Plan, 0, len(steps)*(len(steps)+1)/2))
	if !ok {
		// A request is refused only if it cannot finish in time even without
		// the safety factors.
		c.Plan, ok = fastestSingleVersion(c.Plans)
		ok = ok && (r.Admitted || c.expectedTime(c.Plan.First) <= need.SlackMs)
	}
	if !ok {
		c.Code = kcapi.CodeDeadlineUnreachable
		c.copyPlanVerdicts()
		return
	}
	c.ReserveMs = max(c.ReserveMs, c.runTimeOf(c.Plan))
	if r.SessionVersion != "" {
		// A session cannot fall back to another version, so it never yields to
		// other requests.
		c.ReserveMs = noDeadlineSlack
	}
	c.Version, c.Code = c.Plan.First, ""
	c.copyPlanVerdicts()
}

// fastestSingleVersion returns the plan with a single version that can finish
// first.
func fastestSingleVersion(plans []kccascade.Plan) (best kccascade.Plan, ok bool) {
	for i := range plans {
		if p := &plans[i]; p.Second == "" && (!ok || p.TimeMs < best.TimeMs) {
			best, ok = *p, true
		}
	}
	return best, ok
}

// expectedTime returns the expected wait and run time of a version without the
// safety factors.
func (c *Choice) expectedTime(version string) kcclock.Millis {
	for i := range c.Candidates {
		if c.Candidates[i].Version == version {
			return c.Candidates[i].WaitMs + c.Candidates[i].RunMs
		}
	}
	return noDeadlineSlack
}

// runTimeOf returns the time of the plan without the waits for slots.
func (c *Choice) runTimeOf(p kccascade.Plan) kcclock.Millis {
	run := p.TimeMs
	for i := range c.Candidates {
		if v := c.Candidates[i].Version; v == p.First || v == p.Second {
			run -= waitSafetyFactor * c.Candidates[i].WaitMs
		}
	}
	return run
}

// copyPlanVerdicts copies the quality and the reject reason of each
// single-version plan to its candidate.
func (c *Choice) copyPlanVerdicts() {
	for i := range c.Candidates {
		for j := range c.Plans {
			if p := &c.Plans[j]; p.Second == "" && p.First == c.Candidates[i].Version {
				c.Candidates[i].Quality = p.Quality
				if p.First != c.Version {
					c.Candidates[i].Rejected = p.RejectReason
				}
			}
		}
	}
}

// ListPrice returns the list price of a request in micro-units of currency.
func ListPrice(v kcrules.Version, promptTokens, outputTokens int) int64 {
	return v.InputPrice*int64(promptTokens) + v.OutputPrice*int64(outputTokens)
}

// prefillTokensPerOutputToken is the number of prompt tokens that an engine
// processes in the time of one generated token.
const prefillTokensPerOutputToken = 256

// ExpectedRunTime returns the expected time of a request in a free slot.
func ExpectedRunTime(v kcrules.Version, promptTokens, outputTokens int) kcclock.Millis {
	return kcclock.Millis(v.TokenMillis * (float64(outputTokens) + float64(promptTokens)/prefillTokensPerOutputToken))
}

func matchesModel(e *catalogEntry, r Request) bool {
	if r.SessionVersion != "" {
		return e.key == r.SessionVersion
	}
	return r.Model == kcchat.ModelAuto || r.Model == e.key || r.Model == e.model
}

func rejectReason(r Request, e *catalogEntry, live bool, view View) (string, kcapi.Code) {
	switch {
	case !r.Workspace.Allows(e.key):
		return "not allowed for the workspace", kcapi.CodeVersionNotAllowed
	case e.version.State == kcrules.Withdrawn && r.SessionVersion != "":
		return "withdrawn", kcapi.CodeSessionVersionWithdrawn
	case e.version.State == kcrules.Withdrawn:
		return "withdrawn", kcapi.CodeVersionWithdrawn
	case e.version.State == kcrules.Draining && r.SessionVersion == "":
		return "draining, takes no new sessions", kcapi.CodeVersionWithdrawn
	}
	if reason := rolloutRejectReason(r, e, view); reason != "" {
		return reason, kcapi.CodeVersionWithdrawn
	}
	if !live {
		return "no live upstream", kcapi.CodeNoUpstream
	}
	return "", ""
}

// rolloutRejectReason returns why the roll-out of a model excludes a version
// for the request, or "". A session keeps its version. A request that names a
// version gets it unless the version was stopped.
func rolloutRejectReason(r Request, e *catalogEntry, view View) string {
	ro, ok := view.activeRollout(e.model)
	if !ok || (e.key != ro.From && e.key != ro.To) || r.SessionVersion != "" {
		return ""
	}
	if r.Model == e.key {
		if e.key == ro.To && ro.Stopped {
			return "the roll-out was stopped"
		}
		return ""
	}
	exposed := kcrollout.Exposed(ro, r.Workspace, r.ID)
	switch {
	case e.key == ro.To && ro.Stopped:
		return "the roll-out was stopped"
	case e.key == ro.To && !exposed:
		return "the roll-out does not include this request"
	case e.key == ro.From && exposed:
		return "the roll-out replaces this version for this request"
	default:
		return ""
	}
}

// rolloutPeer returns the other version of the roll-out that e takes part in,
// or "".
func (v *View) rolloutPeer(e *catalogEntry) string {
	r, ok := v.activeRollout(e.model)
	switch {
	case !ok || r.Stopped:
		return ""
	case r.To == e.key:
		return r.From
	case r.From == e.key:
		return r.To
	default:
		return ""
	}
}

func (v *View) activeRollout(model string) (kcrules.Rollout, bool) {
	if v.Rollout != nil {
		return v.Rollout(model)
	}
	r, ok := v.Catalog.Rules.Rollouts[model]
	return r, ok
}
