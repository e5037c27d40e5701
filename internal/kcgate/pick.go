package kcgate

import (
	"cmp"
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
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
}

// accepts reports whether an upstream may get the request.
func (l *Upstreams) accepts(w *pickCriteria, u *upstream, now kcclock.Millis) bool {
	return !u.leaving() && !u.paused(now) && w.allowsVersion(u.Version) && !w.tried.Has(u.ID) && u.breaker.Ready(now) &&
		l.mayUse(u, now)
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
	// pendingWorkMs is the work that is counted until the response begins.
	pendingWorkMs float64
	// held is what the upstream is believed to hold of the prompt.
	held kcprefix.Placement
}

// pick chooses an upstream and counts a request for it.
func (l *Upstreams) pick(w pickCriteria) (*pickedUpstream, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expirePeerLoads(now)
	candidates := l.candidates(&w, now)
	holders := l.holders(&w, candidates, now)
	list := l.sample(&w, candidates, holders, now)
	l.countPick(w.service, now)
	workers := make([]kcroute.UpstreamWork, len(list))
	for i, u := range list {
		workers[i] = kcroute.UpstreamWork{
			Slots: u.Slots, Running: u.estimatedLoad(now), QueuedMs: u.pendingWorkMs + u.peersWorkMs,
			DistanceMs: distanceCostMs[l.distance(u)], SlotHoldMs: w.holdMs, SlowdownPerRequestMs: perRequestCostMs,
		}
		l.addPrefill(&w, u, holders, &workers[i], now)
	}
	addFailurePenalty(now, workers, list)
	i := kcroute.ChooseFastestUpstream(workers)
	if i < 0 {
		return nil, false
	}
	u := list[i]
	u.breaker.Allow(now, 0)
	l.takeLimit(u, now)
	if u.inFlight == 0 {
		u.lastActivityAt.Store(int64(now))
	}
	u.inFlight++
	u.pendingWorkMs += workers[i].RequestMs
	return &pickedUpstream{
		u: u, Upstream: u.Upstream, loadAtPick: workers[i].Running, candidates: len(list), pendingWorkMs: workers[i].RequestMs,
		held: l.prefixes.Sent(u.prefixCandidate(holders), now),
	}, true
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

// index returns the upstreams of a service. It is made anew when the list has
// changed, so that a pick does not walk thousands of upstreams.
func (l *Upstreams) index(service string) upstreamsByDistance {
	if l.byService == nil {
		l.byService, l.indexHashes = make(map[string]upstreamsByDistance), make(map[string][distances][]uint64)
		for _, u := range l.byID {
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
	wanted := 1
	if l.weighsPrefixes(w.service) {
		wanted = l.prefixes.Holders(kcprefix.Service{
			Name: w.service, Instances: len(l.peerLoads) + 1, MemoryTokens: w.memoryTokens,
			Upstreams: len(candidates[inZone]) + len(candidates[inRegion]),
		}, now)
	}
	if w.prompt.Affinity == 0 || wanted == 0 {
		return nil
	}
	l.ranking.Reset(w.prompt.Affinity, wanted)
	for d, near := range candidates[:inOtherRegion] {
		l.ranking.Add(near, l.idHashes(w.service, distance(d), near), func(u *upstream) bool { return l.accepts(w, u, now) })
	}
	return l.ranking.Members()
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
