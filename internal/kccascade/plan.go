package kccascade

import (
	"cmp"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Step is a version that a request may run on as a step of a cascade.
type Step struct {
	Version string
	// RolloutPeer is the other version of a roll-out in progress, or "". The
	// evidence of both is pooled while it does not differ by more than chance
	// explains; otherwise each roll-out would make every cascade start without
	// evidence.
	RolloutPeer string
	// Declared is the quality that the operator declares, from 0 to 1.
	Declared float64
	// Cost is the list price in micro-units of currency.
	Cost float64
	// TimeMs is the expected wait plus run time.
	TimeMs kcclock.Millis
}

// Requirements holds what a request requires of a plan.
type Requirements struct {
	Class kcrules.Class
	// Target is the required share of good answers, from 0 to 1.
	Target float64
	// SlackMs is the time until the deadline.
	SlackMs kcclock.Millis
	// Cascade allows two steps. It must be false for work that must not be
	// repeated.
	Cascade bool
	// Explore allows this request to try a cascade without sufficient evidence.
	Explore bool
	// ExploreSample is a random number from 0 to 1 that selects the requests
	// that explore.
	ExploreSample float64
}

// Plan is a chain with its expected cost, quality and time.
type Plan struct {
	Chain
	// Cost is the expected list price in micro-units.
	Cost float64
	// Quality is the expected share of good answers.
	Quality float64
	TimeMs  kcclock.Millis
	// MeetsTarget reports whether the chain is considered to meet the target.
	MeetsTarget bool
	// RejectReason is the reason against the plan, or "".
	RejectReason string
	// undecided is true if there is too little evidence for or against the
	// plan; promising is true if the plan appears to meet the target so far.
	undecided, promising bool
	// lowerQuality is the lower bound of the quality, or the declared quality
	// of a single version without evidence.
	lowerQuality float64
}

// Reasons against a plan.
const (
	RejectDeadline = "cannot finish before the deadline"
	RejectQuality  = "does not meet the quality target"
	RejectEvidence = "too few ratings to trust the cascade"
	RejectCost     = "another plan is cheaper"
)

// defaultPassRate is the assumed share of answers that pass the check before
// any was observed. It only orders cascades that were not tried.
const defaultPassRate = 0.7

// BestPlan returns the plan to follow: the cheapest one that meets the target
// before the deadline, or, if none does, the one with the highest quality that
// meets the deadline. ok is false if no plan meets the deadline. All plans that
// were considered are appended to plans with the reason against each.
func (l *Learner) BestPlan(now kcclock.Millis, need Requirements, steps []Step, plans []Plan) (best Plan, all []Plan, ok bool) {
	offset := len(plans)
	for i := range steps {
		plans = append(plans, l.singlePlan(now, need, &steps[i]))
	}
	if need.Cascade {
		plans = l.appendCascades(now, need, steps, plans)
	}
	chosen := -1
	for i := offset; i < len(plans); i++ {
		if p := &plans[i]; p.TimeMs <= need.SlackMs && p.RejectReason != RejectEvidence &&
			(chosen < 0 || betterPlan(p, &plans[chosen])) {
			chosen = i
		}
	}
	if chosen < 0 {
		return Plan{}, plans, false
	}
	if need.Explore {
		chosen = planToExplore(plans, offset, chosen, need)
	}
	for i := offset; i < len(plans); i++ {
		if p := &plans[i]; i != chosen && p.RejectReason == "" {
			p.RejectReason = RejectCost
		}
	}
	plans[chosen].RejectReason = ""
	return plans[chosen], plans, true
}

// appendCascades appends the cascades from a cheaper version to a more
// expensive one that is not declared worse.
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

// pooledQuality returns the estimate for the chain of a and b, pooled with that
// of the chain of their roll-out peers. b may be nil.
func (l *Learner) pooledQuality(now kcclock.Millis, class kcrules.Class, a, b *Step) Estimate {
	chain, peer := Chain{First: a.Version}, Chain{First: cmp.Or(a.RolloutPeer, a.Version)}
	if b != nil {
		chain.Second, peer.Second = b.Version, cmp.Or(b.RolloutPeer, b.Version)
	}
	e := l.Quality(class, chain, now)
	if peer == chain {
		return e
	}
	return e.pooledWith(l.Quality(class, peer, now))
}

// pooledWith returns the estimate from the evidence of both, or e if they
// differ by more than chance explains.
func (e Estimate) pooledWith(peer Estimate) Estimate {
	if e.Sufficient() && peer.Sufficient() && (e.Upper < peer.Lower || e.Lower > peer.Upper) {
		return e
	}
	return WilsonInterval(e.Mean*e.Weight+peer.Mean*peer.Weight, e.Weight+peer.Weight)
}

// meetsTarget returns whether a version or chain is considered to meet the
// target. Ratings override the declared quality only when the whole interval
// lies on the other side of the target, so chance does not move traffic.
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

// betterPlan reports whether plan a is preferred to b.
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

// planToExplore returns the index of the cascade to try: one that is undecided,
// could cost less than the chosen plan, and whose second step meets the target
// on its own. Then only answers that pass the check by mistake are at risk.
// Promising cascades come first, then the cheapest.
func planToExplore(plans []Plan, offset, chosen int, need Requirements) int {
	best := chosen
	for i := offset; i < len(plans); i++ {
		p := &plans[i]
		if !p.undecided || p.TimeMs > need.SlackMs || p.Cost >= plans[chosen].Cost || !meetsTargetAlone(plans[offset:], p.Second) {
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

// Bounds on the share of requests that try a cascade. The lower one keeps
// collecting evidence where the chosen plan has no quality to spare.
const (
	minExploreShare = 0.02
	maxExploreShare = 0.5
)

// exploreShare returns the share of requests that may try the undecided plan.
// It is chosen so that the weighted mean of both lower bounds equals the
// target, and so grows with the evidence for the undecided plan.
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
