package kcgate

import (
	"maps"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcbrittle"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// returnRampMs is the time after the end of a pause in which an upstream gets
	// back to all of its slots. Without it, each instance would fill it at once.
	returnRampMs = 2000 * kcclock.Millisecond
	// maxLeavingProcesses bounds the processes that are remembered as leaving.
	maxLeavingProcesses = 4096
)

// leaving reports whether the upstream gets no new requests because it or the
// registry says that it leaves.
func (u *upstream) leaving() bool { return u.Draining || u.saidLeaving }

// paused reports whether the upstream wants no request of this instance now, or no
// further one while it returns from a pause.
func (u *upstream) paused(now kcclock.Millis) bool {
	if u.pausedUntil == 0 {
		return false
	}
	back := now - u.pausedUntil
	if back >= returnRampMs {
		u.pausedUntil = 0
		return false
	}
	return back < 0 || float64(u.inFlight) >= 1+float64(u.Slots)*float64(back)/float64(returnRampMs)
}

// recordNotices records what a response says of its upstream: that it leaves,
// that it wants no request for some time, and how long it stays cold. None counts as a failure. A
// misdirected request was answered by another process, which speaks of itself.
func (l *Upstreams) recordNotices(c *pickedUpstream, status int, head ResponseMeta) {
	if status == http.StatusMisdirectedRequest || !head.Leaving && head.RetryAfterMs <= 0 && !head.HasCold {
		return
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if head.HasCold {
		l.warmup.Report(c.u.warm, head.ColdMs, now)
	}
	if head.Leaving && !c.u.saidLeaving {
		l.markLeaving(c.u, now)
	}
	if until := now + head.RetryAfterMs; head.RetryAfterMs > 0 && until > c.u.pausedUntil {
		c.u.pausedUntil = until
		l.log.Info("upstream paused", "upstream", c.u.ID, "retryAfterMs", head.RetryAfterMs)
	}
}

// recordBrittle records whether the upstream says that it is brittle, as all upstreams of
// a service then are. A response that the application has not made may lack what the
// others say.
func (l *Upstreams) recordBrittle(c *pickedUpstream, head ResponseMeta) {
	if head.BrittlePerSecond == 0 && !head.FromApplication {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.u.brittle.Record(l.clock.Now(), c.u.ID, head.BrittlePerSecond) {
		l.log.Info("upstreams brittle", "service", c.u.Service, "upstream", c.u.ID, "perSecond", head.BrittlePerSecond)
	}
}

// mayTakeBrittle reports whether a brittle upstream takes a request of this instance.
func (l *Upstreams) mayTakeBrittle(u *upstream, now kcclock.Millis) bool {
	return u.brittle.MayTake(now, kcbrittle.Request{
		Upstream: u.ID, Slots: u.Slots, InFlight: u.inFlight, Load: u.estimatedLoad(now), Instance: l.instance,
		Peers: maps.Keys(l.peerZones), OtherRegion: u.region != l.region,
	})
}

// markLeaving excludes an upstream from new requests until its process has ended.
// The registry may say otherwise: it lags.
func (l *Upstreams) markLeaving(u *upstream, now kcclock.Millis) {
	u.saidLeaving = true
	l.dropIndex()
	if len(l.leavingProcesses) >= maxLeavingProcesses {
		for p, at := range l.leavingProcesses {
			if l.byID[p.ID] == nil || now-at > kcclock.Hour {
				delete(l.leavingProcesses, p)
			}
		}
	}
	if u.StartedAtMs != 0 && len(l.leavingProcesses) < maxLeavingProcesses {
		l.leavingProcesses[u.Process()] = now
	}
	l.log.Info("upstream leaving", "upstream", u.ID, "service", u.Service, "version", u.Version, "startedAtMs", u.StartedAtMs)
}

// pauseLeft returns the least time until an upstream that would take a request wants
// requests again, and 0 if none has asked for time.
func (l *Upstreams) pauseLeft(w pickCriteria) (left kcclock.Millis) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.index(w.service) {
		for _, u := range list {
			if wait := u.pausedUntil - now; wait > 0 && !u.leaving() && w.allowsVersion(u.Version) && w.regions.Allow(u.region) &&
				(left == 0 || wait < left) {
				left = wait
			}
		}
	}
	return left
}
