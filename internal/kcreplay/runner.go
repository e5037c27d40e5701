package kcreplay

import (
	"container/heap"
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// prefillChunkTokens is the number of prompt tokens that a runner processes for one
// request in one decoding step.
const prefillChunkTokens = 256

// task is one request at a runner.
type task struct {
	// steps is the length of the task in decoding steps.
	steps float64
	// endStep is the step count of the runner at which the task is complete.
	endStep float64
	// priority orders waiting tasks; the lowest starts first.
	priority  kcclock.Millis
	seq       int
	startedAt kcclock.Millis
	onDone    func()
	onLost    func()
}

// runner simulates an engine with continuous batching: in each step every running
// request advances by one token or one chunk of its prompt. Progress is counted in
// steps, so a change of the batch size does not require updating the running
// requests.
type runner struct {
	spec Upstream
	sim  *sim
	// completedSteps is the step count at the time advancedAt, in milliseconds.
	completedSteps float64
	advancedAt     float64
	running        taskHeap
	waiting        taskHeap
	cache          *prefixCache
	// scheduleVersion identifies the last scheduled completion event.
	scheduleVersion int
	down            bool
}

func (r *runner) load() int { return len(r.running.items) + len(r.waiting.items) }

// batchStepMs returns the duration of a step with the current batch. It nearly
// doubles from one running request to a full batch.
func (r *runner) batchStepMs() float64 {
	return r.spec.DecodeStepMs * (1 + float64(len(r.running.items)-1)/float64(r.spec.Slots))
}

// advance counts the steps since the last call. It must be called before the batch
// changes.
func (r *runner) advance() {
	now := float64(r.sim.now)
	if len(r.running.items) > 0 {
		r.completedSteps += (now - r.advancedAt) / r.batchStepMs()
	}
	r.advancedAt = now
}

func (r *runner) submit(t *task) {
	if r.down {
		t.onLost()
		return
	}
	r.advance()
	heap.Push(&r.waiting, t)
	r.fillSlots()
}

// fillSlots starts waiting tasks while slots are free.
func (r *runner) fillSlots() {
	for len(r.running.items) < r.spec.Slots && len(r.waiting.items) > 0 {
		t := heap.Pop(&r.waiting).(*task)
		t.endStep, t.startedAt = r.completedSteps+t.steps, r.sim.now
		heap.Push(&r.running, t)
	}
	r.scheduleCompletion()
}

// scheduleCompletion schedules an event for the task that completes first. An
// event that a later one has replaced is recognized by its version and ignored.
func (r *runner) scheduleCompletion() {
	r.scheduleVersion++
	if len(r.running.items) == 0 {
		return
	}
	version := r.scheduleVersion
	remainingMs := max(r.running.items[0].endStep-r.completedSteps, 0) * r.batchStepMs()
	r.sim.after(kcclock.Millis(math.Ceil(remainingMs)), func() {
		if version == r.scheduleVersion {
			r.completeTasks()
		}
	})
}

// stepTolerance compensates for rounding errors of step counts.
const stepTolerance = 1e-6

func (r *runner) completeTasks() {
	r.advance()
	var done []*task
	for len(r.running.items) > 0 && r.running.items[0].endStep <= r.completedSteps+stepTolerance {
		done = append(done, heap.Pop(&r.running).(*task))
	}
	r.fillSlots()
	for _, t := range done {
		t.onDone()
	}
}

// crash stops the runner. It loses all tasks and the prefix cache.
func (r *runner) crash() {
	r.down = true
	r.scheduleVersion++
	lost := slices.Concat(r.running.items, r.waiting.items)
	r.running.items, r.waiting.items = nil, nil
	r.cache = newPrefixCache(r.spec.MaxCachedPrefixes)
	for _, t := range lost {
		t.onLost()
	}
}

// taskHeap orders running tasks by their end step and waiting tasks by priority.
type taskHeap struct {
	items     []*task
	byEndStep bool
}

func (h *taskHeap) Len() int { return len(h.items) }

func (h *taskHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.byEndStep && a.endStep != b.endStep {
		return a.endStep < b.endStep
	}
	if !h.byEndStep && a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.seq < b.seq
}

func (h *taskHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }
func (h *taskHeap) Push(x any)    { h.items = append(h.items, x.(*task)) }

func (h *taskHeap) Pop() any {
	t := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return t
}

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	capacity   int
	useCounter int
	lastUse    map[uint64]int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lastUse: make(map[uint64]int)}
}

// countLeadingHits returns the number of leading blocks that are cached.
func (c *prefixCache) countLeadingHits(prefixes []uint64) int {
	for i, p := range prefixes {
		if _, ok := c.lastUse[p]; !ok {
			return i
		}
	}
	return len(prefixes)
}

// add caches the blocks and returns the blocks that it evicted. The blocks of one
// call stay cached even if they exceed the capacity.
func (c *prefixCache) add(prefixes []uint64) []uint64 {
	for _, p := range prefixes {
		c.useCounter++
		c.lastUse[p] = c.useCounter
	}
	var evicted []uint64
	for len(c.lastUse) > max(c.capacity, len(prefixes)) {
		oldest, oldestUse := uint64(0), math.MaxInt
		for p, t := range c.lastUse {
			if t < oldestUse {
				oldest, oldestUse = p, t
			}
		}
		delete(c.lastUse, oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}
