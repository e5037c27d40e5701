package kcreplay

import (
	"strconv"

	"github.com/kingcuprail/kingcuprail/internal/kccascade"
	"github.com/kingcuprail/kingcuprail/internal/kclimit"
	"github.com/kingcuprail/kingcuprail/internal/kcprice"
	"github.com/kingcuprail/kingcuprail/internal/kcqueue"
	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxQueueLength bounds the queued requests of an instance per version.
	maxQueueLength = 2000
	// promotionMargin is the time before the latest start of a queued request at
	// which it takes precedence over the fair order. It covers the delay of load
	// reports and the variance of run times.
	promotionMargin = 20 * kcclock.Second
	// notDueLoadShare is the share of a pool's slots that requests may use whose
	// latest start is not near. The rest is reserved for those whose latest start
	// is near.
	notDueLoadShare     = 0.85
	maxAttempts         = 3
	prefixIndexCapacity = 4096
	// prefixTokenShare is the share of a prompt's tokens that its prefix blocks
	// cover.
	prefixTokenShare = 0.8
	// Bytes per token on the link between regions.
	promptTokenBytes = 4
	outputTokenBytes = 200
	// linkBytesPerSecond is the bandwidth of the link between regions that requests
	// may use: half of 30 Mbit/s.
	linkBytesPerSecond = 30e6 / 8 / 2
	// meanBatchSlowdown is the factor by which a half-full batch prolongs a decoding
	// step.
	meanBatchSlowdown = 1.5
)

// request is the state of an arrival that an instance processes.
type request struct {
	id       int
	arrival  *Arrival
	instance *entryInstance
	arrived  kcclock.Millis
	deadline kcclock.Millis
	plan     kccascade.Plan
	// runReserve is the time before the deadline at which the request must start.
	runReserve kcclock.Millis
	price      int64
	cost       float64
	attempts   int
	// excluded is the index in its pool of the runner to avoid, or -1.
	excluded int
	// escalated is true once the request goes to the second version of its plan.
	escalated bool
	// countedByLimiter is true while the limiter counts the request as running.
	countedByLimiter bool
	// explored marks requests that try a cascade without enough evidence.
	explored bool
	// sessionVersion is the version that the session is bound to, or "".
	sessionVersion string
}

// entryInstance is one simulated instance of the router.
type entryInstance struct {
	sim      *sim
	id       string
	location Location
	pools    map[string]*poolView
	// positions holds the pool positions of each runner.
	positions         [][]poolPosition
	limiter           *kclimit.Limiter
	retryBudget       kcretry.Budget
	linkBudget        kclimit.Bucket
	roundRobinCounter int
}

// poolView is what an instance knows about the runners of one version or plain
// service.
type poolView struct {
	version string
	pool    *kcroute.Pool
	// runners maps the index of a runner in the pool to that in the simulation.
	runners []int
	// sentSinceReport counts the requests sent to each runner since the last load
	// sample was taken.
	sentSinceReport []int
	// meanRunTime is the moving average behind pool.ServiceMs, in milliseconds.
	meanRunTime float64
	prefixes    *kcroute.PrefixIndex
	queue       *kcqueue.Queue[*request]
}

// poolPosition is the position of a runner in one of its pools.
type poolPosition struct {
	view  *poolView
	index int
}

