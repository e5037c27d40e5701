package kcgate

import (
	"cmp"
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// pickCriteria is what a request requires of an upstream.
type pickCriteria struct {
	service string
	// allowsVersion reports whether a version may run the request.
	allowsVersion func(string) bool
	regions       kctable.Regions
	// upstreamShare returns the share of the upstreams of a version that get
	// requests.
	upstreamShare func(version string) float64
	// tried holds the ids of upstreams to leave out.
	tried kcset.Set[string]
	// prompt describes the prompt of a request to an engine.
	prompt kcprefix.Prompt
	// holdMs is roughly how long the request occupies a slot.
	holdMs float64
	// memoryTokens is the memory of an upstream in tokens, 0 if unknown.
	memoryTokens int
	// tokens is the length of the prompt and the answer. It must fit into capacity,
	// the memory of an upstream in tokens; 0 if that does not matter.
	tokens, capacity int
	// meanTokens is the usual value of tokens.
	meanTokens float64
}

// serviceMs returns how long a request without a prompt occupies an idle upstream
// of the usual speed. The time to the first event of others is their prefill time.
func (w *pickCriteria) serviceMs() float64 {
	if w.prompt.Tokens > 0 {
		return 0
	}
	return w.holdMs
}

// accepts reports whether an upstream may get the request.
func (l *Upstreams) accepts(w *pickCriteria, u *upstream, now kcclock.Millis) bool {
	return !u.leaving() && !u.paused(now) && w.allowsVersion(u.Version) && w.regions.Allow(u.region) && !w.tried.Has(u.ID) &&
		u.breaker.Ready(now) && l.mayUse(u, now) &&
		(u.brittle.PerSecond == 0 || l.mayTakeBrittle(u, now)) &&
		(w.capacity == 0 || kcroom.Fits(l.usedMemory(u, w.meanTokens, now), w.tokens, w.capacity))
}

// pickedUpstream is an upstream that is in use for a request. It must be
// released.
type pickedUpstream struct {
	u *upstream
	kctable.Upstream
	// loadAtPick is the estimated load when the upstream was picked. candidates
	// is the number of upstreams that were eligible.
	loadAtPick int
	candidates int
	// cold is true if the upstream was cold, which may make it slow.
	cold bool
	// pendingWorkMs is the work that is counted until the response begins.
	pendingWorkMs float64
	// tokens is the memory that is counted until the upstream is released. overMemory
	// is true if no upstream had so much free.
	tokens     int
	overMemory bool
	pickedAt   kcclock.Millis
	// held is what the upstream is believed to hold of the prompt.
	held kcprefix.Placement
}

// pick chooses an upstream and counts a request for it.
func (l *Upstreams) pick(w pickCriteria) (*pickedUpstream, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expirePeerLoads(now)
	service := l.state(w.service)
	w.capacity, w.meanTokens = l.capacity[w.service], service.tokens.Or(float64(w.tokens))
	if w.capacity > 0 {
		// Callers may state any length.
		w.tokens = min(w.tokens, w.capacity)
	}
	candidates := l.candidates(&w, now)
	holders := l.holders(&w, candidates, now)
	list := l.sample(&w, candidates, holders, now)
	overMemory := len(list) == 0 && w.capacity > 0
	if overMemory {
		w.capacity = 0
		candidates = l.candidates(&w, now)
		holders = l.holders(&w, candidates, now)
		list = l.sample(&w, candidates, holders, now)
	}
	workers := make([]kcroute.UpstreamWork, len(list))
	for i, u := range list {
		workers[i] = kcroute.UpstreamWork{
			Slots: u.Slots, Running: u.estimatedLoad(now), QueuedMs: u.pendingWorkMs + u.peersWorkMs,
			DistanceMs: distanceCostMs[l.distance(u)], SlotHoldMs: w.holdMs, SlowdownPerRequestMs: perRequestCostMs,
		}
		l.addPrefill(&w, u, holders, &workers[i], now)
	}
	addFailurePenalty(now, workers, list)
	if service.namesSpeed {
		// A prompt with shared parts goes to their holders: keeping it near would read
		// the parts again.
		if w.prompt.Affinity == 0 {
			l.addStaleness(service, now, workers, list)
		}
		for i, u := range list {
			workers[i].ApplyPace(u.figures.Pace(now), w.serviceMs())
		}
	}
	i := kcroute.ChooseFastestUpstream(workers)
	if i < 0 {
		service.picks.Add(now, 0)
		return nil, false
	}
	u := list[i]
	u.breaker.Allow(now, 0)
	l.takeLimit(u, now)
	if u.inFlight == 0 {
		u.lastActivityAt.Store(int64(now))
	}
	u.inFlight++
	u.figures.Sent(now)
	u.pendingWorkMs += workers[i].RequestMs
	u.memory.Own += w.tokens
	service.recordPick(&w, workers[i].RequestMs, now)
	return &pickedUpstream{
		u: u, Upstream: u.Upstream, loadAtPick: workers[i].Running, candidates: len(list), cold: u.warm.Cold(now),
		pendingWorkMs: workers[i].RequestMs,
		tokens:        w.tokens, overMemory: overMemory, pickedAt: now,
		held: l.prefixes.Sent(u.prefixCandidate(holders), now),
	}, true
}

// addStaleness adds the work that reports from other availability zones do not tell
// yet to the cost of upstreams there, if upstreams of the service name their speed.
func (l *Upstreams) addStaleness(s *serviceState, now kcclock.Millis, workers []kcroute.UpstreamWork, list []*upstream) {
	queuedMs, n := 0.0, 0
	for i, u := range list {
		if l.distance(u) == inRegion {
			queuedMs, n = queuedMs+workers[i].QueuedMs, n+1
		}
	}
	staleMs := s.picks.Staleness(l.peers.FarAge(now), queuedMs/float64(max(n, 1)))
	for i, u := range list {
		if l.distance(u) != inZone {
			workers[i].DistanceMs += staleMs
		}
		if l.distance(u) == inOtherRegion {
			workers[i].Unreported = !u.figures.Fresh(now)
			workers[i].QueuedMs = max(workers[i].QueuedMs, float64(u.figures.Waiting(now))*s.picks.MeanWorkMs())
		}
	}
	kcroute.AssumeMeanQueue(workers)
}

// addFailurePenalty adds a cost to upstreams that fail more often than the
// others, although they report themselves healthy.
func addFailurePenalty(now kcclock.Millis, workers []kcroute.UpstreamWork, list []*upstream) {
	meanShare := 0.0
	for _, u := range list {
		meanShare += u.decayedFailureShare(now) / float64(len(list))
	}
	for i, u := range list {
		if excess := u.decayedFailureShare(now) - meanShare - failureTolerance; excess > 0 {
			workers[i].DistanceMs += failurePenaltyMs * excess
		}
	}
}

// upstreamsByDistance holds upstreams of one service.
type upstreamsByDistance [distances][]*upstream

// index returns the upstreams of a service in zones that are not evacuated. It is
// made anew when the list has changed, so that a pick does not walk thousands of
// upstreams.
func (l *Upstreams) index(service string) upstreamsByDistance {
	if l.byService == nil {
		l.byService, l.indexHashes = make(map[string]upstreamsByDistance), make(map[string][distances][]uint64)
		for _, u := range l.byID {
			if l.zones.Evacuated(u.Zone) {
				continue
			}
			list := l.byService[u.Service]
			list[l.distance(u)] = append(list[l.distance(u)], u)
			l.byService[u.Service] = list
		}
		for name, lists := range l.byService {
			var hashes [distances][]uint64
			for d, list := range lists {
				slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.idHash, b.idHash) })
				hashes[d] = hashesOf(list)
			}
			l.indexHashes[name] = hashes
		}
	}
	return l.byService[service]
}

