package kcstandin

import (
	"context"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Load is the load that an engine or a service reports.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests that can run at the same time; 0 means no limit.
	Slots int `json:"slots"`
	// At is the time at which the load was sampled.
	At kcclock.Millis `json:"atMs"`
}

// admissionQueue limits how many requests of an engine run at the same time.
// Waiting requests are admitted in the order of their priority, the lowest
// number first, and in the order of arrival within one priority.
type admissionQueue struct {
	clock kcclock.Clock
	slots int

	mu          sync.Mutex
	running     int
	waiting     []*queuedRequest
	loadHistory []Load
}

type queuedRequest struct {
	priority int
	admitted chan struct{}
}

// maxLoadHistory is the number of past loads that are kept for reports of an
// older load.
const maxLoadHistory = 4096

// acquireSlot waits for a slot. It returns false if ctx ended first.
func (q *admissionQueue) acquireSlot(ctx context.Context, priority int) bool {
	w := &queuedRequest{priority: priority, admitted: make(chan struct{})}
	q.mu.Lock()
	pos, _ := slices.BinarySearchFunc(q.waiting, w, func(a, w *queuedRequest) int {
		if a.priority <= w.priority {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, pos, w)
	q.admitWaiting()
	q.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	} else {
		q.running--
	}
	q.admitWaiting()
	return false
}

// releaseSlot frees a slot and admits the next request.
func (q *admissionQueue) releaseSlot() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.admitWaiting()
}

// admitWaiting gives free slots to waiting requests and records the load. The
// caller holds the lock.
func (q *admissionQueue) admitWaiting() {
	for len(q.waiting) > 0 && (q.slots <= 0 || q.running < q.slots) {
		close(q.waiting[0].admitted)
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.running++
	}
	q.loadHistory = append(q.loadHistory, q.currentLoad())
	q.loadHistory = slices.Delete(q.loadHistory, 0, max(len(q.loadHistory)-maxLoadHistory, 0))
}

func (q *admissionQueue) currentLoad() Load {
	return Load{Running: q.running, Waiting: len(q.waiting), Slots: q.slots, At: q.clock.Now()}
}

// loadBefore returns the load as it was lag milliseconds ago.
func (q *admissionQueue) loadBefore(lag kcclock.Millis) Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	if lag <= 0 {
		return q.currentLoad()
	}
	at := q.clock.Now() - lag
	past := Load{Slots: q.slots}
	for _, l := range q.loadHistory {
		if l.At <= at {
			past = l
		}
	}
	past.At = at
	return past
}
