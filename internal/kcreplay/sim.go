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

// Delays of the simulated network, one way, and of the log.
const (
	interZoneDelay   = kcclock.Millis(1)
	interRegionDelay = 10 * kcclock.Millisecond
	logAppendDelay   = 8 * kcclock.Millisecond
	// failureDetectionDelay is the time until instances see that a runner has stopped.
	failureDetectionDelay = kcclock.Second
	// publishDelay is the time until a published change is in force.
	publishDelay = 3 * kcclock.Second
	// peerExchangeInterval is the time between two exchanges of evidence and demand.
	peerExchangeInterval = 5 * kcclock.Second
	// loadReportInterval is the time between two load reports of a runner.
	loadReportInterval = 500 * kcclock.Millisecond
	// silence is the idle timeout after which a lost answer is retried.
	idleTimeout = 2 * kcclock.Second
	// drain is the time after the last arrival until the simulation ends.
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

// sim is one run of a trace under one policy.
type sim struct {
	trace  *Trace
	policy Policy
	now    kcclock.Millis
	seq    int
	events eventHeap

	runners   []*runner
	instances []*entryInstance
	// rules are in force; revision counts the changes to them.
	rules    *kcrules.Rules
	catalog  *kcroute.Catalog
	revision int64

	partitioned, storeDown, rolloutStuck bool
	qualityFactors                       map[string]float64
	sessionVersions                      map[string]string
	learner                              *kccascade.Learner
	rollouts                             *rollouts

	results          []Result
	unfinished       int
	poolKeys         []string
	linkBytes        int64
	degradedAnswers  int
	degradedAt       kcclock.Millis
	rolloutStoppedAt kcclock.Millis
}

// Result is what became of one arrival.
type Result struct {
	// Code is the reason of the refusal, or "".
	Code kcapi.Code
	// LatencyMs is the time until the caller had the whole answer.
	LatencyMs kcclock.Millis
	Version   string
	Good      bool
	InTime    bool
	// Cost is in micro-units of currency, Price is what was quoted.
	Cost  float64
	Price int64
	// Executions counts the calls that reached a plain service.
	Executions int
	done       bool
}

// run plays the trace under the policy.
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
	for i, site := range t.Header.Environment.EntryInstances {
		s.instances = append(s.instances, newEntryInstance(s, i, site))
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

// reportLoads samples the load of every runner; the sample arrives late.
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

// exchange lets instances pass on evidence and demand.
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
			if !s.reachable(n.site, m.site) {
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

// draw returns a number from 0 to 1 that depends only on the seed, the arrival
// and the purpose, so that all policies meet the same chances.
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
// all versions: what a small version answers well, a large one does as well.
const sharedDifficultyShare = 0.7

// good reports whether the answer of version to the request is good.
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

// passes reports whether the answer passes the check in the request path.
func (s *sim) passesCheck(r *request, version string, good bool) bool {
	u := s.uniform(r.id, "check "+version)
	if good {
		return u >= s.trace.Header.Environment.CheckFalsePositiveRate
	}
	return u >= s.trace.Header.Environment.CheckDetectionRate
}

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
