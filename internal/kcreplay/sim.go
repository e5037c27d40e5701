package kcreplay

import (
	"container/heap"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kccascade"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// One-way delays of the simulated network, the delay of an append to the log, and
// the intervals of background tasks.
const (
	interZoneDelay   = kcclock.Millis(1)
	interRegionDelay = 10 * kcclock.Millisecond
	logAppendDelay   = 8 * kcclock.Millisecond
	// failureDetectionDelay is the time until instances notice that a runner has
	// stopped or restarted, or that a region has become unreachable or reachable.
	failureDetectionDelay = kcclock.Second
	// publishDelay is the time until a published change takes effect.
	publishDelay = 3 * kcclock.Second
	// peerExchangeInterval is the interval at which instances exchange evidence and
	// demand.
	peerExchangeInterval = 5 * kcclock.Second
	// loadReportInterval is the interval between two load reports of a runner.
	loadReportInterval = 500 * kcclock.Millisecond
	// idleTimeout is the time without data after which an attempt counts as lost and
	// is retried if possible.
	idleTimeout = 2 * kcclock.Second
	// drainDuration is the longest time that the simulation continues after the end
	// of the arrivals.
	drainDuration = 3 * kcclock.Hour
)

type event struct {
	at  kcclock.Millis
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

// sim is a discrete-event simulation of a trace under one policy.
type sim struct {
	trace  *Trace
	policy Policy
	now    kcclock.Millis
	seq    int
	events eventHeap

	runners   []*runner
	instances []*entryInstance
	// rules are the current rules; revision counts the changes to them.
	rules    *kcrules.Rules
	catalog  *kcroute.Catalog
	revision int64

	// Active faults; qualityFactors holds those of the versions.
	partitioned, storeDown, rolloutStuck bool
	qualityFactors                       map[string]float64
	sessionVersions                      map[string]string
	learner                              *kccascade.Learner
	rollouts                             *rollouts

	results []Result
	// unfinished counts the arrivals without a result.
	unfinished int
	poolKeys   []string
	linkBytes  int64
	// degradedAnswers counts the answers of a version after its quality dropped.
	degradedAnswers int
	// degradedAt is the time of the last quality drop and rolloutStoppedAt that of
	// the first stop of a rollout; -1 means none.
	degradedAt       kcclock.Millis
	rolloutStoppedAt kcclock.Millis
}

// Result is the outcome of one arrival.
type Result struct {
	// Code is the error code of a refused request, or "".
	Code kcapi.Code
	// LatencyMs is the time until the caller received the whole answer.
	LatencyMs kcclock.Millis
	Version   string
	Good      bool
	InTime    bool
	// Cost is the list price of all answers to the request in micro-units of the
	// currency; Price is the quoted price.
	Cost  float64
	Price int64
	// Executions counts the calls that reached a plain service.
	Executions int
	done       bool
}

// simulate runs the trace under the policy until all arrivals have a result, but at
// most until drainDuration after the end of the arrivals.
func simulate(t *Trace, p Policy) *sim {
	s := &sim{
		trace: t, policy: p, qualityFactors: make(map[string]float64), sessionVersions: make(map[string]string),
		learner: kccascade.NewLearner(kccascade.Options{}), results: make([]Result, len(t.Arrivals)),
		unfinished: len(t.Arrivals), degradedAt: -1, rolloutStoppedAt: -1,
	}
	rules := t.Header.Rules
	s.setRules(&rules)
	for _, u := range t.Header.Environment.Upstreams {
		r := &runner{spec: u, sim: s, cache: newPrefixCache(u.MaxCachedPrefixes)}
		r.running.byEndStep = true
		s.runners = append(s.runners, r)
	}
	for i, location := range t.Header.Environment.EntryInstances {
		s.instances = append(s.instances, newEntryInstance(s, i, location))
	}
	s.rollouts = newRollouts(s)
	for i := range t.Faults {
		s.scheduleFault(&t.Faults[i])
	}
	if len(t.Arrivals) > 0 {
		s.after(t.Arrivals[0].At, func() { s.processArrival(0) })
	}
	s.every(loadReportInterval, s.reportLoads)
	s.every(peerExchangeInterval, s.exchangePeerState)
	for len(s.events) > 0 && s.unfinished > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		if s.now > t.Header.EndMs+drainDuration {
			break
		}
		e.run()
	}
	return s
}

func (s *sim) setRules(rules *kcrules.Rules) {
	s.rules, s.catalog = rules, kcroute.NewCatalog(rules)
	s.revision++
}

// after schedules f at d milliseconds from now. Events of the same time run in the
// order of their scheduling.
func (s *sim) after(d kcclock.Millis, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: f})
}

func (s *sim) every(d kcclock.Millis, f func()) {
	s.after(d, func() {
		f()
		s.every(d, f)
	})
}

// processArrival sends arrival i to a random instance and schedules the next
// arrival.
func (s *sim) processArrival(i int) {
	a := &s.trace.Arrivals[i]
	if i+1 < len(s.trace.Arrivals) {
		s.after(s.trace.Arrivals[i+1].At-s.now, func() { s.processArrival(i + 1) })
	}
	n := s.instances[int(s.uniform(i, "entry")*float64(len(s.instances)))]
	r := &request{id: i, arrival: a, instance: n, arrived: s.now, deadline: s.now + a.MaxWaitMs, excluded: -1}
	s.after(s.trace.Header.Environment.ClientDelayMs, func() { n.handleArrival(r) })
}

