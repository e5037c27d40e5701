package kcgate

import (
	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// roomTTLMs is how long the room of a service is kept.
	roomTTLMs = 10 * kcclock.Millisecond
	// queuePerUpstream is the number of requests that an upstream is assumed to
	// queue until it has rejected one with a shorter queue.
	queuePerUpstream = 24
	// holdWeight is the weight of one request in the mean time that a slot is held.
	holdWeight = 0.05
)

// roomCache holds the last room of each service.
type roomCache struct {
	byService map[string]kcroom.Room
	at        map[string]kcclock.Millis
	// holdMs is the mean time that requests hold a slot.
	holdMs map[string]float64
}

// recordHold records how long a request used a slot, if it did not queue there.
func (l *Upstreams) recordHold(c *pickedUpstream, holdMs float64) {
	if c.loadAtPick >= c.Slots {
		return
	}
	service := c.Service
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rooms.holdMs == nil {
		l.rooms.holdMs = make(map[string]float64)
	}
	if l.rooms.holdMs[service] == 0 {
		l.rooms.holdMs[service] = holdMs
	}
	l.rooms.holdMs[service] += holdWeight * (holdMs - l.rooms.holdMs[service])
}

// addRoom adds the upstream to a room.
func (u *upstream) addRoom(r *kcroom.Room, now kcclock.Millis) {
	if u.leaving() || u.paused(now) || !u.breaker.Ready(now) {
		return
	}
	load := u.estimatedLoad(now)
	r.Upstreams++
	r.Slots += u.Slots
	r.Busy += load
	r.Free += max(u.Slots-load, 0)
	r.Queueable += max(queuePerUpstream-max(load-u.Slots, 0), 0)
}

// Room returns the capacity of the upstreams of a service in the region whose version
// is usable; nil means any.
func (l *Upstreams) Room(service string, usable func(version string) bool) kcroom.Room {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rooms.byService == nil {
		l.rooms.byService, l.rooms.at = make(map[string]kcroom.Room), make(map[string]kcclock.Millis)
	}
	if at, known := l.rooms.at[service]; known && now-at < roomTTLMs && usable == nil {
		return l.rooms.byService[service]
	}
	l.expirePeerLoads(now)
	var r kcroom.Room
	all := l.index(service)
	for _, list := range all[:inOtherRegion] {
		for _, u := range list {
			if usable == nil || usable(u.Version) {
				u.addRoom(&r, now)
			}
		}
	}
	r.HoldMs = defaultUnaryHoldMs
	if hold := l.rooms.holdMs[service]; hold > 0 {
		r.HoldMs = hold
	}
	if over := r.Busy + 1 - r.Slots; r.Free == 0 && r.Slots > 0 {
		r.WaitMs = r.HoldMs * float64(max(over, 0)) / float64(r.Slots)
	}
	if n := len(l.peerLoads); n > 0 {
		r.AgeMs = l.peerReportAgeSum(now) / kcclock.Millis(n)
	}
	if usable == nil {
		l.rooms.byService[service], l.rooms.at[service] = r, now
	}
	return r
}
