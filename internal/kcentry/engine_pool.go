package kcentry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcqueue"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// headerEngineLoad is the response header in which engines report their load as JSON.
	headerEngineLoad = "X-Engine-Load"
	// unboundedSlots is the number of slots assumed for an engine that reports none.
	unboundedSlots = 1 << 16
	// maxQueuedPerVersion bounds the queued requests per version on this instance.
	maxQueuedPerVersion = 1000
	// promotionMarginMs is the time before its latest start at which a queued
	// request is sent even to a full pool.
	promotionMarginMs = 2 * kcclock.Second
	// queuePollMs is the interval at which a queued request checks the pool for capacity.
	queuePollMs = 100 * kcclock.Millisecond
	// delayTolerantLoadShare is the share of the slots of a pool that requests
	// may fill before they are due. The rest is reserved for requests that are due.
	delayTolerantLoadShare = 0.85
	// assumedOutputTokens is the response length from which the service time of a
	// slot is estimated until it has been measured.
	assumedOutputTokens = 400
	// maxTrackedPrefixes bounds the prompt prefixes whose engine is remembered, per version.
	maxTrackedPrefixes = 16384
	// maxPrefixMessages bounds the leading messages of a prompt that are hashed
	// for placement by prefix.
	maxPrefixMessages = 4
)

// engineTable tracks the load of the engines, in one pool per version.
type engineTable struct {
	// blockedEngines returns the ids of the engines that currently receive no requests.
	blockedEngines func() []string
	mu             sync.Mutex
	pools          map[string]*enginePool
}

type enginePool struct {
	members   []kcmember.Member
	pool      *kcroute.Pool
	indexByID map[string]int
	// blockedIndexes are the indexes of the engines that are excluded because
	// their circuit breaker is open.
	blockedIndexes []int
	prefixes       *kcroute.PrefixIndex
	requestQueue   *kcqueue.Queue[*queuedRequest]
	// meanServiceMs is the exponentially weighted mean of the time that a request
	// holds a slot. It is 0 before the first measurement.
	meanServiceMs float64
	// releasedUnsent counts the requests that were taken from the queue and not
	// yet sent.
	releasedUnsent int
}

// queuedRequest is a request that waits in the queue.
type queuedRequest struct {
	// result receives nil when the request may be sent, or the error with which
	// it is shed.
	result    chan *kcapi.Error
	abandoned bool
}

func newEngineTable(blocked func() []string) *engineTable {
	return &engineTable{blockedEngines: blocked, pools: make(map[string]*enginePool)}
}

// poolFor returns the pool of a version, updated to members and to the blocked
// engines. The caller must hold t.mu.
func (t *engineTable) poolFor(version string, members []kcmember.Member) *enginePool {
	p := t.pools[version]
	if p == nil {
		p = &enginePool{
			prefixes: kcroute.NewPrefixIndex(maxTrackedPrefixes),
			requestQueue: kcqueue.New[*queuedRequest](kcqueue.Options{
				MaxWaiting: maxQueuedPerVersion, PromotionMarginMs: promotionMarginMs,
			}),
		}
		t.pools[version] = p
	}
	if p.pool == nil || !isSameSlice(p.members, members) {
		p.rebuild(members)
	}
	p.setBlocked(t.blockedEngines())
	return p
}

// setBlocked excludes exactly the engines with the given ids.
func (p *enginePool) setBlocked(ids []string) {
	if len(ids) == 0 && len(p.blockedIndexes) == 0 {
		return
	}
	p.setDown(p.blockedIndexes, false)
	p.blockedIndexes = p.blockedIndexes[:0]
	for _, id := range ids {
		if i, ok := p.indexByID[id]; ok {
			p.blockedIndexes = append(p.blockedIndexes, i)
		}
	}
	p.setDown(p.blockedIndexes, true)
}

func (p *enginePool) setDown(indexes []int, down bool) {
	for _, i := range indexes {
		p.pool.Upstreams[i].Down = down
	}
	p.pool.RecomputeTotals()
}

// isSameSlice reports whether a and b are the same slice. Comparing the identity
// is enough, because member slices are replaced and never modified.
func isSameSlice(a, b []kcmember.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (p *enginePool) rebuild(members []kcmember.Member) {
	runners := make([]kcroute.Upstream, len(members))
	index := make(map[string]int, len(members))
	for i, m := range members {
		runners[i] = kcroute.Upstream{ID: m.ID, Zone: m.Zone, Region: m.Region, Slots: unboundedSlots}
		if j, ok := p.indexByID[m.ID]; ok {
			runners[i].Load, runners[i].Slots = p.pool.Upstreams[j].Load, p.pool.Upstreams[j].Slots
		}
		index[m.ID] = i
	}
	// The indexes have changed, so the tracked prefixes refer to wrong engines.
	p.prefixes = kcroute.NewPrefixIndex(maxTrackedPrefixes)
	p.members, p.indexByID, p.pool, p.blockedIndexes = members, index, kcroute.NewPool(runners, 0), nil
}

// addInFlight changes the load of an engine by n, for a request that starts or ends.
func (t *engineTable) addInFlight(id string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		if i, ok := p.indexByID[id]; ok {
			p.pool.AddLoad(i, n)
		}
	}
}