func (s *sim) scheduleFault(f *Fault) {
	s.after(f.At, func() { s.applyFault(f, true) })
	if f.Until > 0 {
		s.after(f.Until, func() { s.applyFault(f, false) })
	}
}

func (s *sim) applyFault(f *Fault, on bool) {
	switch f.Kind {
	case FaultRunnersDown:
		s.setRunnersDown(f, on)
	case FaultVersionDegraded:
		delete(s.qualityFactors, f.Target)
		if on {
			s.qualityFactors[f.Target] = f.Factor
			s.degradedAt = s.now
		}
	case FaultStoreDown:
		s.storeDown = on
	case FaultRolloutStuck:
		s.rolloutStuck = on
	case FaultRegionPartition:
		s.partitioned = on
		s.after(failureDetectionDelay, func() {
			for _, n := range s.instances {
				n.updateReachability()
			}
		})
	}
}

// setRunnersDown stops or restarts the share Factor of the runners of the target.
func (s *sim) setRunnersDown(f *Fault, on bool) {
	var members []int
	for i, r := range s.runners {
		if serves(r.spec, f.Target) {
			members = append(members, i)
		}
	}
	for _, i := range members[:int(f.Factor*float64(len(members)))] {
		s.setRunnerDown(i, on)
	}
}

func (s *sim) setRunnerDown(i int, down bool) {
	r := s.runners[i]
	if down {
		r.advance()
		r.crash()
	} else {
		r.down, r.advancedAt = false, float64(s.now)
	}
	s.after(failureDetectionDelay, func() {
		for _, n := range s.instances {
			n.updateReachability()
		}
	})
}

// reportLoads samples the load of every runner. The instances receive the sample
// after LoadReportDelayMs.
func (s *sim) reportLoads() {
	loads := make([]int, len(s.runners))
	for i, r := range s.runners {
		loads[i] = r.load()
	}
	for _, n := range s.instances {
		n.resetSentCounts()
	}
	s.after(s.trace.Header.Environment.LoadReportDelayMs, func() {
		for _, n := range s.instances {
			n.applyLoadReport(loads)
		}
	})
}

// exchangePeerState exchanges rollout evidence and demand among the instances that
// can reach each other.
func (s *sim) exchangePeerState() {
	s.rollouts.evaluate()
	demands := make([]map[string]float64, len(s.instances))
	for i, n := range s.instances {
		demands[i] = n.limiter.Demand(s.now)
	}
	for i, n := range s.instances {
		others := make(map[string]float64)
		live := 0
		for j, m := range s.instances {
			if !s.reachable(n.location, m.location) {
				continue
			}
			live++
			if i != j {
				for ws, d := range demands[j] {
					others[ws] += d
				}
			}
		}
		n.limiter.SetPeers(live, others)
	}
}

func (s *sim) reachable(a, b Location) bool { return !s.partitioned || a.Region == b.Region }

func (s *sim) oneWayDelay(a, b Location) kcclock.Millis {
	switch {
	case a.Zone == b.Zone:
		return 0
	case a.Region == b.Region:
		return interZoneDelay
	default:
		return interRegionDelay
	}
}

// uniform returns a pseudo-random number in [0, 1) that depends only on the seed,
// the arrival and the purpose, so that all policies get the same random numbers.
func (s *sim) uniform(id int, purpose string) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], s.trace.Header.Seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(id))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(purpose)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// sharedDifficultyShare is the share of requests whose difficulty is the same for
// all versions: if a small version answers one of them well, a large one does too.
const sharedDifficultyShare = 0.7

// answerIsGood reports whether the answer of version to the request is good.
func (s *sim) answerIsGood(r *request, version string) bool {
	byClass := s.trace.Header.Environment.Quality[version]
	q, ok := byClass[r.arrival.Class]
	if !ok {
		q = byClass[kcrules.DefaultClass]
	}
	if f, ok := s.qualityFactors[version]; ok {
		q *= f
	}
	if s.uniform(r.id, "shared") < sharedDifficultyShare {
		return s.uniform(r.id, "difficulty") < q
	}
	return s.uniform(r.id, "difficulty "+version) < q
}

// passesCheck reports whether the answer passes the check in the request path.
func (s *sim) passesCheck(r *request, version string, good bool) bool {
	u := s.uniform(r.id, "check "+version)
	if good {
		return u >= s.trace.Header.Environment.CheckFalsePositiveRate
	}
	return u >= s.trace.Header.Environment.CheckDetectionRate
}

// finishRequest stores the first result of a request. Later ones, such as that of
// a slower hedged call, are ignored.
func (s *sim) finishRequest(r *request, res Result) {
	if s.results[r.id].done {
		return
	}
	res.done = true
	res.Executions = s.results[r.id].Executions
	res.InTime = res.Code == "" && res.LatencyMs <= r.arrival.MaxWaitMs
	s.results[r.id] = res
	s.unfinished--
}

func serves(u Upstream, version string) bool {
	for _, v := range u.Serves {
		if v == version {
			return true
		}
	}
	return false
}
