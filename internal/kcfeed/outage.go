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

	mu sync.Mutex
	// probingTopic is the topic whose follower probes the store. It is empty
	// without an outage.
	probingTopic string
	// ended is closed at the end of the outage.
	ended chan struct{}
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
