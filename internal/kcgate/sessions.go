package kcgate

import (
	"maps"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxPins bounds the memory for sessions.
	maxPins = 20_000
	// sessionSlackMs is added to the end of a session that a caller is told: a
	// round trip between regions and back.
	sessionSlackMs = 50 * kcclock.Millisecond
)

// sessionKey names a session at a service. Services have versions of their own.
type sessionKey struct{ service, name string }

// pin is the version that the last try of a session went to.
type pin struct {
	version string
	// running is the number of its requests that run, at the end of the last
	// one.
	running int
	at      kcclock.Millis
}

// age returns the time since the last request of the session ended.
func (p pin) age(now kcclock.Millis) kcclock.Millis {
	if p.running > 0 {
		return 0
	}
	return now - p.at
}

// sessionHash returns the hash by which instances speak of a session.
func sessionHash(name string) uint64 { return kcset.RendezvousHash(name, "") }

// point maps a session, or a request without one, to a number from 0 to 1 on
// which all instances agree.
func point(key string) float64 { return float64(sessionHash(key)>>11) / (1 << 53) }

// lastVersion returns a permit with the last known version of a session. s is nil
// for services without an order.
func (o *Rollouts) lastVersion(s *serviceOrder, key sessionKey) permit {
	p, now := permit{reason: byState}, o.opts.Clock.Now()
	if key.name == "" {
		return p
	}
	if own, ok := o.pins[key]; ok {
		p.pin, p.pinAgeMs = own.version, own.age(now)
	}
	if s != nil {
		if told, ok := s.others.told[sessionHash(key.name)]; ok && (p.pin == "" || now-told.at < p.pinAgeMs) {
			p.pin, p.pinAgeMs, p.peer = told.version, now-told.at, told.instance
		}
	}
	return p
}

// afterOrder returns which versions of a service an order has put into force and
// taken back, given those before it.
func afterOrder(p kctable.Progress, settled, dropped string) (nowSettled, nowDropped string) {
	switch p.Stage {
	case kctable.Complete:
		return p.Target, ""
	case kctable.Reverted:
		return settled, p.Target
	default:
		return settled, dropped
	}
}

// isLeftOver reports whether the order before has stopped a version.
func (s *serviceOrder) isLeftOver(version string) bool {
	return version != s.order.Target && (s.settled != "" && version != s.settled || s.dropped != "" && version == s.dropped)
}

// leftOver returns the versions that the order before has stopped, some of whose
// upstreams may still be listed. It is empty if there would be no other.
func (s *serviceOrder) leftOver(have versions) kcset.Set[string] {
	list, others := kcset.New[string](), 0
	for v := range have.counts {
		if s.isLeftOver(v) {
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
func (o *Rollouts) stopped(s *serviceOrder, p *permit) bool {
	span := o.opts.Deployment.Bounds.SessionMs
	if !s.gathering() || !p.known(span) || !s.isLeftOver(p.pin) {
		return false
	}
	p.reason, p.waitMs = byStopped, max(span-p.pinAgeMs, 0)+sessionSlackMs
	return true
}

// enter notes that a try of a session goes to a version. first is true for the
// first try of a request. A try counts before it is answered, and also if its
// answer is dropped: it may have run.
func (o *Rollouts) enter(key sessionKey, version string, first bool) {
	if key.name == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pins) >= maxPins {
		o.dropPins()
	}
	p := o.pins[key]
	if s := o.services[key.service]; s != nil {
		o.warnOfMove(s, key, p, version)
		o.keep(s, key, version)
	}
	if p.version = version; first {
		p.running++
	}
	o.pins[key] = p
}

// warnOfMove logs that a session changes its version when it should not.
func (o *Rollouts) warnOfMove(s *serviceOrder, key sessionKey, p pin, version string) {
	age := p.age(o.opts.Clock.Now())
	if p.version == "" || p.version == version || age >= o.opts.Deployment.Bounds.SessionMs || !s.gathering() {
		return
	}
	o.opts.Log.Warn("session moved", "service", key.service, "session", logged(key.name), "from", p.version, "to", version,
		"ageMs", age, "order", s.order.Offset)
}

// leave notes that a request ended for which enter was called.
func (o *Rollouts) leave(key sessionKey) {
	if key.name == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pins[key]
	p.running, p.at = p.running-1, o.opts.Clock.Now()
	o.pins[key] = p
	if s := o.services[key.service]; s != nil {
		o.keep(s, key, p.version)
	}
}

// dropPins makes room for sessions: it drops those that are over, and if none
// is, all that have no request running.
func (o *Rollouts) dropPins() {
	now := o.opts.Clock.Now()
	for _, limit := range []kcclock.Millis{o.opts.Deployment.Bounds.SessionMs, 0} {
		maps.DeleteFunc(o.pins, func(_ sessionKey, p pin) bool { return p.running == 0 && p.age(now) >= limit })
		if len(o.pins) < maxPins {
			return
		}
	}
}
