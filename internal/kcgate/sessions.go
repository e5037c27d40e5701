package kcgate

import (
	"maps"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxPins bounds the memory for sessions.
const maxPins = 20_000

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
func (o *Orders) lastVersion(s *serviceOrder, key sessionKey) permit {
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

// leaves returns what an order leaves to the next one of its service, given what
// it found.
func leaves(p kctable.Progress, settled, dropped string) (nowSettled, nowDropped string) {
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
func (o *Orders) stopped(s *serviceOrder, p *permit) bool {
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
func (o *Orders) enter(key sessionKey, version string, first bool) {
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
func (o *Orders) warnOfMove(s *serviceOrder, key sessionKey, p pin, version string) {
	age := p.age(o.opts.Clock.Now())
	if p.version == "" || p.version == version || age >= o.opts.Deployment.Bounds.SessionMs || !s.gathering() {
		return
	}
	o.opts.Log.Warn("session moved", "service", key.service, "session", logged(key.name), "from", p.version, "to", version,
		"ageMs", age, "order", s.order.Offset)
}

// leave notes that a request ended for which enter was called.
func (o *Orders) leave(key sessionKey) {
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
func (o *Orders) dropPins() {
	now := o.opts.Clock.Now()
	for _, limit := range []kcclock.Millis{o.opts.Deployment.Bounds.SessionMs, 0} {
		maps.DeleteFunc(o.pins, func(_ sessionKey, p pin) bool { return p.running == 0 && p.age(now) >= limit })
		if len(o.pins) < maxPins {
			return
		}
	}
}

const (
	// toldSlackMs is how much longer than at its own instance a session counts
	// at others: an instance that stops does not tell of its last requests.
	toldSlackMs = 1000 * kcclock.Millisecond
	// sessionSlackMs is added to the end of a session that a caller is told: a
	// round trip between regions and back.
	sessionSlackMs = 50 * kcclock.Millisecond
)

// otherSessions are the sessions that a new one of the same name would not be
// treated like: the share of the target covers them, or their version is
// stopped. Callers reach any instance, so that each has to know those of all.
type otherSessions struct {
	// own holds those of this instance.
	own map[uint64]sessionKey
	// news is true if one of them was used since they were last told.
	news bool
	// told holds those of other instances.
	told map[uint64]toldSession
}

// toldSession is a session that another instance told of.
type toldSession struct {
	instance string
	version  string
	// at is the end of its last request.
	at kcclock.Millis
}

// gathering reports whether the sessions of other versions still matter.
func (s *serviceOrder) gathering() bool {
	return s.order.Offset >= 0 && (!s.known || s.progress.Stage == kctable.Running && s.progress.Step == 0)
}

// collect takes up the sessions that are known at the start of an order.
func (o *Orders) collect(s *serviceOrder) {
	for key, p := range o.pins {
		if key.service == s.order.Service && p.age(o.opts.Clock.Now()) < o.opts.Deployment.Bounds.SessionMs {
			o.keep(s, key, p.version)
		}
	}
}

// keep takes up a session that was used, if the others have to know it.
func (o *Orders) keep(s *serviceOrder, key sessionKey, version string) {
	covered := point(key.name) < kcrollout.FirstShare(o.opts.Deployment.Bounds.ExposureShare)
	if !s.gathering() || version == s.order.Target || !covered && !s.isLeftOver(version) {
		return
	}
	if s.others.own == nil {
		s.others.own = make(map[uint64]sessionKey)
	}
	s.others.own[sessionHash(key.name)], s.others.news = key, true
}

// TellSessions returns which sessions of this instance the others have to know.
// Unless all is set, it leaves out orders without news.
func (o *Orders) TellSessions(all bool) []kcload.Sessions {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, span := o.opts.Clock.Now(), o.opts.Deployment.Bounds.SessionMs
	var out []kcload.Sessions
	for _, s := range o.services {
		if !s.gathering() {
			s.others = otherSessions{}
			continue
		}
		if len(s.others.own) == 0 || !all && !s.others.news {
			continue
		}
		s.others.news = false
		list := make(map[string][]kcload.Session)
		for hash, key := range s.others.own {
			p, ok := o.pins[key]
			if age := p.age(now); ok && age < span && p.version != s.order.Target {
				list[p.version] = append(list[p.version], kcload.Session{Hash: hash, AgeMs: int(age)})
			} else {
				delete(s.others.own, hash)
			}
		}
		out = append(out, o.messages(s, list)...)
	}
	return out
}

// messages returns what is told of sessions by version.
func (o *Orders) messages(s *serviceOrder, list map[string][]kcload.Session) (out []kcload.Sessions) {
	for version, sessions := range list {
		out = append(out, kcload.Sessions{
			Instance: o.opts.Deployment.Instance, Order: s.order.Offset, Version: version, Sessions: sessions,
		})
	}
	return out
}

// behind reports whether an order was seen so late that others have to tell of
// their sessions first.
func (o *Orders) behind(s *serviceOrder) bool {
	return s.gathering() && s.caughtUp != nil && !isClosed(s.caughtUp) && o.opts.Clock.Now()-s.startedAt < startMs
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Behind returns the orders about whose sessions others have to be asked.
func (o *Orders) Behind() (orders []int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.services {
		if o.behind(s) {
			orders = append(orders, s.order.Offset)
		}
	}
	return orders
}

// await returns a channel that is closed once the version of a session can be
// told, and the time at which it is told anyway. The channel is nil if there is
// nothing to wait for.
func (o *Orders) await(key sessionKey) (known <-chan struct{}, until kcclock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[key.service]
	if s == nil || key.name == "" || !o.behind(s) ||
		point(key.name) >= kcrollout.FirstShare(o.opts.Deployment.Bounds.ExposureShare) {
		return nil, 0
	}
	return s.caughtUp, s.startedAt + startMs
}

// KnownSessions returns what this and other instances have told of the sessions
// of an order, for an instance that asks. The last message is Whole; there is none
// if this instance does not know the order.
func (o *Orders) KnownSessions(order int64) (out []kcload.Sessions) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock.Now()
	for _, s := range o.services {
		if s.order.Offset != order || !s.gathering() || o.behind(s) {
			continue
		}
		list := make(map[string][]kcload.Session)
		for hash, key := range s.others.own {
			p := o.pins[key]
			list[p.version] = append(list[p.version], kcload.Session{Hash: hash, AgeMs: int(p.age(now))})
		}
		for hash, t := range s.others.told {
			list[t.version] = append(list[t.version], kcload.Session{Hash: hash, AgeMs: int(now - t.at)})
		}
		last := kcload.Sessions{Instance: o.opts.Deployment.Instance, Order: order, Whole: true}
		out = append(o.messages(s, list), last)
	}
	return out
}

// CaughtUp notes that there is no instance to ask.
func (o *Orders) CaughtUp(order int64) { o.HearSessions(kcload.Sessions{Order: order, Whole: true}) }

// HearSessions takes the sessions of another instance.
func (o *Orders) HearSessions(m kcload.Sessions) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, span := o.opts.Clock.Now(), o.opts.Deployment.Bounds.SessionMs+toldSlackMs
	for _, s := range o.services {
		if s.order.Offset != m.Order || !s.gathering() {
			continue
		}
		if s.others.told == nil {
			s.others.told = make(map[uint64]toldSession)
		}
		if len(s.others.told)+len(m.Sessions) > maxPins {
			maps.DeleteFunc(s.others.told, func(_ uint64, t toldSession) bool { return now-t.at >= span })
		}
		for _, session := range m.Sessions {
			at := now - kcclock.Millis(session.AgeMs)
			if old, ok := s.others.told[session.Hash]; (!ok || old.at < at) && len(s.others.told) < maxPins {
				s.others.told[session.Hash] = toldSession{m.Instance, m.Version, at}
			}
		}
		if m.Whole && s.caughtUp != nil && !isClosed(s.caughtUp) {
			close(s.caughtUp)
		}
	}
}
