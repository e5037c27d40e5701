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
	// queueMax bounds the waiting requests of an instance per version.
	queueMax = 2000
	// promoteMargin is the time before the latest start at which a request is
	// promoted. It covers the lag of load reports and the spread of run times.
	promoteMargin = 20 * kcclock.Second
	// patientLoad is the part of a pool that requests may fill that are not
	// due; the rest is for those that are.
	patientLoad = 0.85
	maxAttempts = 3
	prefixLimit = 4096
	// cachedShare is the part of a prompt that its prefix blocks cover.
	cachedShare = 0.8
	// Sizes of a token on the link between regions, in bytes.
	promptBytes = 4
	outputBytes = 200
	// linkRate is the share of the link that requests may use, in bytes per
	// second: half of 30 Mbit/s.
	linkRate = 30e6 / 8 / 2
	// batchSlowdown is the mean factor of a half-full batch on the time of a
	// step.
	batchSlowdown = 1.5
)

// request is an arrival on its way through an instance.
type request struct {
	id       int
	a        *Arrival
	node     *node
	arrived  kcclock.Millis
	deadline kcclock.Millis
	plan     kccascade.Plan
	reserve  kcclock.Millis
	price    int64
	cost     float64
	attempts int
	skip     int
	second   bool
	limited  bool
	// explored requests follow a cascade without enough evidence.
	explored bool
	session  string
}

// node is one entry instance.
type node struct {
	sim     *sim
	id      string
	site    Location
	pools   map[string]*poolView
	places  [][]place
	limiter *kclimit.Limiter
	budget  kcretry.Budget
	link    kclimit.Bucket
	turn    int
}

// poolView is what an instance knows of the runners of one version.
type poolView struct {
	version  string
	pool     *kcroute.Pool
	runners  []int
	sent     []int
	service  float64
	prefixes *kcroute.PrefixIndex
	queue    *kcqueue.Queue[*request]
}

// place is the position of a runner in a pool.
type place struct {
	view  *poolView
	index int
}

func newNode(s *sim, i int, site Location) *node {
	n := &node{
		sim: s, id: "entry-" + strconv.Itoa(i), site: site, pools: make(map[string]*poolView),
		places: make([][]place, len(s.runners)), limiter: kclimit.NewLimiter(),
		budget: kcretry.Budget{Share: 0.1, Burst: 20},
	}
	members := make(map[string][]kcroute.Upstream)
	ids := make(map[string][]int)
	for j, r := range s.runners {
		for _, v := range r.spec.Serves {
			members[v] = append(members[v], kcroute.Upstream{
				ID: "runner-" + strconv.Itoa(j), Zone: r.spec.Zone, Region: r.spec.Region, Slots: r.spec.Slots,
			})
			ids[v] = append(ids[v], j)
		}
	}
	for v, runners := range members {
		view := &poolView{
			version: v, pool: kcroute.NewPool(runners, n.serviceMs(v, ids[v][0])), runners: ids[v],
			sent: make([]int, len(runners)), prefixes: kcroute.NewPrefixIndex(prefixLimit),
			queue: kcqueue.New[*request](kcqueue.Options{MaxWaiting: queueMax, PromotionMarginMs: promoteMargin}),
		}
		view.service = float64(view.pool.ServiceMs)
		n.pools[v] = view
		for k, j := range ids[v] {
			n.places[j] = append(n.places[j], place{view, k})
		}
	}
	return n
}

// serviceMs returns the expected time of a mean request in a full batch.
func (n *node) serviceMs(version string, runner int) kcclock.Millis {
	const meanTokens = 400
	if v, ok := n.sim.rules.Versions[version]; ok {
		return kcroute.ExpectedRunTime(v, 0, meanTokens)
	}
	return kcclock.Millis(n.sim.runners[runner].spec.DecodeStepMs * batchSlowdown)
}

