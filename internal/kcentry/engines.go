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
	unbounded = 1 << 16
	// maxWaiting bounds the waiting requests of the instance per version.
	maxWaiting = 1000
	// promoteMs is the time before its latest start at which a waiting request
	// is sent even to a full pool.
	promoteMs = 2 * kcclock.Second
	// waitCheckMs is the pause between two looks at the pool.
	waitCheckMs = 100 * kcclock.Millisecond
	// patientLoad is the part of the slots of a pool that requests may fill
	// that are not due; the rest is for those that are.
	patientLoad = 0.85
	// meanTokens is the answer that the time of a slot is estimated from.
	meanTokens  = 400
	maxPrefixes = 16384
	// prefixMessages is the number of messages whose prefixes are placed.
	prefixMessages = 4
)

// engineTable is what the instance knows of the load of engines.
type engineTable struct {
	// blocked returns the engines that get no request for now.
	blocked func() []string
	mu      sync.Mutex
	pools   map[string]*enginePool
}

type enginePool struct {
	members []kcmember.Member
	pool    *kcroute.Pool
	index   map[string]int
	// blocked are the indexes of the engines that are left out because their
	// circuit breaker is open.
	blocked  []int
	prefixes *kcroute.PrefixIndex
	queue    *kcqueue.Queue[*waiter]
	// serviceMs is the mean time that a request holds a slot, 0 before any.
	serviceMs float64
	// released requests were taken from the queue and are not yet sent.
	released int
}

// waiter is a request in the queue.
type waiter struct {
	// answer gets nil when the request may be sent.
	answer chan *kcapi.Error
	left   bool
}

func newEngineTable(blocked func() []string) *engineTable {
	return &engineTable{blocked: blocked, pools: make(map[string]*enginePool)}
}

// get returns the pool of a version. The caller holds the lock.
func (t *engineTable) get(version string, members []kcmember.Member) *enginePool {
	p := t.pools[version]
	if p == nil {
		p = &enginePool{
			prefixes: kcroute.NewPrefixIndex(maxPrefixes),
			queue:    kcqueue.New[*waiter](kcqueue.Options{MaxWaiting: maxWaiting, PromotionMarginMs: promoteMs}),
		}
		t.pools[version] = p
	}
	if p.pool == nil || !same(p.members, members) {
		p.rebuild(members)
	}
	p.block(t.blocked())
	return p
}

// block leaves out the engines with the ids and no others.
func (p *enginePool) block(ids []string) {
	if len(ids) == 0 && len(p.blocked) == 0 {
		return
	}
	p.setDown(p.blocked, false)
	p.blocked = p.blocked[:0]
	for _, id := range ids {
		if i, ok := p.index[id]; ok {
			p.blocked = append(p.blocked, i)
		}
	}
	p.setDown(p.blocked, true)
}

func (p *enginePool) setDown(indexes []int, down bool) {
	for _, i := range indexes {
		p.pool.Upstreams[i].Down = down
	}
	p.pool.RecomputeTotals()
}

// same compares the identity of slices that are replaced and never changed.
func same(a, b []kcmember.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (p *enginePool) rebuild(members []kcmember.Member) {
	runners := make([]kcroute.Upstream, len(members))
	index := make(map[string]int, len(members))
	for i, m := range members {
		runners[i] = kcroute.Upstream{ID: m.ID, Zone: m.Zone, Region: m.Region, Slots: unbounded}
		if j, ok := p.index[m.ID]; ok {
			runners[i].Load, runners[i].Slots = p.pool.Upstreams[j].Load, p.pool.Upstreams[j].Slots
		}
		index[m.ID] = i
	}
	// Indexes have changed, so the believed holders are void.
	p.prefixes = kcroute.NewPrefixIndex(maxPrefixes)
	p.members, p.index, p.pool, p.blocked = members, index, kcroute.NewPool(runners, 0), nil
}

// add changes the load of an engine by a request that starts or ends.
func (t *engineTable) add(id string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		if i, ok := p.index[id]; ok {
			p.pool.AddLoad(i, n)
		}
	}
}

