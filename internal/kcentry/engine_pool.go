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
	// headerEngineLoad carries the load of an engine, as JSON, on its answers.
	headerEngineLoad = "X-Engine-Load"
	// unbounded is the number of slots of an engine that reports none.
	unboundedSlots = 1 << 16
	// maxQueuedPerVersion bounds the waiting requests of the instance per version.
	maxQueuedPerVersion = 1000
	// promotionMarginMs is the time before its latest start at which a waiting request
	// is sent even to a full pool.
	promotionMarginMs = 2 * kcclock.Second
	// queuePollMs is the pause between two looks at the pool.
	queuePollMs = 100 * kcclock.Millisecond
	// delayTolerantLoadShare is the part of the slots of a pool that requests may fill
	// that are not due; the rest is for those that are.
	delayTolerantLoadShare = 0.85
	// assumedOutputTokens is the answer that the time of a slot is estimated from.
	assumedOutputTokens = 400
	maxTrackedPrefixes  = 16384
	// maxPrefixMessages is the number of messages whose prefixes are placed.
	maxPrefixMessages = 4
)

// engineTable is what the instance knows of the load of engines.
type engineTable struct {
	// blocked returns the engines that get no request for now.
	blockedEngines func() []string
	mu             sync.Mutex
	pools          map[string]*enginePool
}

type enginePool struct {
	members   []kcmember.Member
	pool      *kcroute.Pool
	indexByID map[string]int
	// blocked are the indexes of the engines that are left out because their
	// circuit breaker is open.
	blockedIndexes []int
	prefixes       *kcroute.Prefixes
	requestQueue   *kcqueue.Queue[*queuedRequest]
	// meanServiceMs is the mean time that a request holds a slot, 0 before any.
	meanServiceMs float64
	// released requests were taken from the queue and are not yet sent.
	releasedUnsent int
}

// waiter is a request in the queue.
type queuedRequest struct {
	// answer gets nil when the request may be sent.
	result    chan *kcapi.Error
	abandoned bool
}

func newEngineTable(blocked func() []string) *engineTable {
	return &engineTable{blockedEngines: blocked, pools: make(map[string]*enginePool)}
}

// get returns the pool of a version. The caller holds the lock.
func (t *engineTable) poolFor(version string, members []kcmember.Member) *enginePool {
	p := t.pools[version]
	if p == nil {
		p = &enginePool{
			prefixes:     kcroute.NewPrefixes(maxTrackedPrefixes),
			requestQueue: kcqueue.New[*queuedRequest](kcqueue.Options{Max: maxQueuedPerVersion, MarginMs: promotionMarginMs}),
		}
		t.pools[version] = p
	}
	if p.pool == nil || !isSameSlice(p.members, members) {
		p.rebuild(members)
	}
	p.setBlocked(t.blockedEngines())
	return p
}

// block leaves out the engines with the ids and no others.
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
		p.pool.Runners[i].Down = down
	}
	p.pool.Recount()
}

// same compares the identity of slices that are replaced and never changed.
func isSameSlice(a, b []kcmember.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (p *enginePool) rebuild(members []kcmember.Member) {
	runners := make([]kcroute.Runner, len(members))
	index := make(map[string]int, len(members))
	for i, m := range members {
		runners[i] = kcroute.Runner{ID: m.ID, Zone: m.Zone, Region: m.Region, Slots: unboundedSlots}
		if j, ok := p.indexByID[m.ID]; ok {
			runners[i].Load, runners[i].Slots = p.pool.Runners[j].Load, p.pool.Runners[j].Slots
		}
		index[m.ID] = i
	}
	// Indexes have changed, so the believed holders are void.
	p.prefixes = kcroute.NewPrefixes(maxTrackedPrefixes)
	p.members, p.indexByID, p.pool, p.blockedIndexes = members, index, kcroute.NewPool(runners, 0), nil
}

// add changes the load of an engine by a request that starts or ends.
func (t *engineTable) addInFlight(id string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		if i, ok := p.indexByID[id]; ok {
			p.pool.Add(i, n)
		}
	}
}

// report takes the load that an engine states on an answer.
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
			r := &p.pool.Runners[i]
			r.Load, r.Slots = max(load.Running+load.Waiting, 0), load.Slots
			p.pool.Recount()
		}
	}
}

// wait returns the expected wait for a slot, with queued that of the requests
// in the queue included. meanServiceMs is the time that a request holds a slot until it is measured.
func (t *engineTable) expectedWait(
	version string, members []kcmember.Member, serviceMs kcclock.Millis, queued bool,
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
	wait := p.pool.Wait()
	if queued {
		wait += serviceMs * kcclock.Millis(p.requestQueue.Len()) / kcclock.Millis(p.pool.Slots)
	}
	return wait, true
}

// place returns the engine for a request, the best one that admit permits.
func (t *engineTable) placeRequest(
	version string, members []kcmember.Member, pl kcroute.Placement, admit func(id string) bool,
) (kcmember.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.poolFor(version, members)
	i := kcroute.Place(p.pool, pl, p.prefixes)
	var denied []int
	for i >= 0 && !admit(p.members[i].ID) {
		denied = append(denied, i)
		p.setDown(denied, true)
		i = kcroute.Place(p.pool, pl, p.prefixes)
	}
	if denied != nil {
		p.setDown(denied, false)
	}
	if i < 0 {
		return kcmember.Member{}, false
	}
	for _, prefix := range pl.Prefixes {
		p.prefixes.Note(prefix, i)
	}
	return p.members[i], true
}

// serviceMeanWeight is the weight of an answer in the mean time that a request holds
// a slot.
const serviceMeanWeight = 0.02

// took learns the time that a request of a version held a slot.
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

// pump releases waiting requests while the pool has room. The caller holds the
// lock.
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
	p.requestQueue.Trim()
}

// await holds a request until the pool of the version has room, its latest
// start is near, or it is shed. A request that ends its wait because ctx has
// ended is refused by the dispatch.
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

// prefixHashes returns the hashes of the first messages, each with those before.
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
