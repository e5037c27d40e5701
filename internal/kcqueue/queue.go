// Package kcqueue holds requests that wait for capacity. It orders them by the
// latest start that still meets their deadline and divides capacity fairly
// between workspaces.
package kcqueue

import (
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Item is a waiting request.
type Item[T any] struct {
	Value T
	// LatestStart is the deadline minus the expected time to run.
	LatestStart kcclock.Millis
	Workspace   string
	// Weight is the share of the workspace; 0 means 1.
	Weight float64
	// Work is the expected use of capacity in any unit; 0 means 1.
	Work float64
}

// Options configures a Queue.
type Options struct {
	// Max bounds the number of waiting requests.
	MaxWaiting int
	// PromotionMarginMs is the time before the latest start at which a request is
	// promoted over the fair order.
	PromotionMarginMs kcclock.Millis
}

// Queue is not safe for concurrent use.
type Queue[T any] struct {
	opts       Options
	workspaces map[string]*workspaceQueue[T]
	size       int
	// virtual is the virtual start time of the last request that was taken.
	virtualTime float64
}

// line holds the requests of one workspace, the latest start first, so that
// the most urgent one is taken from the end.
type workspaceQueue[T any] struct {
	items         []Item[T]
	virtualFinish float64
}

// New returns an empty queue.
func New[T any](opts Options) *Queue[T] {
	return &Queue[T]{opts: opts, workspaces: make(map[string]*workspaceQueue[T])}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.size }

// Push adds a request. If the queue is full, it returns the request that must
// be shed for it, which can be it itself: of the workspace with the most
// waiting work for its weight, the one that can wait longest.
func (q *Queue[T]) Push(it Item[T]) (shed Item[T], full bool) {
	it.Weight, it.Work = positiveOrOne(it.Weight), positiveOrOne(it.Work)
	l := q.workspaces[it.Workspace]
	if l == nil {
		l = &workspaceQueue[T]{}
		q.workspaces[it.Workspace] = l
	}
	if len(l.items) == 0 {
		l.virtualFinish = max(l.virtualFinish, q.virtualTime)
	}
	n, _ := slices.BinarySearchFunc(l.items, it.LatestStart, func(x Item[T], t kcclock.Millis) int {
		if x.LatestStart > t {
			return -1
		}
		return 1
	})
	l.items = slices.Insert(l.items, n, it)
	q.size++
	if q.size <= q.opts.MaxWaiting {
		return Item[T]{}, false
	}
	return q.shedLeastUrgent(), true
}

func positiveOrOne(x float64) float64 {
	if x <= 0 {
		return 1
	}
	return x
}

func (q *Queue[T]) shedLeastUrgent() Item[T] {
	var worst *workspaceQueue[T]
	name, most := "", 0.0
	for ws, l := range q.workspaces {
		if len(l.items) == 0 {
			continue
		}
		over := float64(len(l.items)) / l.items[0].Weight
		if worst == nil || over > most || (over == most && ws < name) {
			worst, name, most = l, ws, over
		}
	}
	it := worst.items[0]
	worst.items = slices.Delete(worst.items, 0, 1)
	q.size--
	return it
}

// Pop takes the next request: the most urgent one if its latest start is
// within the margin, else the most urgent one of the workspace that has had
// the least capacity for its weight. It returns false if the queue is empty.
func (q *Queue[T]) Pop(now kcclock.Millis) (Item[T], bool) {
	if it, ok := q.PopDue(now); ok {
		return it, true
	}
	var best *workspaceQueue[T]
	for _, l := range q.workspaces {
		if len(l.items) > 0 && (best == nil || servedBefore(l, best)) {
			best = l
		}
	}
	if best == nil {
		return Item[T]{}, false
	}
	return q.takeMostUrgent(best), true
}

// before orders by virtual time and then by urgency.
func servedBefore[T any](a, b *workspaceQueue[T]) bool {
	if a.virtualFinish != b.virtualFinish {
		return a.virtualFinish < b.virtualFinish
	}
	x, y := a.items[len(a.items)-1], b.items[len(b.items)-1]
	if x.LatestStart != y.LatestStart {
		return x.LatestStart < y.LatestStart
	}
	return x.Workspace < y.Workspace
}

// PopDue takes the most urgent request if its latest start is within the
// margin.
func (q *Queue[T]) PopDue(now kcclock.Millis) (Item[T], bool) {
	var best *workspaceQueue[T]
	var start kcclock.Millis
	for _, l := range q.workspaces {
		if len(l.items) == 0 {
			continue
		}
		last := l.items[len(l.items)-1]
		if best == nil || last.LatestStart < start ||
			(last.LatestStart == start && last.Workspace < best.items[len(best.items)-1].Workspace) {
			best, start = l, last.LatestStart
		}
	}
	if best == nil || start-q.opts.PromotionMarginMs > now {
		return Item[T]{}, false
	}
	return q.takeMostUrgent(best), true
}

func (q *Queue[T]) takeMostUrgent(l *workspaceQueue[T]) Item[T] {
	it := l.items[len(l.items)-1]
	l.items = l.items[:len(l.items)-1]
	q.size--
	q.virtualTime = max(q.virtualTime, l.virtualFinish)
	l.virtualFinish += it.Work / it.Weight
	return it
}

// Trim forgets workspaces without waiting requests whose past use no longer
// affects the order.
func (q *Queue[T]) TrimIdleWorkspaces() {
	for ws, l := range q.workspaces {
		if len(l.items) == 0 && l.virtualFinish <= q.virtualTime {
			delete(q.workspaces, ws)
		}
	}
}