func newEntryInstance(s *sim, i int, location Location) *entryInstance {
	n := &entryInstance{
		sim: s, id: "entry-" + strconv.Itoa(i), location: location, pools: make(map[string]*poolView),
		positions: make([][]poolPosition, len(s.runners)), limiter: kclimit.NewLimiter(),
		retryBudget: kcretry.Budget{Share: 0.1, Burst: 20},
	}
	upstreams := make(map[string][]kcroute.Upstream)
	runnerIndexes := make(map[string][]int)
	for j, r := range s.runners {
		for _, v := range r.spec.Serves {
			upstreams[v] = append(upstreams[v], kcroute.Upstream{
				ID: "runner-" + strconv.Itoa(j), Zone: r.spec.Zone, Region: r.spec.Region, Slots: r.spec.Slots,
			})
			runnerIndexes[v] = append(runnerIndexes[v], j)
		}
	}
	for v, runners := range upstreams {
		view := &poolView{
			version: v, pool: kcroute.NewPool(runners, n.expectedServiceMs(v, runnerIndexes[v][0])), runners: runnerIndexes[v],
			sentSinceReport: make([]int, len(runners)), prefixes: kcroute.NewPrefixIndex(prefixIndexCapacity),
			queue: kcqueue.New[*request](kcqueue.Options{MaxWaiting: maxQueueLength, PromotionMarginMs: promotionMargin}),
		}
		view.meanRunTime = float64(view.pool.ServiceMs)
		n.pools[v] = view
		for k, j := range runnerIndexes[v] {
			n.positions[j] = append(n.positions[j], poolPosition{view, k})
		}
	}
	return n
}

// expectedServiceMs returns the expected time that an average request holds a
// slot. A chat has 400 output tokens at the declared time per token, without its
// prompt; a call to a plain service takes a step of a half-full batch.
func (n *entryInstance) expectedServiceMs(version string, runner int) kcclock.Millis {
	const meanOutputTokens = 400
	if v, ok := n.sim.rules.Versions[version]; ok {
		return kcroute.ExpectedRunTime(v, 0, meanOutputTokens)
	}
	return kcclock.Millis(n.sim.runners[runner].spec.DecodeStepMs * meanBatchSlowdown)
}

// runTimeWeight is the weight of a new answer in the exponential moving average
// of the time that a request of the pool holds a slot.
const runTimeWeight = 0.02

// recordRunTime updates the average with the time that a request held a slot.
func (v *poolView) recordRunTime(runTime kcclock.Millis) {
	v.meanRunTime += runTimeWeight * (float64(runTime) - v.meanRunTime)
	v.pool.ServiceMs = kcclock.Millis(v.meanRunTime)
}

// updateReachability marks runners that are stopped or in an unreachable region
// as down in all pools.
func (n *entryInstance) updateReachability() {
	for j, r := range n.sim.runners {
		for _, p := range n.positions[j] {
			p.view.pool.Upstreams[p.index].Down = r.down || !n.sim.reachable(n.location, r.spec.Location)
		}
	}
	for _, v := range n.pools {
		v.pool.RecomputeTotals()
	}
}

// resetSentCounts is called when the loads are sampled. Requests sent before count
// as part of the sample.
func (n *entryInstance) resetSentCounts() {
	for _, v := range n.pools {
		clear(v.sentSinceReport)
	}
}

// applyLoadReport sets the loads to those reported plus the requests sent since the
// sample was taken.
func (n *entryInstance) applyLoadReport(loads []int) {
	for _, v := range n.pools {
		for k, j := range v.runners {
			if n.sim.reachable(n.location, n.sim.runners[j].spec.Location) {
				v.pool.Upstreams[k].Load = loads[j] + v.sentSinceReport[k]
			}
		}
		v.pool.RecomputeTotals()
	}
	n.dispatchAllQueues()
}

func (n *entryInstance) addLoad(j, by int) {
	for _, p := range n.positions[j] {
		p.view.pool.AddLoad(p.index, by)
		if by > 0 {
			p.view.sentSinceReport[p.index] += by
		}
	}
}

func (n *entryInstance) handleArrival(r *request) {
	n.retryBudget.AddFirstTry()
	w := n.sim.rules.Workspaces[r.arrival.Workspace]
	if n.sim.policy.limits && !n.admit(r, w) {
		return
	}
	if r.arrival.Service != "" {
		n.callService(r)
		return
	}
	if r.arrival.Session != "" {
		r.sessionVersion = n.sim.sessionVersions[r.arrival.Session]
	}
	// A request of a bound session is planned as if it did not wait in the queue.
	if !n.choosePlan(r, r.sessionVersion == "") {
		return
	}
	list := n.sim.rules.PriceList
	r.price = max(kcprice.NewQuote(list, r.plan.Cost, r.arrival.MaxWaitMs).Amount, 1)
	if !n.sim.policy.queue {
		n.dispatch(r, r.plan.First)
		return
	}
	n.enqueue(r)
}

