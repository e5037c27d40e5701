package kcreplay

import (
	"slices"
	"strconv"

	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// slowRunTimeRatio is the ratio of actual to expected run time above which an
// answer counts as slow. A full batch takes 1.3 times the expected time.
const slowRunTimeRatio = 2

// handleAnswer processes the answer of version from runner j. runTime is the
// time that the request held a slot there. A failed check sends the request to
// the second version of its plan if possible.
func (n *entryInstance) handleAnswer(r *request, version string, j int, runTime kcclock.Millis) {
	s := n.sim
	if !s.reachable(n.location, s.runners[j].spec.Location) {
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
	s.rollouts.recordSignal(n, arm, kcrollout.Slow,
		runTime > slowRunTimeRatio*kcroute.ExpectedRunTime(v, r.arrival.PromptTokens, r.arrival.OutputTokens))
	if !passed && n.escalate(r) {
		return
	}
	n.deliverAnswer(r, version, good)
	n.dispatchAllQueues()
}

// stratum returns the stratum of the rollout evidence: the class, with a suffix
// for answers of an escalated request.
func stratum(r *request) string {
	if r.escalated {
		return string(r.arrival.Class) + "/second"
	}
	return string(r.arrival.Class)
}

// escalate sends r to the second version of its cascade if the expected wait and
// run time end before the deadline and the rollout allows that version.
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
	if n.sim.now+v.pool.ExpectedWait()+run > r.deadline || !n.sim.rollouts.allows(n.location.Region, n.routeRequest(r), second) {
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
	// Exploratory cascades are always rated, other answers by RatedShare.
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

// handleLostAttempt handles a chat attempt that will get no answer. Chats are
// idempotent, so they are retried on another runner.
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

// takeRetry reports whether the retry budget allows one more attempt and charges
// it. Policies without limits have no retry budget.
func (n *entryInstance) takeRetry() bool { return !n.sim.policy.limits || n.retryBudget.TakeRetry() }

// hedgeDelay is the default delay before a hedged request of a lookup. The rules
// of an operation override it in the router.
const hedgeDelay = 30 * kcclock.Millisecond

// callService sends a request to a plain service. Idempotent calls may be hedged.
// A non-idempotent call first waits for an append to the log, which is at the
// location of the first instance.
func (n *entryInstance) callService(r *request) {
	if !r.arrival.NonIdempotent {
		n.sendCall(r, n.pools[r.arrival.Service], -1)
		if n.sim.policy.hedge {
			n.sim.after(hedgeDelay, func() { n.sendHedge(r) })
		}
		return
	}
	if n.sim.storeDown || !n.sim.reachable(n.location, n.sim.instances[0].location) {
		n.refuse(r, kcapi.CodeStoreUnavailable)
		return
	}
	n.sim.after(logAppendDelay+2*n.sim.oneWayDelay(n.location, n.sim.instances[0].location), func() {
		n.sendCall(r, n.pools[r.arrival.Service], -1)
	})
}

// sendHedge sends a second call to another runner if the first one is still
// unanswered and the retry budget allows it.
func (n *entryInstance) sendHedge(r *request) {
	if n.sim.results[r.id].done || !n.retryBudget.TakeRetry() {
		return
	}
	n.sendCall(r, n.pools[r.arrival.Service], r.excluded)
}

// sendCall sends the call to a runner of the pool other than exclude; -1 excludes
// none. The random and round-robin rules ignore exclude. The router uses other
// regions only if the local one has no runner; the simple baselines choose among
// all regions. If no runner is left, a first call is refused, and a hedge or a
// retry is dropped.
func (n *entryInstance) sendCall(r *request, v *poolView, exclude int) {
	s := n.sim
	r.excluded = exclude
	k := -1
	if s.policy.runnerRule == runnerRandom || s.policy.runnerRule == runnerRoundRobin {
		k = n.chooseAnyRunner(r, v)
	} else {
		pl := kcroute.Placement{
			Zone: n.location.Zone, Region: n.location.Region, Exclude: exclude, AllowRemote: s.policy.runnerRule == runnerLeastLoad,
		}
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
	t := &task{steps: callSteps(s.uniform(r.id, purpose)), seq: r.id, priority: r.arrived}
	t.onDone = func() {
		s.after(s.oneWayDelay(n.location, run.spec.Location), func() {
			n.addLoad(j, -1)
			n.finish(r, Result{
				LatencyMs: s.now + s.trace.Header.Environment.ClientDelayMs - r.arrived, Version: v.version, Good: true, Price: 1,
			})
		})
	}
	t.onLost = func() { s.after(failureDetectionDelay, func() { n.handleLostCall(r, v, j, k) }) }
	s.after(s.oneWayDelay(n.location, run.spec.Location), func() {
		if !s.reachable(n.location, run.spec.Location) {
			s.after(idleTimeout, func() { n.handleLostCall(r, v, j, k) })
			return
		}
		s.results[r.id].Executions++
		run.submit(t)
	})
}

// handleLostCall handles a call to a plain service that will get no answer. It
// retries idempotent calls; the outcome of other calls stays unknown. k is the
// index of the runner in the pool, j that among all runners.
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

// slowCallShare of the calls take slowCallSteps steps, as with a cold cache. The
// other calls take 0.5 to 1.5 steps.
const (
	slowCallShare = 0.02
	slowCallSteps = 10
)

// callSteps returns the duration of a call in steps for u, a uniform number from
// 0 to 1.
func callSteps(u float64) float64 {
	if u < slowCallShare {
		return slowCallSteps
	}
	return 0.5 + u
}

// sortedPoolKeys returns the keys of the pools in a fixed order, so that runs are
// repeatable.
func (s *sim) sortedPoolKeys() []string {
	if s.poolKeys == nil {
		for v := range s.instances[0].pools {
			s.poolKeys = append(s.poolKeys, v)
		}
		slices.Sort(s.poolKeys)
	}
	return s.poolKeys
}
