package kcgate

import (
	"maps"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// toldSlackMs is how much longer than at its own instance a session counts at
// others: an instance that stops does not tell of its last requests.
const toldSlackMs = 1000 * kcclock.Millisecond

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
func (o *Rollouts) collect(s *serviceOrder) {
	for key, p := range o.pins {
		if key.service == s.order.Service && p.age(o.opts.Clock.Now()) < o.opts.Deployment.Bounds.SessionMs {
			o.keep(s, key, p.version)
		}
	}
}

// keep takes up a session that was used, if the others have to know it.
func (o *Rollouts) keep(s *serviceOrder, key sessionKey, version string) {
	covered := point(key.name) < kcrollout.FirstShare(o.opts.Deployment.Bounds.ExposureShare)
	if !s.gathering() || version == s.order.Target || !covered && !s.isLeftOver(version) {
		return
	}
	if s.others.own == nil {
		s.others.own = make(map[uint64]sessionKey)
	}
	s.others.own[sessionHash(key.name)], s.others.news = key, true
}

// SessionUpdates returns which sessions of this instance the others have to know.
// Unless all is set, it leaves out orders without news.
func (o *Rollouts) SessionUpdates(all bool) []kcload.Sessions {
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
func (o *Rollouts) messages(s *serviceOrder, list map[string][]kcload.Session) (out []kcload.Sessions) {
	for version, sessions := range list {
		out = append(out, kcload.Sessions{
			Instance: o.opts.Deployment.Instance, Order: s.order.Offset, Version: version, Sessions: sessions,
		})
	}
	return out
}

// behind reports whether an order was seen so late that others have to tell of
// their sessions first.
func (o *Rollouts) behind(s *serviceOrder) bool {
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
func (o *Rollouts) AwaitingSessions() (orders []int64) {
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
func (o *Rollouts) await(key sessionKey) (known <-chan struct{}, until kcclock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[key.service]
	if s == nil || key.name == "" || !o.behind(s) ||
		point(key.name) >= kcrollout.FirstShare(o.opts.Deployment.Bounds.ExposureShare) {
		return nil, 0
	}
	return s.caughtUp, s.startedAt + startMs
}

// SessionSnapshot returns what this and other instances have told of the sessions
// of an order, for an instance that asks. The last message is Whole; there is none
// if this instance does not know the order.
func (o *Rollouts) SessionSnapshot(order int64) (out []kcload.Sessions) {
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

// MarkSessionsSynced notes that there is no instance to ask.
func (o *Rollouts) MarkSessionsSynced(order int64) {
	o.MergeSessions(kcload.Sessions{Order: order, Whole: true})
}

// MergeSessions takes the sessions of another instance.
func (o *Rollouts) MergeSessions(m kcload.Sessions) {
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