func (n *entryInstance) admit(r *request, w kcrules.Workspace) bool {
	v := n.limiter.Admit(n.sim.now, r.arrival.Workspace, w, kclimit.Usage{Tokens: r.arrival.OutputTokens})
	if v.Exceeded != "" {
		n.refuse(r, kcapi.CodeRateLimited)
		return false
	}
	r.countedByLimiter = true
	return true
}

func (n *entryInstance) refuse(r *request, code kcapi.Code) {
	n.finish(r, Result{Code: code, Cost: r.cost, Price: r.price})
}

func (n *entryInstance) finish(r *request, res Result) {
	if r.countedByLimiter {
		n.limiter.Done(r.arrival.Workspace, r.arrival.OutputTokens, r.arrival.OutputTokens)
		r.countedByLimiter = false
	}
	n.sim.finishRequest(r, res)
}

// choosePlan selects the plan of r. With countQueue the expected wait includes the
// queued requests of all instances, estimated from the queue of this one. It
// refuses r and returns false if no version can serve it.
func (n *entryInstance) choosePlan(r *request, countQueue bool) bool {
	req := n.routeRequest(r)
	req.Admitted = r.price > 0
	c := kcroute.ChoosePlan(n.sim.now, req, n.routeView(countQueue))
	if n.sim.policy.versionRule != versionByCost {
		c = n.applyBaseline(r, c)
	}
	if c.Version == "" {
		n.refuse(r, c.Code)
		return false
	}
	r.plan, r.runReserve = c.Plan, c.ReserveMs
	r.explored = c.Plan.Second != "" && !c.Plan.MeetsTarget
	return true
}

func (n *entryInstance) routeRequest(r *request) kcroute.Request {
	req := kcroute.Request{
		ID: strconv.Itoa(r.id), Workspace: n.sim.rules.Workspaces[r.arrival.Workspace], Class: r.arrival.Class, Model: "auto",
		PromptTokens: r.arrival.PromptTokens, OutputTokens: r.arrival.OutputTokens,
		SessionVersion: r.sessionVersion, Deadline: r.deadline,
		Cascade: n.sim.policy.cascade && !r.arrival.NonIdempotent,
	}
	req.Explore = req.Cascade
	if n.sim.policy.versionRule != versionByCost {
		req.Deadline = 0
	}
	return req
}

func (n *entryInstance) routeView(countQueue bool) kcroute.View {
	return kcroute.View{
		Catalog: n.sim.catalog, Learner: n.learner(),
		Rollout: n.sim.rollouts.effectiveRollouts(n.location.Region),
		Wait: func(version string) (kcclock.Millis, bool) {
			v := n.pools[version]
			if v == nil || v.pool.Live == 0 {
				return 0, false
			}
			wait := v.pool.ExpectedWait()
			if countQueue && v.queue.Len() > 0 {
				ahead := v.queue.Len() * len(n.sim.instances)
				wait += v.pool.ServiceMs * kcclock.Millis(ahead) / kcclock.Millis(v.pool.Slots)
			}
			return wait, true
		},
	}
}

func (n *entryInstance) learner() *kccascade.Learner {
	if n.sim.policy.versionRule != versionByCost {
		return nil
	}
	return n.sim.learner
}

// applyBaseline replaces the choice of the router by that of a baseline policy
// among the single versions that the request may use.
func (n *entryInstance) applyBaseline(r *request, c kcroute.Choice) kcroute.Choice {
	var usable []kccascade.Plan
	for _, p := range c.Plans {
		if p.Second == "" {
			usable = append(usable, p)
		}
	}
	if len(usable) == 0 {
		return c
	}
	best := usable[0]
	for _, p := range usable[1:] {
		if (n.sim.policy.versionRule == versionLargest && p.Cost > best.Cost) ||
			(n.sim.policy.versionRule == versionCheapest && p.Cost < best.Cost) {
			best = p
		}
	}
	if n.sim.policy.versionRule == versionAny {
		best = n.chooseAnyVersion(r, usable)
	}
	c.Plan, c.Version = best, best.First
	return c
}

