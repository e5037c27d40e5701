package kcfeed

import (
	"context"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// restFactor is how much longer an instance pauses between its tries that
	// is not among the first to ask for others. It learns of the end of an
	// outage from those.
	restFactor = 2.5
	// otherTopicMs bounds how long a follower leaves the tries to that of
	// another topic: a store may lose one topic only.
	otherTopicMs = 5000 * kcclock.Millisecond
	// lookMs is the time between looks for a peer that can read again.
	lookMs = 100 * kcclock.Millisecond
)

// Outage lets the followers of an instance share their tries while the store
// is away: one of them asks, and the others wait for its success.
type OutageCoordinator struct {
	Clock kcclock.Clock
	// First reports whether this instance is among those that ask first.
	ProbesFirst func() bool

	mu sync.Mutex
	// probing is the topic whose follower asks, empty without an outage.
	probing string
	// ended is closed at the end of the outage.
	ended chan struct{}
}

// wait returns when a follower should try again: after pause, at the end of
// the outage, or once a peer helps.
func (o *OutageCoordinator) wait(ctx context.Context, topic string, pause kcclock.Millis, helped func() bool) {
	o.mu.Lock()
	if o.probing == "" {
		o.probing, o.ended = topic, make(chan struct{})
	}
	asks, ended := o.probing == topic, o.ended
	o.mu.Unlock()
	switch {
	case !asks:
		pause = otherTopicMs
	case !o.ProbesFirst():
		pause = kcclock.Millis(restFactor * float64(pause))
	}
	for until := o.Clock.Now() + pause; !helped(); {
		left := until - o.Clock.Now()
		if left <= 0 {
			return
		}
		select {
		case <-o.Clock.After(min(left, lookMs)):
		case <-ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// end tells the other followers that the store answers.
func (o *OutageCoordinator) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.probing != "" {
		o.probing = ""
		close(o.ended)
	}
}
