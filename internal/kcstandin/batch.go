package kcstandin

import (
	"context"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Load is what an engine reports of its load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests that can run at once; 0 means no bound.
	Slots int `json:"slots"`
	// At is the time that the figures are from.
	At kcclock.Millis `json:"atMs"`
}

// batch bounds the running requests of an engine. Of the waiting requests,
// those with the lowest priority number come first, then the oldest.
type admissionQueue struct {
	clock kcclock.Clock
	slots int

	mu      sync.Mutex
	running int
	waiting []*queuedRequest
	loadHistory []Load
}

type queuedRequest struct {
	priority int
	admitted chan struct{}
}

// maxLoadHistory bounds the past loads that lagging reports are taken from.
const maxLoadHistory = 4096

// enter waits for a slot. It returns false if ctx ended first.
func (b *admissionQueue) acquireSlot(ctx context.Context, priority int) bool {
	w := &queuedRequest{priority: priority, admitted: make(chan struct{})}
	b.mu.Lock()
	at, _ := slices.BinarySearchFunc(b.waiting, w, func(a, w *queuedRequest) int {
		if a.priority <= w.priority {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, w)
	b.admitWaiting()
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	} else {
		b.running--
	}
	b.admitWaiting()
	return false
}

// leave frees the slot.
func (b *admissionQueue) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.admitWaiting()
}

// admit gives free slots to waiting requests and notes the load.
func (b *admissionQueue) admitWaiting() {
	for len(b.waiting) > 0 && (b.slots <= 0 || b.running < b.slots) {
		close(b.waiting[0].admitted)
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running++
	}
	b.loadHistory = append(b.loadHistory, b.currentLoad())
	b.loadHistory = slices.Delete(b.loadHistory, 0, max(len(b.loadHistory)-maxLoadHistory, 0))
}

func (b *admissionQueue) currentLoad() Load {
	return Load{Running: b.running, Waiting: len(b.waiting), Slots: b.slots, At: b.clock.Now()}
}

// load returns the load as it was lag milliseconds ago.
func (b *admissionQueue) loadBefore(lag kcclock.Millis) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lag <= 0 {
		return b.currentLoad()
	}
	at := b.clock.Now() - lag
	past := Load{Slots: b.slots}
	for _, l := range b.loadHistory {
		if l.At <= at {
			past = l
		}
	}
	past.At = at
	return past
}
