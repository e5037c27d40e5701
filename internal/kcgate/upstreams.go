package kcgate

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcbrittle"
	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kcregistry"
	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcspeed"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/internal/kcwarmup"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
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
	peersWorkAt   kcclock.Millis
	peersRunning  int
	breaker       *kcretry.Breaker
	// figures is what the upstream says about its load and speed, queue how many
	// requests it queues, and memory what its requests take.
	figures kcspeed.Upstream
	queue   kcroom.Queue
	memory  kcroom.Memory
	// lastActivityAt is when the upstream last sent anything, or when the oldest
	// running request was sent if that is later.
	// It includes what peers have heard.
	lastActivityAt atomic.Int64
	// heardAt is when the upstream last sent anything to this instance, 0 if it
	// never did.
	heardAt atomic.Int64
	// failureShare is the exponentially weighted share of responses with a server
	// error, as of failureShareAt. It decays without responses, so that the
	// upstream is tried again.
	failureShare   float64
	failureShareAt kcclock.Millis
	// interruptedAt is when a connection to the upstream was last interrupted.
	interruptedAt kcclock.Millis
	// saidLeaving is true once the process of the upstream has said that it leaves.
	saidLeaving bool
	// pausedUntil is the end of the time for which the upstream wants no request of
	// this instance. 0 if it has asked for none, or has returned from it.
	pausedUntil kcclock.Millis
	// warm is nil if the service has no cold rates. It follows pausedUntil, because both
	// are read for each candidate.
	warm *kcwarmup.State
	// limit is what the upstream says about the requests that it takes from all
	// instances. It is nil if it has never named a limit.
	limit   *upstreamLimit
	brittle kcbrittle.Upstream
	// restartedAt is when this instance first saw the process, 0 if that was in the
	// first list.
	restartedAt kcclock.Millis
	// missingSince is set for entries that may have lapsed in an outage of the
	// store, to the time at which the store was back.
	missingSince kcclock.Millis
}

// estimatedLoad returns the estimated number of running and waiting requests.
func (u *upstream) estimatedLoad(now kcclock.Millis) int {
	return u.figures.EstimatedLoad(now, u.inFlight+u.peersRunning, u.inFlight)
}

// Upstreams holds the upstreams of all services.
type Upstreams struct {
	clock kcclock.Clock
	// log, wallClock and instance, the name of this instance, are set before use.
	log       *slog.Logger
	wallClock kcclock.Clock
	instance  string
	zone      string
	region    string
	// regions holds the region of each availability zone.
	regions map[string]string

	mu   sync.Mutex
	byID map[string]*upstream
	// byService indexes byID by service. It is nil if it must be made again.
	byService map[string]upstreamsByDistance
	// indexHashes holds the hashes of the ids of the upstreams in byService.
	indexHashes map[string][distances][]uint64
	// versionsOf holds the results of versions since the last change of byID.
	versionsOf map[versionsKey]versionCounts
	// loaded is closed once the list is read.
	loaded chan struct{}
	peers  kcload.Peers
	// limited holds the upstreams that have named a limit. Some may have left.
	limited []*upstream
	// leavingProcesses holds the processes that have said that they leave, with the
	// time. An entry that lapses and returns must not make one of them look new.
	leavingProcesses map[kctable.Process]kcclock.Millis
	// departures holds the processes that are gone. A restored store may hold older
	// entries of them.
	departures kcregistry.Departures[kctable.Process]
	// peerZones holds the availability zones of the other instances of the region.
	peerZones map[string]string
	// sharesFigures is true once an upstream has named its speed: peers are then told
	// what upstreams say of their load and speed.
	sharesFigures bool
	services      map[string]*serviceState
	// capacity is the memory of an upstream in tokens by service. It is nil if
	// memory does not matter.
	capacity map[string]int
	zones    kcwarmup.Zones
	warmup   kcwarmup.Warmup
	prefixes kcprefix.Beliefs
	// overload is true if the deployment expects overload.
	overload bool
	ranking  kcprefix.Ranking[*upstream]
	shuffle  kcset.Shuffle
	// intN is a source of randomness that tests replace.
	intN func(n int) int
}

