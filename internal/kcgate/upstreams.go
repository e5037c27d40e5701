package kcgate

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// loadReportTTLMs is how long a reported load counts. After that, most of the
	// requests that it includes have ended.
	loadReportTTLMs = 2500 * kcclock.Millisecond
	// fullTTLMs is how long an upstream that rejected a request for lack of room
	// counts as full, if it does not report its load.
	fullTTLMs = 250 * kcclock.Millisecond
	// crashWindowMs is the time within which interrupted responses of one
	// upstream count as one crash. Crashed upstreams are down for about as long.
	crashWindowMs = 2000 * kcclock.Millisecond
	// failureWeight is the weight of one response in the moving failure share. A
	// half-broken upstream fails one third of its responses, which shows after
	// about five of them.
	failureWeight = 0.1
	// failureTolerance is the excess over the mean failure share that may be
	// chance. failurePenaltyMs is the placement cost of a certain failure:
	// roughly the time until the caller gets the response of another attempt.
	failureTolerance = 0.2
	failurePenaltyMs = 3000
	// failureHalfLifeMs is the half-life of the failure share. Gray failures of
	// an upstream last five to ten seconds.
	failureHalfLifeMs = 4000 * kcclock.Millisecond
	// reregistrationMs is the time after the store is back within which live
	// upstreams register again if their entries lapsed during the outage.
	reregistrationMs = 2000 * kcclock.Millisecond
)

// breakerOptions opens the circuit after three consecutive failures and probes
// the upstream every second.
var breakerOptions = kcretry.BreakerOptions{Failures: 3, OpenMs: kcclock.Second, RampMs: 2 * kcclock.Second}

// upstream is what this instance knows about one upstream.
type upstream struct {
	kctable.Upstream
	region   string
	idHash   uint64
	inFlight int
	// pendingWorkMs is the work of this instance's requests that are not answered
	// yet. The peers fields are the sums over the other instances.
	pendingWorkMs float64
	peersWorkMs   float64
	peersRunning  int
	breaker       *kcretry.Breaker
	// reportedLoad is the last reported load. At that time, loadReportedAt,
	// inFlightAtReport requests of this instance were in flight.
	reportedLoad     Load
	loadReportedAt   kcclock.Millis
	inFlightAtReport int
	// lastActivityAt is when the upstream last sent anything, or when the oldest
	// running request was sent if that is later.
	lastActivityAt atomic.Int64
	// failureShare is the exponentially weighted share of responses with a server
	// error, as of failureShareAt. It decays without responses, so that the
	// upstream is tried again.
	failureShare   float64
	failureShareAt kcclock.Millis
	// interruptedAt is when a connection to the upstream was last interrupted.
	interruptedAt kcclock.Millis
	// missingSince is set for entries that lapsed during an outage of the store.
	missingSince kcclock.Millis
}

// estimatedLoad returns the estimated number of running and waiting requests.
func (u *upstream) estimatedLoad(now kcclock.Millis) int {
	known := u.inFlight + u.peersRunning
	if u.loadReportedAt == 0 || now-u.loadReportedAt > loadReportTTLMs {
		return known
	}
	return max(u.reportedLoad.Running+u.reportedLoad.Waiting+u.inFlight-u.inFlightAtReport, known)
}

// Upstreams holds the upstreams of all services.
type Upstreams struct {
	clock  kcclock.Clock
	zone   string
	region string
	// regions holds the region of each availability zone.
	regions map[string]string

	mu   sync.Mutex
	byID map[string]*upstream
	// loaded is closed once the list is read.
	loaded    chan struct{}
	peerLoads map[string]*peerLoad
	// peerReportTimes is the sum of the times of the reports in peerLoads.
	peerReportTimes kcclock.Millis
	// pickRates holds the rates of picks by service.
	pickRates map[string]*pickRate
	prefixes  prefixCache
	// shuffle is a source of randomness that tests replace.
	shuffle func(n int, swap func(i, j int))
}

// NewUpstreams returns an empty list for an instance in zone.
func NewUpstreams(clock kcclock.Clock, zone string, regions map[string]string) *Upstreams {
	return &Upstreams{
		clock: clock, zone: zone, region: regions[zone], regions: regions, byID: make(map[string]*upstream),
		loaded: make(chan struct{}), shuffle: rand.Shuffle, peerLoads: make(map[string]*peerLoad),
		pickRates: make(map[string]*pickRate),
	}
}

// Loaded reports whether the list is read.
func (l *Upstreams) Loaded() bool {
	select {
	case <-l.loaded:
		return true
	default:
		return false
	}
}

