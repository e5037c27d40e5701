package kcgate

import (
	"maps"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxSessions bounds the memory for sessions.
	maxSessions = 20_000
	// sessionRetrySlackMs is added to the proposed retry delay until the end of a
	// session. It covers a round trip between regions.
	sessionRetrySlackMs = 50 * kcclock.Millisecond
)

// sessionKey identifies a session at a service. Each service has its own
// versions.
type sessionKey struct{ service, name string }

// sessionPin is the version of the last attempt of a session.
type sessionPin struct {
	version string
	// inFlight is the number of running requests of the session, and endedAt the
	// end of the last one.
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

// sessionHash returns the hash that identifies a session in messages between
// instances.
func sessionHash(name string) uint64 { return kcset.RendezvousHash(name, "") }

// hashFraction maps the name of a session, or the id of a request without one, to
// a number from 0 to 1. All instances compute the same number.
func hashFraction(key string) float64 { return float64(sessionHash(key)>>11) / (1 << 53) }

// lastKnownVersion returns a decision that holds only the last known version of a
// session. s is nil for services without an order.
func (o *Rollouts) lastKnownVersion(s *serviceRollout, key sessionKey) versionDecision {
	p, now := versionDecision{reason: versionReasonState}, o.opts.Clock.Now()
	if key.name == "" {
		return p
	}
	if own, ok := o.pins[key]; ok {
		p.lastVersion, p.lastVersionAgeMs = own.version, own.age(now)
	}
	if s != nil {
		if remote, ok := s.sessions.remote[sessionHash(key.name)]; ok &&
			(p.lastVersion == "" || now-remote.endedAt < p.lastVersionAgeMs) {
			p.lastVersion, p.lastVersionAgeMs, p.reportedBy = remote.version, now-remote.endedAt, remote.instance
		}
	}
	return p
}

// stoppedVersions returns the versions that the previous order has stopped, some
// of whose upstreams may still be listed. It is empty if no other version would
// be left.
func (s *serviceRollout) stoppedVersions(available versionCounts) kcset.Set[string] {
	list, others := kcset.New[string](), 0
	for v := range available.counts {
		if s.IsStopped(v) {
			list.Add(v)
		} else if v != s.Order.Target {
			others++
		}
	}
	if others == 0 {
		return nil
	}
	return list
}

// mustWait reports whether a session has to wait: the previous order has stopped
// its version, and it must not change to another version in the first step of
// this order.
func (o *Rollouts) mustWait(s *serviceRollout, p *versionDecision) bool {
	span := o.opts.Deployment.Bounds.SessionIdleMs
	if !s.tracksSessions() || !p.hasRecentVersion(span) || !s.IsStopped(p.lastVersion) {
		return false
	}
	p.reason, p.retryAfterMs = versionReasonStopped, max(span-p.lastVersionAgeMs, 0)+sessionRetrySlackMs
	return true
}

// pinSession records that an attempt of a session goes to a version. first is
// true for the first attempt of a request. An attempt counts before it is
// answered, and also if its response is discarded, because it may have run.
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

// warnOnVersionChange logs that a session changes its version while it should
// keep it.
func (o *Rollouts) warnOnVersionChange(s *serviceRollout, key sessionKey, p sessionPin, version string) {
	age := p.age(o.opts.Clock.Now())
	if p.version == "" || p.version == version || age >= o.opts.Deployment.Bounds.SessionIdleMs || !s.tracksSessions() {
		return
	}
	o.opts.Log.Warn("session moved", "service", key.service, "session", truncateSession(key.name), "from", p.version, "to", version,
		"ageMs", age, "order", s.Order.Offset)
}

// finishRequest records the end of a request for which pinSession was called.
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

// evictPins makes room for sessions. It removes those that are over, or, if that
// is not enough, all without a running request.
func (o *Rollouts) evictPins() {
	now := o.opts.Clock.Now()
	for _, limit := range []kcclock.Millis{o.opts.Deployment.Bounds.SessionIdleMs, 0} {
		maps.DeleteFunc(o.pins, func(_ sessionKey, p sessionPin) bool { return p.inFlight == 0 && p.age(now) >= limit })
		if len(o.pins) < maxSessions {
			return
		}
	}
}
