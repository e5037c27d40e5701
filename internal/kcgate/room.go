package kcgate

import (
	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// roomState is what the room of a service is computed from, and the last result.
type roomState struct {
	// hold is the time that requests hold a slot, expectedHoldMs the expected one
	// before the first has ended.
	hold           kcroom.Mean
	expectedHoldMs float64
	// tokens is the size of requests with prompts.
	tokens kcroom.Mean
	room   kcroom.Room
	roomAt kcclock.Millis
	use    float64
}

func (s *serviceState) recordPick(w *pickCriteria, workMs float64, now kcclock.Millis) {
	s.picks.Add(now, workMs)
	s.expectedHoldMs = w.holdMs
	if w.tokens > 0 {
		s.tokens.Add(float64(w.tokens))
	}
}

// Room returns the room of the upstreams of a service that take requests and for
// which usable, if not nil, is true. usable must only depend on the service, because
// the result is kept for some milliseconds. Upstreams of other regions count only if
// the region has none, because load reports do not cross regions.
func (l *Upstreams) Room(service string, usable func(kctable.Upstream) bool) kcroom.Room {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(service)
	if s.roomAt != 0 && now-s.roomAt < kcroom.KeepMs(s.room.Upstreams) {
		return s.room
	}
	l.expirePeerLoads(now)
	var b kcroom.Builder
	meanTokens := 0.0
	if l.capacity[service] > 0 {
		meanTokens = s.tokens.Or(0)
	}
	unheard := [distances]float64{inOtherRegion: 1}
	if n := len(l.peerZones); n > 0 {
		unheard[inZone] = max(1-float64(l.peers.Len())/float64(n), 0)
		unheard[inRegion] = unheard[inZone]
	}
	for d, list := range l.index(service) {
		if distance(d) == inOtherRegion && !b.Empty() {
			break
		}
		for _, u := range list {
			if u.leaving() || u.paused(now) || !u.breaker.Ready(now) || usable != nil && !usable(u.Upstream) {
				continue
			}
			b.Add(kcroom.Upstream{
				Slots: u.Slots, Load: u.estimatedLoad(now), Fresh: u.figures.Fresh(now), AgeMs: u.figures.Age(now),
				QueueLimit: u.queue.Limit(u.Slots), PrefillMs: u.figures.Pace(now).Ms(u.pendingWorkMs + u.peersWorkMs),
				FreeTokens: kcroom.FreeTokens(l.usedMemory(u, meanTokens, now), l.capacity[service]), Unheard: unheard[d],
			}, meanTokens)
		}
	}
	s.room, s.use = b.Room(s.hold.Or(s.expectedHoldMs), s.use)
	s.roomAt = now
	return s.room
}

// usedMemory returns the estimated memory in use at an upstream, in tokens.
func (l *Upstreams) usedMemory(u *upstream, meanTokens float64, now kcclock.Millis) int {
	return u.memory.Used(u.inFlight, u.estimatedLoad(now), meanTokens)
}

// setCapacity sets the memory of an upstream in tokens by service.
func (l *Upstreams) setCapacity(capacity map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = capacity
}