// Replace sets the whole list. If lapsed is true, the store had an outage, and
// missing entries are kept until they had time to register again.
func (l *Upstreams) Replace(list []kctable.Upstream, lapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.Loaded() {
		close(l.loaded)
	}
	seen := kcset.New[string]()
	for _, u := range list {
		seen.Add(u.ID)
		l.set(u)
	}
	for id := range l.byID {
		if !seen.Has(id) {
			l.remove(id, lapsed)
		}
	}
}

// Upsert adds or changes an entry and reports whether it is new or its state has
// changed.
func (l *Upstreams) Upsert(u kctable.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(u)
}

func (l *Upstreams) set(u kctable.Upstream) bool {
	old := l.byID[u.ID]
	if old != nil && old.StartedAtMs == u.StartedAtMs && old.Address == u.Address {
		changed := old.Draining != u.Draining
		old.Upstream, old.missingSince = u, 0
		return changed
	}
	l.byID[u.ID] = &upstream{
		Upstream: u, region: l.regions[u.Zone], breaker: kcretry.NewBreaker(breakerOptions), idHash: xxhash.Sum64String(u.ID),
	}
	return true
}

// Remove removes an entry. lapsed has the same meaning as for Replace.
func (l *Upstreams) Remove(id string, lapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(id, lapsed)
}

func (l *Upstreams) remove(id string, lapsed bool) {
	u := l.byID[id]
	if u == nil {
		return
	}
	if lapsed && !u.Draining {
		if u.missingSince == 0 {
			u.missingSince = l.clock.Now()
		}
		return
	}
	delete(l.byID, id)
}

// RemoveExpired removes the entries that did not register again.
func (l *Upstreams) RemoveExpired() {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.byID, func(_ string, u *upstream) bool { return u.missingSince != 0 && now-u.missingSince > reregistrationMs })
}

// Addresses returns the addresses of all upstreams.
func (l *Upstreams) Addresses() kcset.Set[string] {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := kcset.New[string]()
	for _, u := range l.byID {
		out.Add(u.Address)
	}
	return out
}

// versionCounts holds the number of upstreams of a service per version, without
// those that are leaving, and the version of the oldest one.
type versionCounts struct {
	counts        map[string]int
	oldestVersion string
}

// split returns the number of upstreams of a version and of all other versions.
func (v versionCounts) split(version string) (n, others int) {
	for other, count := range v.counts {
		if other != version {
			others += count
		}
	}
	return v.counts[version], others
}

// versions counts the upstreams of a service per version.
func (l *Upstreams) versions(service string) versionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := versionCounts{counts: make(map[string]int)}
	var oldest *upstream
	for _, u := range l.byID {
		if u.Service != service || u.Draining {
			continue
		}
		v.counts[u.Version]++
		if oldest == nil || u.StartedAtMs < oldest.StartedAtMs || (u.StartedAtMs == oldest.StartedAtMs && u.ID < oldest.ID) {
			oldest = u
		}
	}
	if oldest != nil {
		v.oldestVersion = oldest.Version
	}
	return v
}

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
	prompt prompt
	// holdMs is roughly how long the request occupies a slot.
	holdMs float64
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
}