// report takes the load that an engine states on an answer.
func (t *engineTable) report(id, header string) {
	var load struct{ Running, Waiting, Slots int }
	if header == "" || json.Unmarshal([]byte(header), &load) != nil {
		return
	}
	if load.Slots <= 0 {
		load.Slots = unbounded
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		if i, ok := p.index[id]; ok {
			r := &p.pool.Upstreams[i]
			r.Load, r.Slots = max(load.Running+load.Waiting, 0), load.Slots
			p.pool.RecomputeTotals()
		}
	}
}

// wait returns the expected wait for a slot, with queued that of the requests
// in the queue included. serviceMs is the time that a request holds a slot until it is measured.
func (t *engineTable) wait(
	version string, members []kcmember.Member, serviceMs kcclock.Millis, queued bool,
) (kcclock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.get(version, members)
	if p.pool.Live == 0 {
		return 0, false
	}
	if p.serviceMs > 0 {
		serviceMs = kcclock.Millis(p.serviceMs)
	}
	p.pool.ServiceMs = serviceMs
	wait := p.pool.ExpectedWait()
	if queued {
		wait += serviceMs * kcclock.Millis(p.queue.Len()) / kcclock.Millis(p.pool.Slots)
	}
	return wait, true
}

// place returns the engine for a request, the best one that admit permits.
func (t *engineTable) place(
	version string, members []kcmember.Member, pl kcroute.Placement, admit func(id string) bool,
) (kcmember.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.get(version, members)
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

// servicePart is the weight of an answer in the mean time that a request holds
// a slot.
const servicePart = 0.02

// took learns the time that a request of a version held a slot.
func (t *engineTable) took(version string, d kcclock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[version]
	switch {
	case p == nil || d <= 0:
	case p.serviceMs == 0:
		p.serviceMs = float64(d)
	default:
		p.serviceMs += servicePart * (float64(d) - p.serviceMs)
	}
}

// pump releases waiting requests while the pool has room. The caller holds the
// lock.
func (p *enginePool) pump(now kcclock.Millis) {
	for p.queue.Len() > 0 {
		it, ok := p.queue.PopDue(now)
		if !ok && float64(p.pool.Load+p.released) < patientLoad*float64(p.pool.Slots) {
			it, ok = p.queue.Pop(now)
		}
		if !ok {
			return
		}
		if !it.Value.left {
			p.released++
			it.Value.answer <- nil
		}
	}
	p.queue.TrimIdleWorkspaces()
}

// await holds a request until the pool of the version has room, its latest
// start is near, or it is shed. A request that ends its wait because ctx has
// ended is refused by the dispatch.
func (s *Server) await(ctx context.Context, ex *Exchange, version string) *kcapi.Error {
	members := s.Directory.Engines(version)
	w := &waiter{answer: make(chan *kcapi.Error, 1)}
	s.engines.mu.Lock()
	p := s.engines.get(version, members)
	shed, full := p.queue.Push(kcqueue.Item[*waiter]{
		Value: w, LatestStart: ex.Deadline - ex.reserve, Workspace: ex.WorkspaceName, Weight: ex.Workspace.Weight,
		Work: float64(ex.Chat.OutputLimit()),
	})
	if full && !shed.Value.left {
		shed.Value.answer <- kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeOverloaded, kcapi.NotRun,
			"too many requests wait for capacity").WithRetryAfter(kcclock.Second)
	}
	p.pump(s.Clock.Now())
	s.engines.mu.Unlock()
	for {
		select {
		case refusal := <-w.answer:
			s.engines.mu.Lock()
			if refusal == nil {
				p.released--
			}
			s.engines.mu.Unlock()
			return refusal
		case <-ctx.Done():
			s.engines.mu.Lock()
			w.left = true
			if len(w.answer) > 0 && <-w.answer == nil {
				p.released--
			}
			s.engines.mu.Unlock()
			return nil
		case <-s.Clock.After(waitCheckMs):
			s.engines.mu.Lock()
			s.engines.get(version, s.Directory.Engines(version))
			p.pump(s.Clock.Now())
			s.engines.mu.Unlock()
		}
	}
}

// prefixesOf returns the hashes of the first messages, each with those before.
func prefixesOf(messages []kcchat.Message) []uint64 {
	out := make([]uint64, 0, prefixMessages)
	d := xxhash.New()
	for _, m := range messages[:min(len(messages), prefixMessages)] {
		_, _ = d.WriteString(m.Role)
		_, _ = d.Write(m.Content)
		out = append(out, d.Sum64())
	}
	return out
}