// NewUpstreams returns an empty list for an instance in zone.
func NewUpstreams(clock kcclock.Clock, zone string, regions map[string]string) *Upstreams {
	return &Upstreams{
		clock: clock, log: slog.New(slog.DiscardHandler), zone: zone, region: regions[zone], regions: regions,
		byID:   make(map[string]*upstream),
		loaded: make(chan struct{}), intN: rand.IntN,
		services: make(map[string]*serviceState), versionsOf: make(map[versionsKey]versionCounts),
		leavingProcesses: make(map[kctable.Process]kcclock.Millis),
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

// Replace sets the whole list. storeReturnedAt is when the store came back from
// its last outage, 0 if it had none. Entries that are missing since are kept
// until they had time to register again; kept is their number.
func (l *Upstreams) Replace(list []kctable.Upstream, storeReturnedAt kcclock.Millis) (kept int) {
	l.recordList(list)
	return l.replace(list, list, storeReturnedAt)
}

// replace removes the entries that are not in list, and adds or changes those in set.
func (l *Upstreams) replace(list, set []kctable.Upstream, storeReturnedAt kcclock.Millis) (kept int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := kcset.New[string]()
	for _, u := range list {
		seen.Add(u.ID)
	}
	for _, u := range set {
		l.set(u)
	}
	if !l.Loaded() {
		close(l.loaded)
	}
	for id := range l.byID {
		if !seen.Has(id) && l.remove(id, storeReturnedAt) {
			kept++
		}
	}
	return kept
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
	if l.outdated(old, u) {
		return false
	}
	if old != nil && old.StartedAtMs == u.StartedAtMs && old.Address == u.Address {
		changed := old.Draining != u.Draining
		if changed || old.Service != u.Service || old.Zone != u.Zone || old.Version != u.Version {
			l.dropIndex()
			old.brittle.Service = &l.state(u.Service).brittle
		}
		old.Upstream, old.region, old.missingSince = u, l.regions[u.Zone], 0
		l.observeEntry(old, false)
		return changed
	}
	l.dropIndex()
	added := &upstream{
		Upstream: u, region: l.regions[u.Zone], breaker: kcretry.NewBreaker(breakerOptions), idHash: xxhash.Sum64String(u.ID),
		brittle: kcbrittle.Upstream{Service: &l.state(u.Service).brittle},
	}
	_, added.saidLeaving = l.leavingProcesses[added.Process()]
	if l.Loaded() {
		added.restartedAt = l.clock.Now()
	}
	l.byID[u.ID] = added
	l.observeEntry(added, true)
	return true
}

// dropIndex must be called after a change of byID, and of what the index depends
// on.
func (l *Upstreams) dropIndex() {
	l.byService = nil
	clear(l.versionsOf)
}

// Remove removes an entry and reports whether it is kept for now, because it may
// have lapsed in an outage. storeReturnedAt has the same meaning as for Replace.
func (l *Upstreams) Remove(id string, storeReturnedAt kcclock.Millis) (kept bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.byID[id]
	if kept = l.remove(id, storeReturnedAt); u != nil && !kept {
		l.departures.Record(u.Process(), u.Seq, l.clock.Now())
	}
	return kept
}

func (l *Upstreams) remove(id string, storeReturnedAt kcclock.Millis) (kept bool) {
	u := l.byID[id]
	if u == nil {
		return false
	}
	mayReturn := storeReturnedAt != 0 && l.clock.Now()-storeReturnedAt <= reregistrationMs
	if mayReturn && !u.leaving() {
		u.missingSince = storeReturnedAt
		return true
	}
	l.dropIndex()
	delete(l.byID, id)
	return false
}

// RemoveExpired removes the entries that did not register again.
func (l *Upstreams) RemoveExpired() {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departures.Prune(now)
	for id, u := range l.byID {
		if u.missingSince != 0 && now-u.missingSince > reregistrationMs {
			l.dropIndex()
			delete(l.byID, id)
		}
	}
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
	// regions is the key of the regions whose upstreams are counted.
	regions string
}

type versionsKey struct{ service, regions string }

// split returns the number of upstreams of a version and of all other versions.
func (v versionCounts) split(version string) (n, others int) {
	for other, count := range v.counts {
		if other != version {
			others += count
		}
	}
	return v.counts[version], others
}

// versions counts the upstreams of a service in regions per version, without those
// in evacuated zones. The caller must not change the result.
func (l *Upstreams) versions(service string, regions kctable.Regions) versionCounts {
	key := versionsKey{service, regions.Key()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if v, known := l.versionsOf[key]; known {
		return v
	}
	v := versionCounts{counts: make(map[string]int), regions: key.regions}
	var oldest *upstream
	for _, u := range l.byID {
		if u.Service != service || u.leaving() || l.zones.Evacuated(u.Zone) || !regions.Allow(u.region) {
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
	l.versionsOf[key] = v
	return v
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
func (l *Upstreams) markActive(c *pickedUpstream) { c.u.markActive(l.clock.Now()) }

func (u *upstream) markActive(now kcclock.Millis) {
	u.lastActivityAt.Store(int64(now))
	u.heardAt.Store(int64(now))
}

// silentFor returns the time since the upstream last sent anything to this
// instance or, as far as it knows, to a peer.
func (l *Upstreams) silentFor(c *pickedUpstream) kcclock.Millis {
	return l.clock.Now() - kcclock.Millis(c.u.lastActivityAt.Load())
}

// hasOther reports whether an upstream that was not tried would take a request now.
func (l *Upstreams) hasOther(w pickCriteria) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.index(w.service) {
		if slices.ContainsFunc(list, func(u *upstream) bool { return l.accepts(&w, u, now) }) {
			return true
		}
	}
	return false
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
	c.u.memory.Own -= c.tokens
	c.clearPendingWork()
	switch o {
	case outcomeGood:
		c.u.breaker.Record(now, true)
		if c.loadAtPick < c.u.Slots {
			l.state(c.u.Service).hold.Add(float64(max(now-c.pickedAt, 1)))
		}
	case outcomeFailed:
		c.u.breaker.Record(now, false)
		l.warmup.Failed(c.u.warm, now)
	case outcomeFull:
		c.u.queue.RecordRejection(now, &c.u.figures)
		c.u.figures.RecordFull(now, c.u.Slots, c.u.inFlight)
		c.u.brittle.Rejected(now, len(l.peerZones)+1)
	case outcomeNeutral:
	}
}

// recordLoad records the load that an upstream reported.
func (l *Upstreams) recordLoad(c *pickedUpstream, load Load) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c.u.figures.Record(now, load, c.u.inFlight)
	c.u.queue.Record(load.Waiting)
	l.recordSpeedNamed(c.u, load)
	c.u.markActive(now)
}
