package kcroom

import (
	"github.com/kingcuprail/kingcuprail/internal/kcspeed"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// CacheMs is how long a room counts. Instances learn of each other's requests at
	// intervals that are longer.
	CacheMs = 10 * kcclock.Millisecond
	// upstreamsPerCache is the number of upstreams that may be added up in each CacheMs.
	upstreamsPerCache = 500
	// leastBusy is the number of upstreams whose prefill work is taken for that of the
	// least busy ones: enough that one with a false or old figure matters little.
	leastBusy = 8
	// maxBusyFactor bounds the requests of an upstream that count, in multiples of
	// its slots, so that one with a false load does not outweigh the others. It is
	// above the queue of any upstream that still takes requests.
	maxBusyFactor = 8
	// memoryShare is the share of the memory of an upstream that is used. The rest
	// covers requests that other instances have sent since their last reports.
	memoryShare = 0.9
	// holdWeight is the weight of one request in the mean time that requests hold a
	// slot: some tens of requests, a few seconds of an instance among hundreds.
	holdWeight = 1.0 / 32
	// maxQueue bounds the queue that an upstream claims to have.
	maxQueue = 1 << 20
	// sameResponseMs is the time within which a rejection belongs to the load that its
	// response has told.
	sameResponseMs = 5 * kcclock.Millisecond
)

// KeepMs returns how long the room of a service counts. With thousands of upstreams it
// is longer, so that adding them up takes less than 1% of a core.
func KeepMs(upstreams int) kcclock.Millis {
	return CacheMs * kcclock.Millis(1+upstreams/upstreamsPerCache)
}

// Upstream is what is known of one usable upstream.
type Upstream struct {
	Slots int
	// Load is the estimated number of running and waiting requests. Fresh is true if
	// the upstream has told of it lately.
	Load  int
	Fresh bool
	// AgeMs is the age of its figures.
	AgeMs kcclock.Millis
	// QueueLimit is the number of requests that it queues without rejecting any.
	QueueLimit int
	// PrefillMs is the prefill work that is queued there, speed included.
	PrefillMs float64
	// FreeTokens is its free memory, used only if the memory is known.
	FreeTokens int
	// Unheard is the share of the instances that send to it whose reports are missing.
	Unheard float64
}

// Builder adds up the room of the upstreams of a service. The zero value has none.
type Builder struct {
	room Room
	// freshLoad and freshSlots are the sums over upstreams that have told their load.
	freshLoad, freshSlots int
	// unknownSlots is the number of slots of which nothing is known, for the share of
	// instances that is not heard from.
	unknownSlots float64
	unknownQueue float64
	ageSum       float64
	least        [leastBusy]float64
	leastCount   int
}

// Add adds an upstream. meanTokens is the usual size of a request in tokens, 0 if
// memory does not matter.
func (b *Builder) Add(u Upstream, meanTokens float64) {
	slots := max(u.Slots, 0)
	load := min(max(u.Load, 0), slots*maxBusyFactor)
	free, queue := max(slots-load, 0), max(u.QueueLimit-max(load-slots, 0), 0)
	if meanTokens > 0 {
		fit := int(max(float64(u.FreeTokens), 0) / meanTokens)
		free = min(free, fit)
		queue = min(queue, fit-free)
	}
	if u.Fresh {
		b.freshLoad, b.freshSlots = b.freshLoad+min(load, slots), b.freshSlots+slots
	} else {
		b.unknownSlots += u.Unheard * float64(free)
		b.unknownQueue += u.Unheard * float64(queue)
	}
	b.room.Upstreams++
	b.room.Slots += slots
	b.room.Busy += load
	b.room.Free += free
	b.room.Queueable += queue
	b.ageSum += float64(u.AgeMs)
	b.addLeast(u.PrefillMs)
}

// Empty reports whether no upstream was added.
func (b *Builder) Empty() bool { return b.room.Upstreams == 0 }

