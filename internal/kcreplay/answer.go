package kcreplay

import (
	"slices"
	"strconv"

	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// slowFactor is the ratio of the run time to the expected one from which an
// answer counts as slow. A full batch takes 1.3 times the expected time.
const slowFactor = 2

// answered takes the answer of version at runner j, which ran for the time ran.
func (n *node) answered(r *request, version string, j int, ran kcclock.Millis) {
	s := n.sim
	if !s.reaches(n.site, s.runners[j].spec.Location) {
		s.after(silence, func() { n.lost(r, version, j) })
		return
	}
	n.addLoad(j, -1)
	n.pools[version].took(ran)
	v := s.rules.Versions[version]
	r.cost += float64(kcroute.ListPrice(v, r.a.PromptTokens, r.a.OutputTokens))
	if f, bad := s.factor[version]; bad && f < 1 {
		s.badServed++
	}
	good := s.good(r, version)
	passed := s.passes(r, version, good)
	s.learner.RecordCheck(r.a.Class, version, passed, s.now)
	arm := kcrollout.Arm{Version: version, Stratum: stratum(r)}
	s.rollouts.count(n, arm, kcrollout.FailedCheck, !passed)
	s.rollouts.count(n, arm, kcrollout.Failure, false)
	s.rollouts.count(n, arm, kcrollout.Slow, ran > slowFactor*kcroute.ExpectedRunTime(v, r.a.PromptTokens, r.a.OutputTokens))
	if !passed && n.escalate(r) {
		return
	}
	n.deliver(r, version, good)
	n.pumpAll()
}

func stratum(r *request) string {
	if r.second {
		return string(r.a.Class) + "/second"
	}
	return string(r.a.Class)
}

// escalate sends r to the second version of its plan if there is time for it.
func (n *node) escalate(r *request) bool {
	second := r.plan.Second
	if second == "" || r.second {
		return false
	}
	v := n.pools[second]
	if v == nil || v.pool.Live == 0 {
		return false
	}
	run := kcroute.ExpectedRunTime(n.sim.rules.Versions[second], r.a.PromptTokens, r.a.OutputTokens)
	if n.sim.now+v.pool.ExpectedWait()+run > r.deadline || !n.sim.rollouts.allows(n.site.Region, n.routeRequest(r), second) {
		return false
	}
	r.second, r.skip = true, -1
	n.dispatch(r, second)
	return true
}

func (n *node) deliver(r *request, version string, good bool) {
	s := n.sim
	if r.a.Session != "" && s.sessions[r.a.Session] == "" {
		s.sessions[r.a.Session] = version
	}
	n.end(r, Result{
		LatencyMs: s.now + s.trace.Header.Environment.ClientDelayMs - r.arrived, Version: version, Good: good,
		Cost: r.cost, Price: r.price,
	})
	// The router asks for ratings of the cascades that it tries first.
	if !r.explored && s.draw(r.id, "rated") >= s.trace.Header.Environment.RatedShare {
		return
	}
	arm := kcrollout.Arm{Version: version, Stratum: stratum(r)}
	chain := r.plan.Chain
	s.after(s.trace.Header.Environment.RatingDelayMs, func() {
		s.learner.RecordRating(r.a.Class, chain, good, s.now)
		s.rollouts.count(n, arm, kcrollout.BadRating, !good)
	})
}

// lost handles an attempt that will not be answered. Chats are idempotent and
// are tried again on another runner.
func (n *node) lost(r *request, version string, j int) {
	n.addLoad(j, -1)
	if r.attempts >= maxAttempts || !n.retry() {
		n.refuse(r, kcapi.CodeUpstreamFailed)
		return
	}
	if r.second {
		n.dispatch(r, version)
		return
	}
	if n.choose(r, false) {
		n.dispatch(r, r.plan.First)
	}
}

// retry asks the retry budget; baselines have none.
func (n *node) retry() bool { return !n.sim.policy.limits || n.budget.TakeRetry() }

// hedgeAfter is the default time until the second call of a lookup; the rules
// of the operation replace it.
const hedgeAfter = 30 * kcclock.Millisecond

// call sends a request to a plain service.
func (n *node) call(r *request) {
	if !r.a.NonIdempotent {
		n.callRunner(r, n.pools[r.a.Service], -1)
		if n.sim.policy.hedge {
			n.sim.after(hedgeAfter, func() { n.hedge(r) })
		}
		return
	}
	if n.sim.storeDown || !n.sim.reaches(n.site, n.sim.nodes[0].site) {
		n.refuse(r, kcapi.CodeStoreUnavailable)
		return
	}
	n.sim.after(appendDelay+2*n.sim.delay(n.site, n.sim.nodes[0].site), func() {
		n.callRunner(r, n.pools[r.a.Service], -1)
	})
}

func (n *node) hedge(r *request) {
	if n.sim.results[r.id].done || !n.budget.TakeRetry() {
		return
	}
	n.callRunner(r, n.pools[r.a.Service], r.skip)
}

func (n *node) callRunner(r *request, v *poolView, skip int) {
	s := n.sim
	r.skip = skip
	k := -1
	if s.policy.place == randomly || s.policy.place == inTurn {
		k = n.pickAny(r, v)
	} else {
		pl := kcroute.Placement{Zone: n.site.Zone, Region: n.site.Region, Exclude: skip, AllowRemote: s.policy.place == leastLoad}
		if k = kcroute.ChooseUpstream(v.pool, pl, nil); k < 0 {
			pl.AllowRemote = true
			k = kcroute.ChooseUpstream(v.pool, pl, nil)
		}
	}
	if k < 0 {
		if skip < 0 {
			n.refuse(r, kcapi.CodeNoUpstream)
		}
		return
	}
	r.skip = k
	r.attempts++
	j := v.runners[k]
	run := s.runners[j]
	n.addLoad(j, 1)
	purpose := "call " + strconv.Itoa(j)
	w := &work{steps: serviceSteps(s.draw(r.id, purpose)), seq: r.id, priority: r.arrived}
	w.done = func() {
		s.after(s.delay(n.site, run.spec.Location), func() {
			n.addLoad(j, -1)
			n.end(r, Result{
				LatencyMs: s.now + s.trace.Header.Environment.ClientDelayMs - r.arrived, Version: v.version, Good: true, Price: 1,
			})
		})
	}
	w.lost = func() { s.after(listLag, func() { n.callLost(r, v, j, k) }) }
	s.after(s.delay(n.site, run.spec.Location), func() {
		if !s.reaches(n.site, run.spec.Location) {
			s.after(silence, func() { n.callLost(r, v, j, k) })
			return
		}
		s.results[r.id].Executions++
		run.submit(w)
	})
}

// callLost repeats lookups; the outcome of other calls stays unknown.
func (n *node) callLost(r *request, v *poolView, j, k int) {
	n.addLoad(j, -1)
	if r.a.NonIdempotent {
		n.refuse(r, kcapi.CodeOutcomeUnknown)
		return
	}
	if r.attempts >= maxAttempts || !n.retry() {
		n.refuse(r, kcapi.CodeUpstreamFailed)
		return
	}
	n.callRunner(r, v, k)
}

// One call in slowCalls takes slowSteps times as long, as with a cold cache.
const (
	slowCalls = 0.02
	slowSteps = 10
)

func serviceSteps(u float64) float64 {
	if u < slowCalls {
		return slowSteps
	}
	return 0.5 + u
}

func (s *sim) poolOrder() []string {
	if s.order == nil {
		for v := range s.nodes[0].pools {
			s.order = append(s.order, v)
		}
		slices.Sort(s.order)
	}
	return s.order
}
