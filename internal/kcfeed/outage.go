package kcfeed

import (
	"context"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// nonProberBackoffFactor is how much longer an instance pauses between its tries that
	// is not among the first to ask for others. It learns of the end of an
	// outage from those.
	nonProberBackoffFactor = 2.5
	// otherTopicRetryMs bounds how long a follower leaves the tries to that of
	// another topic: a store may lose one topic only.
	otherTopicRetryMs = 5000 * kcclock.Millisecond
	// peerCheckIntervalMs is the time between looks for a peer that can read again.
	peerCheckIntervalMs = 100 * kcclock.Millisecond
)

// Outage lets the followers of an instance share their tries while the store
// is away: one of them asks, and the others wait for its success.
type OutageCoordinator struct {
	Clock kcclock.Clock
	// First reports whether this instance is among those that ask first.
	ProbesFirst func() bool

	mu sync.Mutex
	// probing is the topic whose follower asks, empty without an outage.
	probingTopic string
	// ended is closed at the end of the outage.
	ended chan struct{}
}

// wait returns when a follower should try again: after pause, at the end of
// the outage, or once a peer helps.
func (o *OutageCoordinator) waitRetry(ctx context.Context, topic string, pause kcclock.Millis, helped func() bool) {
	o.mu.Lock()
	if o.probingTopic == "" {
		o.probingTopic, o.ended = topic, make(chan struct{})
	}
	asks, ended := o.probingTopic == topic, o.ended
	o.mu.Unlock()
	switch {
	case !asks:
		pause = otherTopicRetryMs
	case !o.ProbesFirst():
		pause = kcclock.Millis(nonProberBackoffFactor * float64(pause))
	}
	for until := o.Clock.Now() + pause; !helped(); {
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

// end tells the other followers that the store answers.
func (o *OutageCoordinator) recovered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.probingTopic != "" {
		o.probingTopic = ""
		close(o.ended)
	}
}
