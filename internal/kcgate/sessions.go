package kcgate

import (
	"maps"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxSessions bounds the memory for sessions.
	maxSessions = 20_000
	// sessionRetrySlackMs is added to the end of a session that a caller is told: a
	// round trip between regions and back.
	sessionRetrySlackMs = 50 * kcclock.Millisecond
)

// sessionKey names a session at a service. Services have versions of their own.
type sessionKey struct{ service, name string }

// pin is the version that the last try of a session went to.
type sessionPin struct {
	version string
	// running is the number of its requests that run, at the end of the last
	// one.
	inFlight int
	endedAt  kcclock.Millis
}

// age returns the time since the last request of the session ended.
func (p sessionPin) age(now kcclock.Millis) kcclock.Millis {
	if p.inFlight > 0 {
		return 0
	}
	return now - p.endedAt
}

// sessionHash returns the hash by which instances speak of a session.
func sessionHash(name string) uint64 { return kcset.RendezvousHash(name, "") }

// point maps a session, or a request without one, to a number from 0 to 1 on
// which all instances agree.
func hashFraction(key string) float64 { return float64(sessionHash(key)>>11) / (1 << 53) }

// lastKnownVersion returns a permit with the last known version of a session. s is nil
// for services without an order.
func (o *Rollouts) lastKnownVersion(s *serviceRollout, key sessionKey) versionDecision {
	p, now := versionDecision{reason: versionReasonState}, o.opts.Clock.Now()
	if key.name == "" {
		return p
	}
	if own, ok := o.pins[key]; ok {
		p.lastVersion, p.lastVersionAgeMs = own.version, own.age(now)
	}
	if s != nil {
		if told, ok := s.sessions.remote[sessionHash(key.name)]; ok && (p.lastVersion == "" || now-told.endedAt < p.lastVersionAgeMs) {
			p.lastVersion, p.lastVersionAgeMs, p.reportedBy = told.version, now-told.endedAt, told.instance
		}
	}
	return p
}

// versionsAfterOrder returns which versions of a service an order has put into force and
// taken back, given those before it.
func versionsAfterOrder(p kctable.Progress, settled, dropped string) (nowSettled, nowDropped string) {
	switch p.Stage {
	case kctable.Complete:
		return p.Target, ""
	case kctable.Reverted:
		return settled, p.Target
	default:
		return settled, dropped
	}
}

// isStoppedVersion reports whether the order before has stopped a version.
func (s *serviceRollout) isStoppedVersion(version string) bool {
	return version != s.order.Target && (s.activeVersion != "" && version != s.activeVersion || s.revertedVersion != "" && version == s.revertedVersion)
}

// stoppedVersions returns the versions that the order before has stopped, some of whose
// upstreams may still be listed. It is empty if there would be no other.
func (s *serviceRollout) stoppedVersions(have versionCounts) kcset.Set[string] {
	list, others := kcset.New[string](), 0
	for v := range have.counts {
		if s.isStoppedVersion(v) {
			list.Add(v)
		} else if v != s.order.Target {
			others++
		}
	}
	if others == 0 {
		return nil
	}
	return list
}

// stopped reports whether a session has to wait: the order before has stopped its
// version, and it must not change to another one in the first step of this order.
func (o *Rollouts) mustWait(s *serviceRollout, p *versionDecision) bool {
	span := o.opts.Deployment.Bounds.SessionMs
	if !s.tracksSessions() || !p.hasRecentVersion(span) || !s.isStoppedVersion(p.lastVersion) {
		return false
	}
	p.reason, p.retryAfterMs = versionReasonStopped, max(span-p.lastVersionAgeMs, 0)+sessionRetrySlackMs
	return true
}

// enter notes that a try of a session goes to a version. first is true for the
// first try of a request. A try counts before it is answered, and also if its
// answer is dropped: it may have run.
func (o *Rollouts) pinSession(key sessionKey, version string, first bool) {
	if key.name == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pins) >= maxSessions {
		o.evictPins()
	}
	p := o.pins[key]
	if s := o.services[key.service]; s != nil {
		o.warnOnVersionChange(s, key, p, version)
		o.trackSession(s, key, version)
	}
	if p.version = version; first {
		p.inFlight++
	}
	o.pins[key] = p
}

// warnOnVersionChange logs that a session changes its version when it should not.
func (o *Rollouts) warnOnVersionChange(s *serviceRollout, key sessionKey, p sessionPin, version string) {
	age := p.age(o.opts.Clock.Now())
	if p.version == "" || p.version == version || age >= o.opts.Deployment.Bounds.SessionMs || !s.tracksSessions() {
		return
	}
	o.opts.Log.Warn("session moved", "service", key.service, "session", truncateSession(key.name), "from", p.version, "to", version,
		"ageMs", age, "order", s.order.Offset)
}

// leave notes that a request ended for which enter was called.
func (o *Rollouts) finishRequest(key sessionKey) {
	if key.name == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pins[key]
	p.inFlight, p.endedAt = p.inFlight-1, o.opts.Clock.Now()
	o.pins[key] = p
	if s := o.services[key.service]; s != nil {
		o.trackSession(s, key, p.version)
	}
}

// evictPins makes room for sessions: it drops those that are over, and if none
// is, all that have no request running.
func (o *Rollouts) evictPins() {
	now := o.opts.Clock.Now()
	for _, limit := range []kcclock.Millis{o.opts.Deployment.Bounds.SessionMs, 0} {
		maps.DeleteFunc(o.pins, func(_ sessionKey, p sessionPin) bool { return p.inFlight == 0 && p.age(now) >= limit })
		if len(o.pins) < maxSessions {
			return
		}
	}
}
