package kccascade

import (
	"cmp"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Step is a version that a request may run on.
type Step struct {
	Version string
	// Twin is the other version of a roll-out in progress, or "". The evidence
	// of both counts together while it does not differ beyond chance; else a
	// roll-out would make every cascade start without evidence.
	RolloutPeer string
	// Declared is the quality that the operator states, from 0 to 1.
	Declared float64
	// Cost is the list price in micro-units of currency.
	Cost float64
	// TimeMs is the expected wait and run time.
	TimeMs kcclock.Millis
}

// Need is what a request requires.
type Requirements struct {
	Class kcrules.Class
	// Target is the required share of good answers, from 0 to 1.
	Target float64
	// SlackMs is the time until the deadline.
	SlackMs kcclock.Millis
	// Cascade allows two steps. It must be false for work that may not be
	// repeated.
	Cascade bool
	// Explore allows this request to try a cascade that is not settled.
	Explore bool
	// Draw is a random number from 0 to 1 that decides with Explore.
	ExploreSample float64
}

// Plan is a chain with its expected figures.
type Plan struct {
	Chain
	// Cost is the expected list price in micro-units.
	Cost float64
	// Quality is the expected share of good answers.
	Quality float64
	TimeMs  kcclock.Millis
	// Meets reports whether the chain is taken to meet the target.
	MeetsTarget bool
	// Against is the reason against the plan, or "".
	RejectReason string
	// open plans have too little evidence for either verdict; likely ones
	// look as if they met the target.
	undecided, promising bool
	// lower is the lower bound of the quality; the declared quality if there is
	// no evidence on a single version.
	lowerQuality float64
}

// Reasons against a plan.
const (
	RejectDeadline = "cannot finish before the deadline"
	RejectQuality  = "does not meet the quality target"
	RejectEvidence = "too few ratings to trust the cascade"
	RejectCost     = "another way is cheaper"
)

// defaultPassRate is the assumed share of answers that pass the check before any
// was seen; it only orders cascades that were not tried.
const defaultPassRate = 0.7

// Best returns the plan to follow: the cheapest that meets the target before
// the deadline; if none does, the one with the highest quality that meets the
// deadline. ok is false if no plan meets the deadline. All plans that were
// considered are appended to plans, with the reason against each.
func (l *Learner) BestPlan(now kcclock.Millis, need Requirements, steps []Step, plans []Plan) (best Plan, all []Plan, ok bool) {
	first := len(plans)
	for i := range steps {
		plans = append(plans, l.singlePlan(now, need, &steps[i]))
	}
	if need.Cascade {
		plans = l.appendCascades(now, need, steps, plans)
	}
	chosen := -1
	for i := first; i < len(plans); i++ {
		if p := &plans[i]; p.TimeMs <= need.SlackMs && p.RejectReason != RejectEvidence &&
			(chosen < 0 || betterPlan(p, &plans[chosen])) {
			chosen = i
		}
	}
	if chosen < 0 {
		return Plan{}, plans, false
	}
	if need.Explore {
		chosen = planToExplore(plans, first, chosen, need)
	}
	for i := first; i < len(plans); i++ {
		if p := &plans[i]; i != chosen && p.RejectReason == "" {
			p.RejectReason = RejectCost
		}
	}
	plans[chosen].RejectReason = ""
	return plans[chosen], plans, true
}

// pairs appends the cascades from a cheaper version to one that costs more and
// is not declared worse.
func (l *Learner) appendCascades(now kcclock.Millis, need Requirements, steps []Step, plans []Plan) []Plan {
	for i := range steps {
		for j := range steps {
			if steps[i].Cost < steps[j].Cost && steps[i].Declared <= steps[j].Declared {
				plans = append(plans, l.cascadePlan(now, need, &steps[i], &steps[j]))
			}
		}
	}
	return plans
}

func (l *Learner) singlePlan(now kcclock.Millis, need Requirements, s *Step) Plan {
	p := Plan{Chain: Chain{First: s.Version}, Cost: s.Cost, Quality: s.Declared, TimeMs: s.TimeMs}
	p.MeetsTarget, p.lowerQuality = s.Declared >= need.Target, s.Declared
	if e := l.pooledQuality(now, need.Class, s, nil); e.Sufficient() {
		p.Quality, p.lowerQuality = e.Mean, e.Lower
		p.MeetsTarget = meetsTarget(p.MeetsTarget, e, need.Target)
	}
	return p.withRejectReason(need)
}

// quality returns the estimate for the chain of a and b, which may be nil,
// together with that of the chain of their twins.
func (l *Learner) pooledQuality(now kcclock.Millis, class kcrules.Class, a, b *Step) Estimate {
	chain, twin := Chain{First: a.Version}, Chain{First: cmp.Or(a.RolloutPeer, a.Version)}
	if b != nil {
		chain.Second, twin.Second = b.Version, cmp.Or(b.RolloutPeer, b.Version)
	}
	e := l.Quality(class, chain, now)
	if twin == chain {
		return e
	}
	return e.pooledWith(l.Quality(class, twin, now))
}

// with returns the estimate from the evidence of both, or e if they differ
// beyond chance.
func (e Estimate) pooledWith(peer Estimate) Estimate {
	if e.Sufficient() && peer.Sufficient() && (e.Upper < peer.Lower || e.Lower > peer.Upper) {
		return e
	}
	return WilsonInterval(e.Mean*e.Weight+peer.Mean*peer.Weight, e.Weight+peer.Weight)
}

// settled returns whether a version or chain meets the target. Ratings change
// the verdict only when the whole interval lies on the other side, so that
// chance does not move traffic.
func meetsTarget(declared bool, e Estimate, target float64) bool {
	switch {
	case e.Lower >= target:
		return true
	case e.Upper < target:
		return false
	default:
		return declared
	}
}

func (l *Learner) cascadePlan(now kcclock.Millis, need Requirements, a, b *Step) Plan {
	p := Plan{Chain: Chain{First: a.Version, Second: b.Version}, TimeMs: a.TimeMs + b.TimeMs}
	pass := defaultPassRate
	e := l.PassRate(need.Class, a.Version, now)
	if a.RolloutPeer != "" {
		e = e.pooledWith(l.PassRate(need.Class, a.RolloutPeer, now))
	}
	if e.Sufficient() {
		pass = e.Lower
	}
	p.Cost = a.Cost + (1-pass)*b.Cost
	e = l.pooledQuality(now, need.Class, a, b)
	p.Quality, p.MeetsTarget, p.lowerQuality = e.Mean, e.Lower >= need.Target, e.Lower
	p = p.withRejectReason(need)
	p.undecided = !e.Sufficient() || (!p.MeetsTarget && e.Upper >= need.Target)
	p.promising = !e.Sufficient() || e.Mean >= need.Target
	if !e.Sufficient() {
		p.MeetsTarget = false
		if p.RejectReason != RejectDeadline {
			p.RejectReason = RejectEvidence
		}
	}
	return p
}

func (p Plan) withRejectReason(need Requirements) Plan {
	switch {
	case p.TimeMs > need.SlackMs:
		p.RejectReason = RejectDeadline
	case !p.MeetsTarget:
		p.RejectReason = RejectQuality
	}
	return p
}

func betterPlan(a, b *Plan) bool {
	switch {
	case a.MeetsTarget != b.MeetsTarget:
		return a.MeetsTarget
	case a.MeetsTarget && a.Cost != b.Cost:
		return a.Cost < b.Cost
	case a.Quality != b.Quality:
		return a.Quality > b.Quality
	default:
		return a.TimeMs < b.TimeMs
	}
}

// explore returns the cascade to try: one that is not settled, could cost less
// than the chosen plan, and whose second step meets the target on its own, so
// that only answers that pass the check by mistake are at risk. Those that
// look good so far come first, then the cheapest.
func planToExplore(plans []Plan, first, chosen int, need Requirements) int {
	best := chosen
	for i := first; i < len(plans); i++ {
		p := &plans[i]
		if !p.undecided || p.TimeMs > need.SlackMs || p.Cost >= plans[chosen].Cost || !meetsTargetAlone(plans[first:], p.Second) {
			continue
		}
		if best == chosen || (p.promising && !plans[best].promising) ||
			(p.promising == plans[best].promising && p.Cost < plans[best].Cost) {
			best = i
		}
	}
	if best != chosen && need.ExploreSample >= exploreShare(&plans[chosen], &plans[best], need.Target) {
		return chosen
	}
	return best
}

// Bounds on the share of requests that try a cascade. The lower one keeps the
// learning going where the chosen plan has no quality to spare.
const (
	minExploreShare = 0.02
	maxExploreShare = 0.5
)

// exploreShare returns the share of requests that may try the open plan, such
// that the lower bounds of both mix to the target. It grows with the evidence
// for the open plan.
func exploreShare(chosen, undecided *Plan, target float64) float64 {
	spare, risk := chosen.lowerQuality-target, chosen.lowerQuality-undecided.lowerQuality
	if spare <= 0 || risk <= 0 {
		return minExploreShare
	}
	return min(max(spare/risk, minExploreShare), maxExploreShare)
}

func meetsTargetAlone(plans []Plan, version string) bool {
	for i := range plans {
		if plans[i].Chain == (Chain{First: version}) {
			return plans[i].MeetsTarget
		}
	}
	return false
}