// setReportedLoad sets the load that an engine reports in a response header.
// Missing or malformed values are ignored.
func (t *engineTable) setReportedLoad(id, header string) {
	var load struct{ Running, Waiting, Slots int }
	if header == "" || json.Unmarshal([]byte(header), &load) != nil {
		return
	}
	if load.Slots <= 0 {
		load.Slots = unboundedSlots
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		if i, ok := p.indexByID[id]; ok {
			r := &p.pool.Upstreams[i]
			r.Load, r.Slots = max(load.Running+load.Waiting, 0), load.Slots
			p.pool.RecomputeTotals()
		}
	}
}

// expectedWait returns the expected wait for a slot, including the wait behind
// the queued requests if includeQueued is true. serviceMs is the assumed time that a
// request holds a slot, used until it has been measured. It returns false if
// the version has no live engine.
func (t *engineTable) expectedWait(
	version string, members []kcmember.Member, serviceMs kcclock.Millis, includeQueued bool,
) (kcclock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.poolFor(version, members)
	if p.pool.Live == 0 {
		return 0, false
	}
	if p.meanServiceMs > 0 {
		serviceMs = kcclock.Millis(p.meanServiceMs)
	}
	p.pool.ServiceMs = serviceMs
	wait := p.pool.ExpectedWait()
	if includeQueued {
		wait += serviceMs * kcclock.Millis(p.requestQueue.Len()) / kcclock.Millis(p.pool.Slots)
	}
	return wait, true
}

// placeRequest returns the best engine for the request among those that admit permits.
func (t *engineTable) placeRequest(
	version string, members []kcmember.Member, pl kcroute.Placement, admit func(id string) bool,
) (kcmember.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.poolFor(version, members)
	i := kcroute.ChooseUpstream(p.pool, pl, p.prefixes)
	var denied []int
	for i >= 0 && !admit(p.members[i].ID) {
		denied = append(denied, i)
		p.setDown(denied, true)
		i = kcroute.ChooseUpstream(p.pool, pl, p.prefixes)
	}
	if denied != nil {
		p.setDown(denied, false)
	}
	if i < 0 {
		return kcmember.Member{}, false
	}
	for _, prefix := range pl.Prefixes {
		p.prefixes.Add(prefix, i)
	}
	return p.members[i], true
}

// serviceMeanWeight is the weight of a new sample in enginePool.meanServiceMs.
const serviceMeanWeight = 0.02

// recordServiceTime adds the time that a request of the version held a slot to
// the mean.
func (t *engineTable) recordServiceTime(version string, d kcclock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[version]
	switch {
	case p == nil || d <= 0:
	case p.meanServiceMs == 0:
		p.meanServiceMs = float64(d)
	default:
		p.meanServiceMs += serviceMeanWeight * (float64(d) - p.meanServiceMs)
	}
}

// releaseQueued releases queued requests that are due, and others while the pool
// has capacity. The caller must hold engineTable.mu.
func (p *enginePool) releaseQueued(now kcclock.Millis) {
	for p.requestQueue.Len() > 0 {
		it, ok := p.requestQueue.PopDue(now)
		if !ok && float64(p.pool.Load+p.releasedUnsent) < delayTolerantLoadShare*float64(p.pool.Slots) {
			it, ok = p.requestQueue.Pop(now)
		}
		if !ok {
			return
		}
		if !it.Value.abandoned {
			p.releasedUnsent++
			it.Value.result <- nil
		}
	}
	p.requestQueue.TrimIdleWorkspaces()
}

// awaitCapacity queues a request until the pool of the version has capacity, its
// latest start is near, or it is shed from a full queue. It returns nil when
// ctx ends; the dispatch then rejects the request.
func (s *Server) awaitCapacity(ctx context.Context, ex *Exchange, version string) *kcapi.Error {
	members := s.Directory.Engines(version)
	w := &queuedRequest{result: make(chan *kcapi.Error, 1)}
	s.enginePools.mu.Lock()
	p := s.enginePools.poolFor(version, members)
	shed, full := p.requestQueue.Push(kcqueue.Item[*queuedRequest]{
		Value: w, LatestStart: ex.Deadline - ex.startMarginMs, Workspace: ex.WorkspaceName, Weight: ex.Workspace.Weight,
		Work: float64(ex.Chat.OutputLimit()),
	})
	if full && !shed.Value.abandoned {
		shed.Value.result <- kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeOverloaded, kcapi.NotRun,
			"too many requests wait for capacity").WithRetryAfter(kcclock.Second)
	}
	p.releaseQueued(s.Clock.Now())
	s.enginePools.mu.Unlock()
	for {
		select {
		case refusal := <-w.result:
			s.enginePools.mu.Lock()
			if refusal == nil {
				p.releasedUnsent--
			}
			s.enginePools.mu.Unlock()
			return refusal
		case <-ctx.Done():
			s.enginePools.mu.Lock()
			w.abandoned = true
			if len(w.result) > 0 && <-w.result == nil {
				p.releasedUnsent--
			}
			s.enginePools.mu.Unlock()
			return nil
		case <-s.Clock.After(queuePollMs):
			s.enginePools.mu.Lock()
			s.enginePools.poolFor(version, s.Directory.Engines(version))
			p.releaseQueued(s.Clock.Now())
			s.enginePools.mu.Unlock()
		}
	}
}

// prefixHashes returns a hash of each prefix of the messages, up to
// maxPrefixMessages long.
func prefixHashes(messages []kcchat.Message) []uint64 {
	out := make([]uint64, 0, maxPrefixMessages)
	d := xxhash.New()
	for _, m := range messages[:min(len(messages), maxPrefixMessages)] {
		_, _ = d.WriteString(m.Role)
		_, _ = d.Write(m.Content)
		out = append(out, d.Sum64())
	}
	return out
}