// chooseAnyVersion selects a version without regard to cost: at random, in turn or
// by the lowest load per slot, like the runner rule of the policy.
func (n *entryInstance) chooseAnyVersion(r *request, usable []kccascade.Plan) kccascade.Plan {
	n.roundRobinCounter++
	switch n.sim.policy.runnerRule {
	case runnerRandom:
		return usable[int(n.sim.uniform(r.id, "version")*float64(len(usable)))]
	case runnerRoundRobin:
		return usable[n.roundRobinCounter%len(usable)]
	default:
		best := usable[0]
		for _, p := range usable[1:] {
			a, b := n.pools[p.First].pool, n.pools[best.First].pool
			if a.Load*b.Slots < b.Load*a.Slots {
				best = p
			}
		}
		return best
	}
}

// enqueue adds r to the queue of its version and dispatches from that queue.
func (n *entryInstance) enqueue(r *request) {
	v := n.pools[r.plan.First]
	w := n.sim.rules.Workspaces[r.arrival.Workspace]
	shed, full := v.queue.Push(kcqueue.Item[*request]{
		Value: r, LatestStart: r.deadline - r.runReserve, Workspace: r.arrival.Workspace, Weight: w.Weight,
		Work: float64(r.arrival.OutputTokens),
	})
	if full {
		n.refuse(shed.Value, kcapi.CodeOverloaded)
	}
	n.dispatchQueued(v)
}

func (n *entryInstance) dispatchAllQueues() {
	for _, key := range n.sim.sortedPoolKeys() {
		n.dispatchQueued(n.pools[key])
	}
}

// dispatchQueued sends queued requests while the load of the pool is below
// notDueLoadShare. Requests whose latest start is near are sent regardless of
// the load, to another version if the plan chosen now prefers it.
func (n *entryInstance) dispatchQueued(v *poolView) {
	for v.queue.Len() > 0 {
		it, due := v.queue.PopDue(n.sim.now)
		if due {
			if n.choosePlan(it.Value, false) {
				n.dispatch(it.Value, it.Value.plan.First)
			}
			continue
		}
		if float64(v.pool.Load) >= notDueLoadShare*float64(v.pool.Slots) {
			return
		}
		it, _ = v.queue.Pop(n.sim.now)
		// The rules may have changed while the request was queued.
		if !n.choosePlan(it.Value, false) {
			continue
		}
		n.dispatch(it.Value, it.Value.plan.First)
	}
	v.queue.TrimIdleWorkspaces()
}

func (n *entryInstance) dispatch(r *request, version string) {
	v := n.pools[version]
	k := n.chooseRunner(r, v)
	if k < 0 {
		n.refuse(r, kcapi.CodeNoUpstream)
		return
	}
	r.attempts++
	r.excluded = k
	j := v.runners[k]
	run := n.sim.runners[j]
	n.chargeLink(run, r.arrival)
	n.addLoad(j, 1)
	t := &task{seq: r.id}
	t.onDone = func() {
		runTime := n.sim.now - t.startedAt
		n.sim.after(n.sim.oneWayDelay(n.location, run.spec.Location), func() { n.handleAnswer(r, version, j, runTime) })
	}
	t.onLost = func() { n.sim.after(failureDetectionDelay, func() { n.handleLostAttempt(r, version, j) }) }
	if n.sim.policy.queue {
		t.priority = r.deadline
	} else {
		t.priority = r.arrived
	}
	n.sim.after(n.sim.oneWayDelay(n.location, run.spec.Location), func() {
		if !n.sim.reachable(n.location, run.spec.Location) {
			n.sim.after(idleTimeout, func() { n.handleLostAttempt(r, version, j) })
			return
		}
		t.steps = n.prefillSteps(r, v, k, run) + float64(r.arrival.OutputTokens)
		run.submit(t)
	})
}