// addLeast keeps the least values in order.
func (b *Builder) addLeast(v float64) {
	i := b.leastCount
	if i < leastBusy {
		b.leastCount++
	} else if i--; v >= b.least[i] {
		return
	}
	for ; i > 0 && b.least[i-1] > v; i-- {
		b.least[i] = b.least[i-1]
	}
	b.least[i] = v
}

// Room returns the sum. holdMs is the mean time that a request holds a slot, and
// lastUse the share of slots in use that was last known. Upstreams of which only a
// part of the instances tells are expected to be as busy as those that tell
// themselves, so that an instance that is cut off from its peers does not take them
// for idle.
func (b *Builder) Room(holdMs, lastUse float64) (r Room, use float64) {
	r, use = b.room, lastUse
	if b.freshSlots > 0 {
		use = float64(b.freshLoad) / float64(b.freshSlots)
	}
	hidden := int(b.unknownSlots*use + 0.5)
	r.Busy, r.Free = r.Busy+hidden, max(r.Free-hidden, 0)
	if use >= 1 {
		r.Queueable = max(r.Queueable-int(b.unknownQueue+0.5), 0)
	}
	r.HoldMs = holdMs
	if r.Free == 0 && r.Slots > 0 {
		r.WaitMs = float64(max(r.Busy-r.Slots, 0)+1) / float64(r.Slots) * holdMs
	}
	for _, v := range b.least[:b.leastCount] {
		r.PrefillMs += v / float64(b.leastCount)
	}
	if r.Upstreams > 0 {
		r.AgeMs = kcclock.Millis(b.ageSum / float64(r.Upstreams))
	}
	return r, use
}

// Queue learns how many requests an upstream queues before it rejects one.
type Queue struct {
	limit   int32
	limited bool
}

// Record records the number of waiting requests that an upstream tells of.
func (q *Queue) Record(waiting int) { q.limit = max(q.limit, int32(min(waiting, maxQueue))) }

// RecordRejection records that the upstream has rejected a request for lack of room,
// with the load that it has just told.
func (q *Queue) RecordRejection(now kcclock.Millis, u *kcspeed.Upstream) {
	if load, age, ok := u.Own(now); ok && age <= sameResponseMs {
		q.limit, q.limited = int32(min(load.Waiting, maxQueue)), true
	}
}

// Limit returns the number of requests that an upstream queues. Before it has
// rejected one, it is taken to queue as many as it has slots.
func (q *Queue) Limit(slots int) int {
	limit := min(int(q.limit), slots*maxBusyFactor)
	if q.limited {
		return limit
	}
	return max(limit, slots)
}

// Mean is a moving mean. The zero value is not known.
type Mean struct {
	value float64
	known bool
}

// Add adds a value.
func (m *Mean) Add(v float64) {
	if !m.known {
		m.value, m.known = v, true
		return
	}
	m.value += holdWeight * (v - m.value)
}

// Or returns the mean, or start if it is not known.
func (m *Mean) Or(start float64) float64 {
	if !m.known {
		return start
	}
	return m.value
}

// Memory is what instances know about the memory of an upstream, in tokens.
type Memory struct {
	// Own is that of the requests of this instance. peers is that of the requests of
	// peers, and told their number as far as they tell it.
	Own, peers, told int
}

// AddPeer adds what a peer tells, or removes it if sign is -1.
func (m *Memory) AddPeer(sign, requests, tokens int) {
	if tokens > 0 {
		m.peers, m.told = max(m.peers+sign*tokens, 0), max(m.told+sign*requests, 0)
	}
}

// Used returns the estimated memory in use. inFlight is the number of requests of this
// instance, load the estimated number of all; those of unknown size are taken to be of
// the usual one.
func (m *Memory) Used(inFlight, load int, meanTokens float64) int {
	return m.Own + m.peers + int(float64(max(load-inFlight-m.told, 0))*meanTokens)
}

// Fits reports whether a request of so many tokens fits into the memory beside what
// is used.
func Fits(used, tokens, capacity int) bool { return tokens <= FreeTokens(used, capacity) }

// FreeTokens returns the free memory.
func FreeTokens(used, capacity int) int { return max(int(memoryShare*float64(capacity))-used, 0) }
