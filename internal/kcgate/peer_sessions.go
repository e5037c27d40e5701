package kcgate

import (
	"maps"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// peerSessionSlackMs is how much longer than at its own instance a session counts at
// others: an instance that stops does not tell of its last requests.
const peerSessionSlackMs = 1000 * kcclock.Millisecond

// trackedSessions are the sessions that a new one of the same name would not be
// treated like: the share of the target covers them, or their version is
// stopped. Callers reach any instance, so that each has to know those of all.
type trackedSessions struct {
	// own holds those of this instance.
	local map[uint64]sessionKey
	// news is true if one of them was used since they were last told.
	changed bool
	// told holds those of other instances.
	remote map[uint64]remoteSession
}

// remoteSession is a session that another instance told of.
type remoteSession struct {
	instance string
	version  string
	// at is the end of its last request.
	endedAt kcclock.Millis
}

// gathering reports whether the sessions of other versions still matter.
func (s *serviceRollout) tracksSessions() bool {
	return s.order.Offset >= 0 && (!s.published || s.progress.Stage == kctable.Running && s.progress.Step == 0)
}

// collect takes up the sessions that are known at the start of an order.
func (o *Rollouts) collectSessions(s *serviceRollout) {
	for key, p := range o.pins {
		if key.service == s.order.Service && p.age(o.opts.Clock.Now()) < o.opts.Deployment.Bounds.SessionMs {
			o.trackSession(s, key, p.version)
		}
	}
}

// keep takes up a session that was used, if the others have to know it.
func (o *Rollouts) trackSession(s *serviceRollout, key sessionKey, version string) {
	covered := hashFraction(key.name) < kcrollout.FirstShare(o.opts.Deployment.Bounds.ExposureShare)
	if !s.tracksSessions() || version == s.order.Target || !covered && !s.isStoppedVersion(version) {
		return
	}
	if s.sessions.local == nil {
		s.sessions.local = make(map[uint64]sessionKey)
	}
	s.sessions.local[sessionHash(key.name)], s.sessions.changed = key, true
}

// SessionUpdates returns which sessions of this instance the others have to know.
// Unless all is set, it leaves out orders without news.
func (o *Rollouts) SessionUpdates(all bool) []kcload.Sessions {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, span := o.opts.Clock.Now(), o.opts.Deployment.Bounds.SessionMs
	var out []kcload.Sessions
	for _, s := range o.services {
		if !s.tracksSessions() {
			s.sessions = trackedSessions{}
			continue
		}
		if len(s.sessions.local) == 0 || !all && !s.sessions.changed {
			continue
		}
		s.sessions.changed = false
		list := make(map[string][]kcload.Session)
		for hash, key := range s.sessions.local {
			p, ok := o.pins[key]
			if age := p.age(now); ok && age < span && p.version != s.order.Target {
				list[p.version] = append(list[p.version], kcload.Session{Hash: hash, AgeMs: int(age)})
			} else {
				delete(s.sessions.local, hash)
			}
		}
		out = append(out, o.sessionMessages(s, list)...)
	}
	return out
}

// messages returns what is told of sessions by version.
func (o *Rollouts) sessionMessages(s *serviceRollout, list map[string][]kcload.Session) (out []kcload.Sessions) {
	for version, sessions := range list {
		out = append(out, kcload.Sessions{
			Instance: o.opts.Deployment.Instance, Order: s.order.Offset, Version: version, Sessions: sessions,
		})
	}
	return out
}

// behind reports whether an order was seen so late that others have to tell of
// their sessions first.
func (o *Rollouts) sessionsPending(s *serviceRollout) bool {
	return s.tracksSessions() && s.sessionsSynced != nil && !isClosed(s.sessionsSynced) && o.opts.Clock.Now()-s.startedAt < startupWaitMs
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
		if o.sessionsPending(s) {
			orders = append(orders, s.order.Offset)
		}
	}
	return orders
}

// await returns a channel that is closed once the version of a session can be
// told, and the time at which it is told anyway. The channel is nil if there is
// nothing to wait for.
func (o *Rollouts) awaitSessions(key sessionKey) (known <-chan struct{}, until kcclock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[key.service]
	if s == nil || key.name == "" || !o.sessionsPending(s) ||
		hashFraction(key.name) >= kcrollout.FirstShare(o.opts.Deployment.Bounds.ExposureShare) {
		return nil, 0
	}
	return s.sessionsSynced, s.startedAt + startupWaitMs
}

// SessionSnapshot returns what this and other instances have told of the sessions
// of an order, for an instance that asks. The last message is Whole; there is none
// if this instance does not know the order.
func (o *Rollouts) SessionSnapshot(order int64) (out []kcload.Sessions) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock.Now()
	for _, s := range o.services {
		if s.order.Offset != order || !s.tracksSessions() || o.sessionsPending(s) {
			continue
		}
		list := make(map[string][]kcload.Session)
		for hash, key := range s.sessions.local {
			p := o.pins[key]
			list[p.version] = append(list[p.version], kcload.Session{Hash: hash, AgeMs: int(p.age(now))})
		}
		for hash, t := range s.sessions.remote {
			list[t.version] = append(list[t.version], kcload.Session{Hash: hash, AgeMs: int(now - t.endedAt)})
		}
		last := kcload.Sessions{Instance: o.opts.Deployment.Instance, Order: order, Whole: true}
		out = append(o.sessionMessages(s, list), last)
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
	now, span := o.opts.Clock.Now(), o.opts.Deployment.Bounds.SessionMs+peerSessionSlackMs
	for _, s := range o.services {
		if s.order.Offset != m.Order || !s.tracksSessions() {
			continue
		}
		if s.sessions.remote == nil {
			s.sessions.remote = make(map[uint64]remoteSession)
		}
		if len(s.sessions.remote)+len(m.Sessions) > maxSessions {
			maps.DeleteFunc(s.sessions.remote, func(_ uint64, t remoteSession) bool { return now-t.endedAt >= span })
		}
		for _, session := range m.Sessions {
			at := now - kcclock.Millis(session.AgeMs)
			if old, ok := s.sessions.remote[session.Hash]; (!ok || old.endedAt < at) && len(s.sessions.remote) < maxSessions {
				s.sessions.remote[session.Hash] = remoteSession{m.Instance, m.Version, at}
			}
		}
		if m.Whole && s.sessionsSynced != nil && !isClosed(s.sessionsSynced) {
			close(s.sessionsSynced)
		}
	}
}