// servicePart is the weight of an answer in the mean time that a request of
// the pool holds a slot.
const servicePart = 0.02

// took learns the time that a request held a slot.
func (v *poolView) took(ran kcclock.Millis) {
	v.service += servicePart * (float64(ran) - v.service)
	v.pool.ServiceMs = kcclock.Millis(v.service)
}

func (n *node) refreshDown() {
	for j, r := range n.sim.runners {
		for _, p := range n.places[j] {
			p.view.pool.Upstreams[p.index].Down = r.down || !n.sim.reaches(n.site, r.spec.Location)
		}
	}
	for _, v := range n.pools {
		v.pool.RecomputeTotals()
	}
}

func (n *node) sampled() {
	for _, v := range n.pools {
		clear(v.sent)
	}
}

func (n *node) loadsArrived(loads []int) {
	for _, v := range n.pools {
		for k, j := range v.runners {
			if n.sim.reaches(n.site, n.sim.runners[j].spec.Location) {
				v.pool.Upstreams[k].Load = loads[j] + v.sent[k]
			}
		}
		v.pool.RecomputeTotals()
	}
	n.pumpAll()
}

func (n *node) addLoad(j, by int) {
	for _, p := range n.places[j] {
		p.view.pool.AddLoad(p.index, by)
		if by > 0 {
			p.view.sent[p.index] += by
		}
	}
}

func (n *node) arrive(r *request) {
	n.budget.AddFirstTry()
	w := n.sim.rules.Workspaces[r.a.Workspace]
	if n.sim.policy.limits && !n.admit(r, w) {
		return
	}
	if r.a.Service != "" {
		n.call(r)
		return
	}
	if r.a.Session != "" {
		r.session = n.sim.sessions[r.a.Session]
	}
	// A session does not wait in the queue.
	if !n.choose(r, r.session == "") {
		return
	}
	list := n.sim.rules.PriceList
	r.price = max(kcprice.NewQuote(list, r.plan.Cost, r.a.MaxWaitMs).Amount, 1)
	if !n.sim.policy.queue {
		n.dispatch(r, r.plan.First)
		return
	}
	n.enqueue(r)
}

func (n *node) admit(r *request, w kcrules.Workspace) bool {
	v := n.limiter.Admit(n.sim.now, r.a.Workspace, w, kclimit.Usage{Tokens: r.a.OutputTokens})
	if v.Exceeded != "" {
		n.refuse(r, kcapi.CodeRateLimited)
		return false
	}
	r.limited = true
	return true
}

func (n *node) refuse(r *request, code kcapi.Code) {
	n.end(r, Result{Code: code, Cost: r.cost, Price: r.price})
}

func (n *node) end(r *request, res Result) {
	if r.limited {
		n.limiter.Done(r.a.Workspace, r.a.OutputTokens, r.a.OutputTokens)
		r.limited = false
	}
	n.sim.finish(r, res)
}

// choose fixes the plan of r. With queued it counts the waiting requests of
// the instances into the wait. It refuses r if there is no way.
func (n *node) choose(r *request, queued bool) bool {
	req := n.routeRequest(r)
	req.Admitted = r.price > 0
	c := kcroute.ChoosePlan(n.sim.now, req, n.view(queued))
	if n.sim.policy.version != byCost {
		c = n.baseline(r, c)
	}
	if c.Version == "" {
		n.refuse(r, c.Code)
		return false
	}
	r.plan, r.reserve = c.Plan, c.ReserveMs
	r.explored = c.Plan.Second != "" && !c.Plan.MeetsTarget
	return true
}

func (n *node) routeRequest(r *request) kcroute.Request {
	req := kcroute.Request{
		ID: strconv.Itoa(r.id), Workspace: n.sim.rules.Workspaces[r.a.Workspace], Class: r.a.Class, Model: "auto",
		PromptTokens: r.a.PromptTokens, OutputTokens: r.a.OutputTokens, SessionVersion: r.session, Deadline: r.deadline,
		Cascade: n.sim.policy.cascade && !r.a.NonIdempotent,
	}
	req.Explore = req.Cascade
	if n.sim.policy.version != byCost {
		req.Deadline = 0
	}
	return req
}