// candidates returns the upstreams to choose from. It may hold some that do not
// accept the request.
func (l *Upstreams) candidates(w *pickCriteria, now kcclock.Millis) upstreamsByDistance {
	all := l.index(w.service)
	if w.upstreamShare == nil {
		return all
	}
	share := 1.0
	for _, list := range all {
		if i := slices.IndexFunc(list, func(u *upstream) bool { return l.accepts(w, u, now) }); i >= 0 {
			share = w.upstreamShare(list[i].Version)
			break
		}
	}
	if share >= 1 {
		return all
	}
	var accepting []*upstream
	for _, list := range all {
		for _, u := range list {
			if l.accepts(w, u, now) {
				accepting = append(accepting, u)
			}
		}
	}
	var shared upstreamsByDistance
	for _, u := range w.limitToShare(accepting, share) {
		shared[l.distance(u)] = append(shared[l.distance(u)], u)
	}
	return shared
}

// holders returns the upstreams of the region at which all instances expect the
// shared parts of a prompt to be cached, in an order on which they agree. Without
// weighing, there is only the first. With such upstreams in each availability zone,
// the parts would be prefilled once in each zone.
func (l *Upstreams) holders(w *pickCriteria, candidates upstreamsByDistance, now kcclock.Millis) []*upstream {
	l.prefixes.Begin(w.prompt)
	// They are in the own region, or in those that the request may use instead.
	homes := candidates[:inOtherRegion]
	if !w.regions.Allow(l.region) {
		homes = candidates[:]
	}
	wanted := 1
	if l.weighsPrefixes(w.service) {
		wanted = l.prefixes.Holders(kcprefix.Service{
			Name: w.service, Instances: l.peers.Len() + 1, MemoryTokens: w.memoryTokens,
			Upstreams: countUpstreams(homes),
		}, now)
	}
	if w.prompt.Affinity == 0 || wanted == 0 {
		return nil
	}
	l.ranking.Reset(w.prompt.Affinity, wanted)
	for d, near := range homes {
		l.ranking.Add(near, l.idHashes(w.service, distance(d), near), func(u *upstream) bool { return l.accepts(w, u, now) })
	}
	return l.ranking.Members()
}

func countUpstreams(lists [][]*upstream) (n int) {
	for _, list := range lists {
		n += len(list)
	}
	return n
}

// idHashes returns the hash of the id of each upstream in list. Those of an indexed
// list are kept side by side, because each pick reads them all.
func (l *Upstreams) idHashes(service string, d distance, list []*upstream) []uint64 {
	if all := l.byService[service][d]; len(list) > 0 && len(list) == len(all) && &list[0] == &all[0] {
		return l.indexHashes[service][d]
	}
	return hashesOf(list)
}

func hashesOf(list []*upstream) []uint64 {
	hashes := make([]uint64, len(list))
	for i, u := range list {
		hashes[i] = u.idHash
	}
	return hashes
}

// limitToShare returns the share of the upstreams that get requests. All
// instances select the same ones, and some in each availability zone.
func (w *pickCriteria) limitToShare(list []*upstream, share float64) []*upstream {
	slices.SortFunc(list, func(a, b *upstream) int {
		return cmp.Compare(kcset.RendezvousHash(a.ID, w.service), kcset.RendezvousHash(b.ID, w.service))
	})
	inZone, taken := make(map[string]int), make(map[string]int)
	for _, u := range list {
		inZone[u.Zone]++
	}
	return slices.DeleteFunc(list, func(u *upstream) bool {
		taken[u.Zone]++
		return float64(taken[u.Zone]) > math.Ceil(share*float64(inZone[u.Zone]))
	})
}
