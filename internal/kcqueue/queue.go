// Package kcqueue holds requests that wait for capacity. It combines
// earliest-deadline-first order for urgent requests with weighted fair queueing
// between workspaces.
package kcqueue

import (
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Item is a waiting request.
type Item[T any] struct {
	Value T
	// LatestStart is the deadline minus the expected run time.
	LatestStart kcclock.Millis
	Workspace   string
	// Weight is the weight of the workspace in fair queueing; 0 means 1.
	Weight float64
	// Work is the expected capacity use in any unit; 0 means 1.
	Work float64
}

// Options configures a Queue.
type Options struct {
	// Max bounds the number of waiting requests.
	MaxWaiting int
	// PromotionMarginMs is the time before the latest start from which a
	// request takes precedence over the fair order.
	PromotionMarginMs kcclock.Millis
}

// Queue orders waiting requests by urgency and by fair shares of the
// workspaces. It is not safe for concurrent use.
type Queue[T any] struct {
	opts       Options
	workspaces map[string]*workspaceQueue[T]
	size       int
	// virtualTime is the virtual start time of the last request taken.
	virtualTime float64
}

// workspaceQueue holds the requests of one workspace in descending order of
// their latest start, so the most urgent one is taken from the end.
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

// Push adds a request. If the queue is full, it returns the request to shed,
// which can be the new one: the least urgent request of the workspace with the
// most waiting requests relative to its weight.
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

// shedLeastUrgent removes and returns the least urgent request of the workspace
// with the most waiting requests relative to its weight.
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

// Pop takes the next request: the most urgent one if its latest start is within
// the margin, otherwise the most urgent one of the workspace that has used the
// least capacity relative to its weight. It returns false if the queue is
// empty.
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

// servedBefore orders workspaces by virtual finish time and then by urgency.
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
	l.removeAt(len(l.items) - 1)
	q.size--
	q.virtualTime = max(q.virtualTime, l.virtualFinish)
	l.virtualFinish += it.Work / it.Weight
	return it
}

// PopExpired takes a request whose latest start has come. Its workspace is not
// charged, because the request gets no capacity.
func (q *Queue[T]) PopExpired(now kcclock.Millis) (Item[T], bool) {
	for _, l := range q.workspaces {
		if n := len(l.items) - 1; n >= 0 && l.items[n].LatestStart <= now {
			it := l.items[n]
			l.removeAt(n)
			q.size--
			return it, true
		}
	}
	return Item[T]{}, false
}

// Remove removes the request of a workspace with a latest start for which match
// returns true. It reports whether there was one.
func (q *Queue[T]) Remove(workspace string, latestStart kcclock.Millis, match func(T) bool) bool {
	l := q.workspaces[workspace]
	if l == nil {
		return false
	}
	n, _ := slices.BinarySearchFunc(l.items, latestStart, func(x Item[T], t kcclock.Millis) int {
		if x.LatestStart > t {
			return -1
		}
		return 1
	})
	for ; n < len(l.items) && l.items[n].LatestStart == latestStart; n++ {
		if match(l.items[n].Value) {
			l.removeAt(n)
			q.size--
			return true
		}
	}
	return false
}

// removeAt removes an item and lets go of what it refers to.
func (l *workspaceQueue[T]) removeAt(n int) { l.items = slices.Delete(l.items, n, n+1) }

// Shed removes and returns the request that Push would shed from a full queue. It
// returns false if the queue is empty.
func (q *Queue[T]) Shed() (Item[T], bool) {
	if q.size == 0 {
		return Item[T]{}, false
	}
	return q.shedLeastUrgent(), true
}

// Charge counts capacity that a workspace uses for a request that has not waited.
func (q *Queue[T]) Charge(workspace string, work, weight float64) {
	l := q.workspaces[workspace]
	if l == nil {
		l = &workspaceQueue[T]{}
		q.workspaces[workspace] = l
	}
	l.virtualFinish = max(l.virtualFinish, q.virtualTime)
	q.virtualTime = l.virtualFinish
	l.virtualFinish += positiveOrOne(work) / positiveOrOne(weight)
}

// TrimIdleWorkspaces removes workspaces that have no waiting requests and whose
// past use no longer affects the order.
func (q *Queue[T]) TrimIdleWorkspaces() {
	for ws, l := range q.workspaces {
		if len(l.items) == 0 && l.virtualFinish <= q.virtualTime {
			delete(q.workspaces, ws)
		}
	}
}
