package kcreplay

import (
	"container/heap"
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// prefillChunk is the number of prompt tokens that a runner processes for one
// request in one decoding step.
const prefillChunk = 256

// work is one request at a runner.
type work struct {
	steps    float64
	end      float64
	priority kcclock.Millis
	seq      int
	started  kcclock.Millis
	done     func()
	lost     func()
}

// runner simulates continuous batching: in each step every running request
// advances by one token or one chunk of its prompt. Progress is counted in
// steps, so a change of the batch size needs no change to its requests.
type runner struct {
	spec    Upstream
	sim     *sim
	steps   float64
	at      float64
	running workHeap
	waiting workHeap
	cache   *prefixCache
	version int
	down    bool
}

func (r *runner) load() int { return len(r.running.items) + len(r.waiting.items) }

func (r *runner) stepMs() float64 {
	return r.spec.DecodeStepMs * (1 + float64(len(r.running.items)-1)/float64(r.spec.Slots))
}

func (r *runner) advance() {
	now := float64(r.sim.now)
	if len(r.running.items) > 0 {
		r.steps += (now - r.at) / r.stepMs()
	}
	r.at = now
}

func (r *runner) submit(w *work) {
	if r.down {
		w.lost()
		return
	}
	r.advance()
	heap.Push(&r.waiting, w)
	r.fill()
}

func (r *runner) fill() {
	for len(r.running.items) < r.spec.Slots && len(r.waiting.items) > 0 {
		w := heap.Pop(&r.waiting).(*work)
		w.end, w.started = r.steps+w.steps, r.sim.now
		heap.Push(&r.running, w)
	}
	r.schedule()
}

// schedule plans the end of the request that is nearest to it. A plan that a
// later change has replaced is ignored by its version number.
func (r *runner) schedule() {
	r.version++
	if len(r.running.items) == 0 {
		return
	}
	version := r.version
	left := max(r.running.items[0].end-r.steps, 0) * r.stepMs()
	r.sim.after(kcclock.Millis(math.Ceil(left)), func() {
		if version == r.version {
			r.finish()
		}
	})
}

// stepTolerance absorbs the rounding of step counts.
const stepTolerance = 1e-6

func (r *runner) finish() {
	r.advance()
	var done []*work
	for len(r.running.items) > 0 && r.running.items[0].end <= r.steps+stepTolerance {
		done = append(done, heap.Pop(&r.running).(*work))
	}
	r.fill()
	for _, w := range done {
		w.done()
	}
}

// stop loses all work, as a crash does.
func (r *runner) stop() {
	r.down = true
	r.version++
	lost := slices.Concat(r.running.items, r.waiting.items)
	r.running.items, r.waiting.items = nil, nil
	r.cache = newPrefixCache(r.spec.MaxCachedPrefixes)
	for _, w := range lost {
		w.lost()
	}
}

// workHeap orders running work by its end and waiting work by priority.
type workHeap struct {
	items    []*work
	byTarget bool
}

func (h *workHeap) Len() int { return len(h.items) }

func (h *workHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.byTarget && a.end != b.end {
		return a.end < b.end
	}
	if !h.byTarget && a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.seq < b.seq
}

func (h *workHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }
func (h *workHeap) Push(x any)    { h.items = append(h.items, x.(*work)) }

func (h *workHeap) Pop() any {
	w := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return w
}

// prefixCache keeps the prefixes that were used last.
type prefixCache struct {
	limit int
	tick  int
	used  map[uint64]int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, used: make(map[uint64]int)}
}

// hit returns how many leading blocks are cached.
func (c *prefixCache) hit(prefixes []uint64) int {
	for i, p := range prefixes {
		if _, ok := c.used[p]; !ok {
			return i
		}
	}
	return len(prefixes)
}

// add caches the blocks and returns those that were evicted for them.
func (c *prefixCache) add(prefixes []uint64) []uint64 {
	for _, p := range prefixes {
		c.tick++
		c.used[p] = c.tick
	}
	var evicted []uint64
	for len(c.used) > max(c.limit, len(prefixes)) {
		oldest, tick := uint64(0), math.MaxInt
		for p, t := range c.used {
			if t < tick {
				oldest, tick = p, t
			}
		}
		delete(c.used, oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}
