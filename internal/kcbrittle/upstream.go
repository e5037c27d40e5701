// Package kcbrittle keeps the instances together from turning over upstreams that fall
// over if they have to turn many requests away.
package kcbrittle

import (
	"iter"
	"maps"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// minSlotsPerSender is the number of slots for each instance from which half of the
	// slots are not shared out.
	minSlotsPerSender = 4
	// shareTTLMs is how long the quota of this instance is kept.
	shareTTLMs = 100 * kcclock.Millisecond
	// minPauseMs is the time in which an upstream counts the requests that it turns away,
	// maxPauseMs the longest time for which one rejection keeps an instance away.
	minPauseMs = 1000 * kcclock.Millisecond
	maxPauseMs = 5000 * kcclock.Millisecond
	// saidTTLMs is how long it counts that an upstream has said that it is brittle if it
	// has not answered since.
	saidTTLMs = 2000 * kcclock.Millisecond
	// probeIntervalMs is the time after which a probe that brought no answer is repeated,
	// probeWindowMs is how long the upstream that may be probed can be chosen.
	probeIntervalMs = 1000 * kcclock.Millisecond
	probeWindowMs   = 10 * kcclock.Millisecond
)

// Service is what an instance knows of the upstreams of a service together. It is not
// safe for concurrent use.
type Service struct {
	// PerSecond is the number of requests that an upstream can turn away in a second,
	// from all instances together. It is 0 if the upstreams are not brittle.
	PerSecond int
	// saidAt holds when those that say that they are brittle last said so, by id.
	saidAt map[string]kcclock.Millis
	// heardAt is when an upstream last answered this instance while they were brittle.
	heardAt kcclock.Millis
	// probed is the upstream that may get a request beyond the quotas, as of probedAt.
	probed   string
	probedAt kcclock.Millis
}

// Record records what a response of an upstream says and reports whether that has changed
// what holds for all: upstreams are brittle together, but not all say so from the same
// moment on.
func (s *Service) Record(now kcclock.Millis, upstream string, perSecond int) (changed bool) {
	if s.PerSecond == 0 && perSecond == 0 {
		return false
	}
	s.heardAt = now
	if perSecond > 0 {
		if s.saidAt == nil {
			s.saidAt = make(map[string]kcclock.Millis)
		}
		s.saidAt[upstream] = now
	} else {
		delete(s.saidAt, upstream)
		maps.DeleteFunc(s.saidAt, func(_ string, at kcclock.Millis) bool { return now-at >= saidTTLMs })
		if len(s.saidAt) > 0 {
			return false
		}
	}
	changed = s.PerSecond != perSecond
	s.PerSecond = perSecond
	return changed
}

// share returns the part of one instance of the time in which all instances together may
// be turned away once each.
func (s *Service) share(instances int) kcclock.Millis {
	share := kcclock.Second * kcclock.Millis(instances) / kcclock.Millis(s.PerSecond)
	return min(max(share, minPauseMs), maxPauseMs)
}

// mayProbe reports whether an upstream may get a request beyond the quotas. An instance to
// which they leave no request would not learn that the upstreams are no longer brittle.
func (s *Service) mayProbe(now kcclock.Millis, r Request, instances int) bool {
	if r.InFlight > 0 || now-s.heardAt < s.share(instances) {
		return false
	}
	if now-s.probedAt >= probeIntervalMs {
		s.probed, s.probedAt = r.Upstream, now
	}
	return s.probed == r.Upstream && now-s.probedAt < probeWindowMs
}

// Upstream is what an instance knows of one upstream. It is not safe for concurrent use.
type Upstream struct {
	*Service
	// pausedUntil is the time until which this instance sends it nothing.
	pausedUntil kcclock.Millis
	// quota is the number of requests that this instance may have there at a time, as of
	// sharedAt. senders is the number of instances that share the slots.
	quota, senders int
	sharedAt       kcclock.Millis
}

// Rejected records that the upstream has turned a request of this instance away. The
// instance sends nothing for its part of the time in which all instances together may
// be turned away once each.
func (u *Upstream) Rejected(now kcclock.Millis, instances int) {
	if u.PerSecond > 0 {
		u.pausedUntil = now + u.share(instances)
	}
}

// Request is what decides whether an upstream gets another request of this instance.
type Request struct {
	Upstream string
	Slots    int
	// InFlight is the number of requests of this instance that it has. Load is the
	// estimated number of requests of all instances.
	InFlight, Load int
	// Instance is the name of this instance, Peers are those of the others that send to
	// the upstream.
	Instance string
	Peers    iter.Seq[string]
	// OtherRegion is true if the upstream is in another region, whose instances share the
	// slots.
	OtherRegion bool
}

// MayTake reports whether the upstream has a slot for the request. The slots are shared
// out among the instances, which know of each other's requests too late. Where there are
// few instances, half of the slots are for any of them.
func (u *Upstream) MayTake(now kcclock.Millis, r Request) bool {
	if u.PerSecond == 0 {
		return true
	}
	if now < u.pausedUntil {
		return false
	}
	if u.sharedAt == 0 || now-u.sharedAt >= shareTTLMs {
		u.updateQuota(r)
		u.sharedAt = now
	}
	if !r.OtherRegion && (r.InFlight < u.quota || u.senders*minSlotsPerSender <= r.Slots && r.Load < r.Slots/2) {
		return true
	}
	return u.mayProbe(now, r, u.senders)
}

// updateQuota computes the quota of this instance. All instances that know the same peers
// share all slots but one, in which a new connection may stand.
func (u *Upstream) updateQuota(r Request) {
	slots := max(r.Slots-1, 1)
	u.senders = 1
	ahead, own := 0, kcset.RendezvousHash(r.Upstream, r.Instance)
	for name := range r.Peers {
		if name == r.Instance {
			continue
		}
		u.senders++
		if h := kcset.RendezvousHash(r.Upstream, name); h > own || h == own && name < r.Instance {
			ahead++
		}
	}
	u.quota = slots / u.senders
	if ahead < slots%u.senders {
		u.quota++
	}
}