func (n *entryInstance) chooseRunner(r *request, v *poolView) int {
	switch n.sim.policy.runnerRule {
	case runnerRandom, runnerRoundRobin:
		return n.chooseAnyRunner(r, v)
	case runnerLeastLoad:
		return kcroute.ChooseUpstream(v.pool, kcroute.Placement{
			Zone: n.location.Zone, Region: n.location.Region, AllowRemote: true, Exclude: r.excluded,
		}, nil)
	default:
		pl := kcroute.Placement{
			Prefixes: r.arrival.Prefixes, Zone: n.location.Zone, Region: n.location.Region, Exclude: r.excluded,
			AllowRemote: n.linkHasCapacity(r),
		}
		k := kcroute.ChooseUpstream(v.pool, pl, v.prefixes)
		if k < 0 {
			pl.AllowRemote, pl.Exclude = true, -1
			k = kcroute.ChooseUpstream(v.pool, pl, v.prefixes)
		}
		return k
	}
}

func (n *entryInstance) chooseAnyRunner(r *request, v *poolView) int {
	var live []int
	for k := range v.pool.Upstreams {
		if !v.pool.Upstreams[k].Down {
			live = append(live, k)
		}
	}
	if len(live) == 0 {
		return -1
	}
	if n.sim.policy.runnerRule == runnerRandom {
		return live[int(n.sim.uniform(r.id, "runner")*float64(len(live)))]
	}
	n.roundRobinCounter++
	return live[n.roundRobinCounter%len(live)]
}

// requestLinkBytes returns the bytes of a request and its answer on the link
// between regions.
func requestLinkBytes(a *Arrival) float64 {
	return float64(a.PromptTokens*promptTokenBytes + a.OutputTokens*outputTokenBytes)
}

// linkHasCapacity reports whether this instance's share of the link between
// regions has capacity for r.
func (n *entryInstance) linkHasCapacity(r *request) bool {
	rate := linkBytesPerSecond / float64(len(n.sim.instances))
	return n.linkBudget.Has(n.sim.now, requestLinkBytes(r.arrival), rate, rate)
}

// chargeLink takes the bytes of a request to another region from the link budget.
func (n *entryInstance) chargeLink(run *runner, a *Arrival) {
	if run.spec.Region != n.location.Region {
		rate := linkBytesPerSecond / float64(len(n.sim.instances))
		n.linkBudget.Take(n.sim.now, requestLinkBytes(a), rate, rate)
		n.sim.linkBytes += int64(requestLinkBytes(a))
	}
}

// prefillSteps returns the steps for the part of the prompt that is not cached. It
// updates the prefix cache of the runner and sends the cache events, which arrive
// late or are lost.
func (n *entryInstance) prefillSteps(r *request, v *poolView, k int, run *runner) float64 {
	tokens := float64(r.arrival.PromptTokens)
	if len(r.arrival.Prefixes) > 0 {
		hit := run.cache.countLeadingHits(r.arrival.Prefixes)
		tokens *= 1 - prefixTokenShare*float64(hit)/float64(len(r.arrival.Prefixes))
		evicted := run.cache.add(r.arrival.Prefixes)
		if n.sim.uniform(r.id, "cacheEvent") >= n.sim.trace.Header.Environment.CacheEventLossShare {
			n.sim.after(n.sim.trace.Header.Environment.LoadReportDelayMs, func() {
				n.sim.applyCacheEvent(v.version, k, r.arrival.Prefixes, evicted)
			})
		}
	}
	return tokens / prefillChunkTokens
}

// applyCacheEvent updates the prefix indexes of all instances.
func (s *sim) applyCacheEvent(version string, k int, added, evicted []uint64) {
	for _, n := range s.instances {
		index := n.pools[version].prefixes
		for _, p := range added {
			index.Add(p, k)
		}
		for _, p := range evicted {
			index.Remove(p, k)
		}
	}
}