func (n *node) view(queued bool) kcroute.View {
	return kcroute.View{
		Catalog: n.sim.catalog, Learner: n.learned(),
		Rollout: n.sim.rollouts.inForce(n.site.Region),
		Wait: func(version string) (kcclock.Millis, bool) {
			v := n.pools[version]
			if v == nil || v.pool.Live == 0 {
				return 0, false
			}
			wait := v.pool.ExpectedWait()
			if queued && v.queue.Len() > 0 {
				ahead := v.queue.Len() * len(n.sim.nodes)
				wait += v.pool.ServiceMs * kcclock.Millis(ahead) / kcclock.Millis(v.pool.Slots)
			}
			return wait, true
		},
	}
}

func (n *node) learned() *kccascade.Learner {
	if n.sim.policy.version != byCost {
		return nil
	}
	return n.sim.learner
}

// baseline replaces the choice by that of the policy among the versions that
// may be used.
func (n *node) baseline(r *request, c kcroute.Choice) kcroute.Choice {
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
		if (n.sim.policy.version == largest && p.Cost > best.Cost) || (n.sim.policy.version == cheapest && p.Cost < best.Cost) {
			best = p
		}
	}
	if n.sim.policy.version == anyVersion {
		best = n.anyVersion(r, usable)
	}
	c.Plan, c.Version = best, best.First
	return c
}

