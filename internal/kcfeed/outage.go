package kcfeed

import (
	"context"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// nonProberBackoffFactor is the factor by which an instance that does not
	// probe first waits longer between its retries. It learns of the end of an
	// outage from the instances that do.
	nonProberBackoffFactor = 2.5
	// otherTopicRetryMs bounds how long a follower leaves the retries to the
	// follower of another topic: the store may fail for a single topic only.
	otherTopicRetryMs = 5000 * kcclock.Millisecond
	// peerCheckIntervalMs is the time between checks for a peer that can read the
	// store again.
	peerCheckIntervalMs = 100 * kcclock.Millisecond
)

// OutageCoordinator lets the followers of an instance share their retries while
// the store is unavailable: one of them probes the store, and the others wait
// for its success.
type OutageCoordinator struct {
	Clock kcclock.Clock
	// ProbesFirst reports whether this instance is among those that probe the
	// store most often.
	ProbesFirst func() bool
	// LapseAfterMs is the shortest outage in which entries lapse that their owners
	// keep renewing.
	LapseAfterMs kcclock.Millis

	mu sync.Mutex
	// probingTopic is the topic whose follower probes the store. It is empty
	// without an outage.
	probingTopic string
	// ended is closed at the end of the outage.
	ended chan struct{}
	// answeredAt is the latest time at which the store is known to have answered
	// this instance or a peer.
	answeredAt kcclock.Millis
	// unavailable is true if the store did not answer on a new connection after
	// answeredAt.
	unavailable bool
	// returnedAt is when the store was back after its last outage in which entries
	// may have lapsed, 0 for never.
	returnedAt kcclock.Millis
}

// recordUnavailable records that the store did not answer on a new connection. A
// failure on a connection that was in use before says nothing of the store: open
// connections break, or go silent, while the store answers on new ones.
func (o *OutageCoordinator) recordUnavailable() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unavailable = true
}

// recordAnswer records that the store answered at a time. It returns the length
// of the outage that this ends, and false if there was none in which entries may
// have lapsed.
func (o *OutageCoordinator) recordAnswer(at kcclock.Millis) (outage kcclock.Millis, ended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at <= o.answeredAt {
		return 0, false
	}
	outage, ended = at-o.answeredAt, o.unavailable && o.answeredAt != 0 && at-o.answeredAt >= o.LapseAfterMs
	if ended {
		o.returnedAt = max(o.returnedAt, at)
	}
	o.answeredAt, o.unavailable = at, false
	return outage, ended
}

// recordReturn records that a peer saw the store come back at a time.
func (o *OutageCoordinator) recordReturn(at kcclock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.returnedAt = max(o.returnedAt, at)
}

// ReturnedAt returns when the store was back after its last outage in which
// entries may have lapsed, 0 for never.
func (o *OutageCoordinator) ReturnedAt() kcclock.Millis {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.returnedAt
}

// waitRetry returns when a follower should try again: after pause, at the end
// of the outage, or once a peer is available.
func (o *OutageCoordinator) waitRetry(ctx context.Context, topic string, pause kcclock.Millis, peerAvailable func() bool) {
	o.mu.Lock()
	if o.probingTopic == "" {
		o.probingTopic, o.ended = topic, make(chan struct{})
	}
	probes, ended := o.probingTopic == topic, o.ended
	o.mu.Unlock()
	switch {
	case !probes:
		pause = otherTopicRetryMs
	case !o.ProbesFirst():
		pause = kcclock.Millis(nonProberBackoffFactor * float64(pause))
	}
	for until := o.Clock.Now() + pause; !peerAvailable(); {
		left := until - o.Clock.Now()
		if left <= 0 {
			return
		}
		select {
		case <-o.Clock.After(min(left, peerCheckIntervalMs)):
		case <-ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// recovered tells the other followers that the store answers again.
func (o *OutageCoordinator) recovered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.probingTopic != "" {
		o.probingTopic = ""
		close(o.ended)
	}
}
