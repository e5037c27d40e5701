package kcreplay

import (
	"slices"
	"strconv"

	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// slowRunTimeRatio is the ratio of the run time to the expected one from which an
// answer counts as slow. A full batch takes 1.3 times the expected time.
const slowRunTimeRatio = 2

// answered takes the answer of version at runner j, which ran for the time ran.
func (n *entryInstance) handleAnswer(r *request, version string, j int, runTime kcclock.Millis) {
	s := n.sim
	if !s.reachable(n.site, s.runners[j].spec.Location) {
		s.after(idleTimeout, func() { n.handleLostAttempt(r, version, j) })
		return
	}
	n.addLoad(j, -1)
	n.pools[version].recordRunTime(runTime)
	v := s.rules.Versions[version]
	r.cost += float64(kcroute.ListPrice(v, r.arrival.PromptTokens, r.arrival.OutputTokens))
	if f, bad := s.qualityFactors[version]; bad && f < 1 {
		s.degradedAnswers++
	}
	good := s.answerIsGood(r, version)
	passed := s.passesCheck(r, version, good)
	s.learner.RecordCheck(r.arrival.Class, version, passed, s.now)
	arm := kcrollout.Arm{Version: version, Stratum: stratum(r)}
	s.rollouts.recordSignal(n, arm, kcrollout.FailedCheck, !passed)
	s.rollouts.recordSignal(n, arm, kcrollout.Failure, false)
	s.rollouts.recordSignal(n, arm, kcrollout.Slow, runTime > slowRunTimeRatio*kcroute.ExpectedRunTime(v, r.arrival.PromptTokens, r.arrival.OutputTokens))
	if !passed && n.escalate(r) {
		return
	}
	n.deliverAnswer(r, version, good)
	n.dispatchAllQueues()
}

func stratum(r *request) string {
	if r.escalated {
		return string(r.arrival.Class) + "/second"
	}
	return string(r.arrival.Class)
}

// escalate sends r to the second version of its plan if there is time for it.
func (n *entryInstance) escalate(r *request) bool {
	second := r.plan.Second
	if second == "" || r.escalated {
		return false
	}
	v := n.pools[second]
	if v == nil || v.pool.Live == 0 {
		return false
	}
	run := kcroute.ExpectedRunTime(n.sim.rules.Versions[second], r.arrival.PromptTokens, r.arrival.OutputTokens)
	if n.sim.now+v.pool.ExpectedWait()+run > r.deadline || !n.sim.rollouts.allows(n.site.Region, n.routeRequest(r), second) {
		return false
	}
	r.escalated, r.excluded = true, -1
	n.dispatch(r, second)
	return true
}

func (n *entryInstance) deliverAnswer(r *request, version string, good bool) {
	s := n.sim
	if r.arrival.Session != "" && s.sessionVersions[r.arrival.Session] == "" {
		s.sessionVersions[r.arrival.Session] = version
	}
	n.finish(r, Result{
		LatencyMs: s.now + s.trace.Header.Environment.ClientDelayMs - r.arrived, Version: version, Good: good,
		Cost: r.cost, Price: r.price,
	})
	// The router asks for ratings of the cascades that it tries first.
	if !r.explored && s.uniform(r.id, "rated") >= s.trace.Header.Environment.RatedShare {
		return
	}
	arm := kcrollout.Arm{Version: version, Stratum: stratum(r)}
	chain := r.plan.Chain
	s.after(s.trace.Header.Environment.RatingDelayMs, func() {
		s.learner.RecordRating(r.arrival.Class, chain, good, s.now)
		s.rollouts.recordSignal(n, arm, kcrollout.BadRating, !good)
	})
}

// lost handles an attempt that will not be answered. Chats are idempotent and
// are tried again on another runner.
func (n *entryInstance) handleLostAttempt(r *request, version string, j int) {
	n.addLoad(j, -1)
	if r.attempts >= maxAttempts || !n.takeRetry() {
		n.refuse(r, kcapi.CodeUpstreamFailed)
		return
	}
	if r.escalated {
		n.dispatch(r, version)
		return
	}
	if n.choosePlan(r, false) {
		n.dispatch(r, r.plan.First)
	}
}

// retry asks the retry budget; baselines have none.
func (n *entryInstance) takeRetry() bool { return !n.sim.policy.limits || n.retryBudget.TakeRetry() }

// hedgeDelay is the default time until the second call of a lookup; the rules
// of the operation replace it.
const hedgeDelay = 30 * kcclock.Millisecond

// call sends a request to a plain service.
func (n *entryInstance) callService(r *request) {
	if !r.arrival.NonIdempotent {
		n.sendCall(r, n.pools[r.arrival.Service], -1)
		if n.sim.policy.hedge {
			n.sim.after(hedgeDelay, func() { n.sendHedge(r) })
		}
		return
	}
	if n.sim.storeDown || !n.sim.reachable(n.site, n.sim.instances[0].site) {
		n.refuse(r, kcapi.CodeStoreUnavailable)
		return
	}
	n.sim.after(logAppendDelay+2*n.sim.oneWayDelay(n.site, n.sim.instances[0].site), func() {
		n.sendCall(r, n.pools[r.arrival.Service], -1)
	})
}

func (n *entryInstance) sendHedge(r *request) {
	if n.sim.results[r.id].done || !n.retryBudget.TakeRetry() {
		return
	}
	n.sendCall(r, n.pools[r.arrival.Service], r.excluded)
}

func (n *entryInstance) sendCall(r *request, v *poolView, exclude int) {
	s := n.sim
	r.excluded = exclude
	k := -1
	if s.policy.runnerRule == runnerRandom || s.policy.runnerRule == runnerRoundRobin {
		k = n.chooseAnyRunner(r, v)
	} else {
		pl := kcroute.Placement{Zone: n.site.Zone, Region: n.site.Region, Exclude: exclude, AllowRemote: s.policy.runnerRule == runnerLeastLoad}
		if k = kcroute.ChooseUpstream(v.pool, pl, nil); k < 0 {
			pl.AllowRemote = true
			k = kcroute.ChooseUpstream(v.pool, pl, nil)
		}
	}
	if k < 0 {
		if exclude < 0 {
			n.refuse(r, kcapi.CodeNoUpstream)
		}
		return
	}
	r.excluded = k
	r.attempts++
	j := v.runners[k]
	run := s.runners[j]
	n.addLoad(j, 1)
	purpose := "call " + strconv.Itoa(j)
	w := &task{steps: callSteps(s.uniform(r.id, purpose)), seq: r.id, priority: r.arrived}
	w.onDone = func() {
		s.after(s.oneWayDelay(n.site, run.spec.Location), func() {
			n.addLoad(j, -1)
			n.finish(r, Result{
				LatencyMs: s.now + s.trace.Header.Environment.ClientDelayMs - r.arrived, Version: v.version, Good: true, Price: 1,
			})
		})
	}
	w.onLost = func() { s.after(failureDetectionDelay, func() { n.handleLostCall(r, v, j, k) }) }
	s.after(s.oneWayDelay(n.site, run.spec.Location), func() {
		if !s.reachable(n.site, run.spec.Location) {
			s.after(idleTimeout, func() { n.handleLostCall(r, v, j, k) })
			return
		}
		s.results[r.id].Executions++
		run.submit(w)
	})
}

// handleLostCall repeats lookups; the outcome of other calls stays unknown.
func (n *entryInstance) handleLostCall(r *request, v *poolView, j, k int) {
	n.addLoad(j, -1)
	if r.arrival.NonIdempotent {
		n.refuse(r, kcapi.CodeOutcomeUnknown)
		return
	}
	if r.attempts >= maxAttempts || !n.takeRetry() {
		n.refuse(r, kcapi.CodeUpstreamFailed)
		return
	}
	n.sendCall(r, v, k)
}

// One call in slowCallShare takes slowCallSteps times as long, as with a cold cache.
const (
	slowCallShare = 0.02
	slowCallSteps = 10
)

func callSteps(u float64) float64 {
	if u < slowCallShare {
		return slowCallSteps
	}
	return 0.5 + u
}

func (s *sim) sortedPoolKeys() []string {
	if s.poolKeys == nil {
		for v := range s.instances[0].pools {
			s.poolKeys = append(s.poolKeys, v)
		}
		slices.Sort(s.poolKeys)
	}
	return s.poolKeys
}