func (n *node) anyVersion(r *request, usable []kccascade.Plan) kccascade.Plan {
	n.turn++
	switch n.sim.policy.place {
	case randomly:
		return usable[int(n.sim.draw(r.id, "version")*float64(len(usable)))]
	case inTurn:
		return usable[n.turn%len(usable)]
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

// enqueue puts r into the line for its version and sends what may go.
func (n *node) enqueue(r *request) {
	v := n.pools[r.plan.First]
	w := n.sim.rules.Workspaces[r.a.Workspace]
	shed, full := v.queue.Push(kcqueue.Item[*request]{
		Value: r, LatestStart: r.deadline - r.reserve, Workspace: r.a.Workspace, Weight: w.Weight,
		Work: float64(r.a.OutputTokens),
	})
	if full {
		n.refuse(shed.Value, kcapi.CodeOverloaded)
	}
	n.pump(v)
}

func (n *node) pumpAll() {
	for _, key := range n.sim.poolOrder() {
		n.pump(n.pools[key])
	}
}

// pump sends waiting requests while the pool has room. Requests whose latest
// start is near go out even without room, to another version if that helps.
func (n *node) pump(v *poolView) {
	for v.queue.Len() > 0 {
		it, due := v.queue.PopDue(n.sim.now)
		if due {
			if n.choose(it.Value, false) {
				n.dispatch(it.Value, it.Value.plan.First)
			}
			continue
		}
		if float64(v.pool.Load) >= patientLoad*float64(v.pool.Slots) {
			return
		}
		it, _ = v.queue.Pop(n.sim.now)
		// The rules may have changed while the request waited.
		if !n.choose(it.Value, false) {
			continue
		}
		n.dispatch(it.Value, it.Value.plan.First)
	}
	v.queue.TrimIdleWorkspaces()
}

func (n *node) dispatch(r *request, version string) {
	v := n.pools[version]
	k := n.pick(r, v)
	if k < 0 {
		n.refuse(r, kcapi.CodeNoUpstream)
		return
	}
	r.attempts++
	r.skip = k
	j := v.runners[k]
	run := n.sim.runners[j]
	n.countLink(run, r.a)
	n.addLoad(j, 1)
	w := &work{seq: r.id}
	w.done = func() {
		ran := n.sim.now - w.started
		n.sim.after(n.sim.delay(n.site, run.spec.Location), func() { n.answered(r, version, j, ran) })
	}
	w.lost = func() { n.sim.after(listLag, func() { n.lost(r, version, j) }) }
	if n.sim.policy.queue {
		w.priority = r.deadline
	} else {
		w.priority = r.arrived
	}
	n.sim.after(n.sim.delay(n.site, run.spec.Location), func() {
		if !n.sim.reaches(n.site, run.spec.Location) {
			n.sim.after(silence, func() { n.lost(r, version, j) })
			return
		}
		w.steps = n.prefill(r, v, k, run) + float64(r.a.OutputTokens)
		run.submit(w)
	})
}

func (n *node) pick(r *request, v *poolView) int {
	switch n.sim.policy.place {
	case randomly, inTurn:
		return n.pickAny(r, v)
	case leastLoad:
		return kcroute.ChooseUpstream(v.pool, kcroute.Placement{
			Zone: n.site.Zone, Region: n.site.Region, AllowRemote: true, Exclude: r.skip,
		}, nil)
	default:
		pl := kcroute.Placement{
			Prefixes: r.a.Prefixes, Zone: n.site.Zone, Region: n.site.Region, Exclude: r.skip, AllowRemote: n.linkHasRoom(r),
		}
		k := kcroute.ChooseUpstream(v.pool, pl, v.prefixes)
		if k < 0 {
			pl.AllowRemote, pl.Exclude = true, -1
			k = kcroute.ChooseUpstream(v.pool, pl, v.prefixes)
		}
		return k
	}
}

func (n *node) pickAny(r *request, v *poolView) int {
	var live []int
	for k := range v.pool.Upstreams {
		if !v.pool.Upstreams[k].Down {
			live = append(live, k)
		}
	}
	if len(live) == 0 {
		return -1
	}
	if n.sim.policy.place == randomly {
		return live[int(n.sim.draw(r.id, "runner")*float64(len(live)))]
	}
	n.turn++
	return live[n.turn%len(live)]
}

func linkUse(a *Arrival) float64 {
	return float64(a.PromptTokens*promptBytes + a.OutputTokens*outputBytes)
}

// linkHasRoom asks the byte budget of this instance's part of the link.
func (n *node) linkHasRoom(r *request) bool {
	rate := linkRate / float64(len(n.sim.nodes))
	return n.link.Has(n.sim.now, linkUse(r.a), rate, rate)
}

func (n *node) countLink(run *runner, a *Arrival) {
	if run.spec.Region != n.site.Region {
		rate := linkRate / float64(len(n.sim.nodes))
		n.link.Take(n.sim.now, linkUse(a), rate, rate)
		n.sim.linkBytes += int64(linkUse(a))
	}
}

// prefill returns the steps for the part of the prompt that is not cached and
// passes on the cache events, which arrive late or not at all.
func (n *node) prefill(r *request, v *poolView, k int, run *runner) float64 {
	tokens := float64(r.a.PromptTokens)
	if len(r.a.Prefixes) > 0 {
		hit := run.cache.hit(r.a.Prefixes)
		tokens *= 1 - cachedShare*float64(hit)/float64(len(r.a.Prefixes))
		evicted := run.cache.add(r.a.Prefixes)
		if n.sim.draw(r.id, "cacheEvent") >= n.sim.trace.Header.Environment.CacheEventLossShare {
			n.sim.after(n.sim.trace.Header.Environment.LoadReportDelayMs, func() { n.sim.cacheEvent(v.version, k, r.a.Prefixes, evicted) })
		}
	}
	return tokens / prefillChunk
}

func (s *sim) cacheEvent(version string, k int, added, evicted []uint64) {
	for _, n := range s.nodes {
		x := n.pools[version].prefixes
		for _, p := range added {
			x.Add(p, k)
		}
		for _, p := range evicted {
			x.Remove(p, k)
		}
	}
}