// pick chooses an upstream and counts a request for it.
func (l *Upstreams) pick(w pickCriteria) (*pickedUpstream, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expirePeerLoads(now)
	var list []*upstream
	for _, u := range l.byID {
		if u.Service == w.service && !u.Draining && w.allowsVersion(u.Version) && !w.tried.Has(u.ID) && u.breaker.Ready(now) {
			list = append(list, u)
		}
	}
	list = w.limitToShare(list)
	// Equal upstreams are tried in random order, so that instances do not all
	// choose the same one.
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.idHash, b.idHash) })
	l.shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	home := l.prefixHome(w, list)
	list = l.sample(w.service, list, home, now)
	l.countPick(w.service, now)
	workers := make([]kcroute.UpstreamWork, len(list))
	for i, u := range list {
		workers[i] = kcroute.UpstreamWork{
			Slots: u.Slots, Running: u.estimatedLoad(now), QueuedMs: u.pendingWorkMs + u.peersWorkMs,
			RequestMs: l.prefillMs(w.prompt, u, u == home), DistanceMs: distanceCostMs[l.distance(u)], SlotHoldMs: w.holdMs,
			SlowdownPerRequestMs: perRequestCostMs,
		}
	}
	addFailurePenalty(now, workers, list)
	i := kcroute.ChooseFastestUpstream(workers)
	if i < 0 {
		return nil, false
	}
	u := list[i]
	u.breaker.Allow(now, 0)
	if u.inFlight == 0 {
		u.lastActivityAt.Store(int64(now))
	}
	u.inFlight++
	u.pendingWorkMs += workers[i].RequestMs
	l.prefixes.add(w.prompt, u.ID, now)
	return &pickedUpstream{
		u: u, Upstream: u.Upstream, loadAtPick: workers[i].Running, candidates: len(list), pendingWorkMs: workers[i].RequestMs,
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

// recordAnswer records whether a response was a server error.
func (l *Upstreams) recordAnswer(c *pickedUpstream, failure bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, value := l.clock.Now(), 0.0
	if failure {
		value = 1
	}
	f := c.u.decayedFailureShare(now)
	c.u.failureShare, c.u.failureShareAt = f+failureWeight*(value-f), now
}

// decayedFailureShare returns the failure share at a time.
func (u *upstream) decayedFailureShare(now kcclock.Millis) float64 {
	return u.failureShare * math.Exp2(-float64(now-u.failureShareAt)/float64(failureHalfLifeMs))
}

// prefixHome returns the upstream at which all instances of a region expect the
// shared parts of a prompt to be cached. It is used unless it is busy. With one
// such upstream per availability zone, the parts would be prefilled once in each
// zone.
func (l *Upstreams) prefixHome(w pickCriteria, list []*upstream) *upstream {
	if w.prompt.affinity == 0 {
		return nil
	}
	var best *upstream
	var maxHash uint64
	for _, u := range list {
		if u.region != l.region {
			continue
		}
		if h := kcset.Mix(w.prompt.affinity ^ u.idHash); best == nil || h > maxHash {
			best, maxHash = u, h
		}
	}
	return best
}

// markAnswerStarted records that the response has begun, so the prompt is
// prefilled.
func (l *Upstreams) markAnswerStarted(c *pickedUpstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.clearPendingWork()
}

func (c *pickedUpstream) clearPendingWork() {
	c.u.pendingWorkMs = max(c.u.pendingWorkMs-c.pendingWorkMs, 0)
	c.pendingWorkMs = 0
}

// markActive records that the upstream sent something.
func (l *Upstreams) markActive(c *pickedUpstream) { c.u.lastActivityAt.Store(int64(l.clock.Now())) }

// silentFor returns the time since the upstream last sent anything.
func (l *Upstreams) silentFor(c *pickedUpstream) kcclock.Millis {
	return l.clock.Now() - kcclock.Millis(c.u.lastActivityAt.Load())
}

// recordInterruption records that the upstream aborted a response. It reports
// whether this counts as evidence on its version: a crash aborts all responses of
// an upstream at once and counts as one.
func (l *Upstreams) recordInterruption(c *pickedUpstream) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	first := c.u.interruptedAt == 0 || now-c.u.interruptedAt >= crashWindowMs
	c.u.interruptedAt = now
	return first
}

// limitToShare returns the share of the upstreams that get requests. All
// instances select the same ones, and some in each availability zone.
func (w pickCriteria) limitToShare(list []*upstream) []*upstream {
	if w.upstreamShare == nil || len(list) == 0 {
		return list
	}
	share := w.upstreamShare(list[0].Version)
	if share >= 1 {
		return list
	}
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

// outcome is how an attempt ended for the upstream.
type outcome int

const (
	// outcomeNeutral says nothing about the upstream.
	outcomeNeutral outcome = iota
	outcomeGood
	outcomeFailed
	// outcomeFull means that the upstream had no room.
	outcomeFull
)

// release ends the use of an upstream.
func (l *Upstreams) release(c *pickedUpstream, o outcome) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c.u.inFlight--
	c.clearPendingWork()
	switch o {
	case outcomeGood:
		c.u.breaker.Record(now, true)
	case outcomeFailed:
		c.u.breaker.Record(now, false)
	case outcomeFull:
		c.u.reportedLoad = Load{Running: c.u.Slots, Waiting: 1, Slots: c.u.Slots}
		c.u.inFlightAtReport, c.u.loadReportedAt = c.u.inFlight, now-loadReportTTLMs+fullTTLMs
	case outcomeNeutral:
	}
}

// recordLoad records the load that an upstream reported.
func (l *Upstreams) recordLoad(c *pickedUpstream, load Load) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c.u.reportedLoad, c.u.inFlightAtReport, c.u.loadReportedAt = load, c.u.inFlight, now
	c.u.lastActivityAt.Store(int64(now))
}
