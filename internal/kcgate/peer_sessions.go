package kcgate

import (
	"maps"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// peerSessionSlackMs is how much longer the sessions of an instance count at
// other instances. An instance that stops does not report its last requests.
const peerSessionSlackMs = 1000 * kcclock.Millisecond

// trackedSessions are the sessions that must keep a version which a new session
// of the same name would not get: the traffic share of the target covers them, or
// their version is stopped. Callers may reach any instance, so each instance has
// to know the sessions of all.
type trackedSessions struct {
	// local holds the sessions of this instance.
	local map[uint64]sessionKey
	// changed is true if a local session was used since the last update was sent.
	changed bool
	// remote holds the sessions of other instances.
	remote map[uint64]remoteSession
}

// remoteSession is a session that another instance reported.
type remoteSession struct {
	instance string
	version  string
	// endedAt is the end of its last request.
	endedAt kcclock.Millis
}

// tracksSessions reports whether sessions have to keep their version. They do
// until the end of the first step.
func (s *serviceRollout) tracksSessions() bool {
	return s.Order.Offset >= 0 && (!s.Published || s.Progress.State == kctable.RolloutRunning && s.Progress.Step == 0)
}

// collectSessions tracks the sessions that are known at the start of an order.
func (o *Rollouts) collectSessions(s *serviceRollout) {
	for key, p := range o.pins {
		if key.service == s.Order.Service && p.age(o.opts.Clock.Now()) < o.opts.Deployment.Bounds.SessionIdleMs {
			o.trackSession(s, key, p.version)
		}
	}
}

// trackSession tracks a session that was used, if other instances have to know
// it.
func (o *Rollouts) trackSession(s *serviceRollout, key sessionKey, version string) {
	covered := hashFraction(key.name) < kcrollout.CanaryShare(o.opts.Deployment.Bounds.MaxExposureShare)
	if !s.tracksSessions() || version == s.Order.Target || !covered && !s.IsStopped(version) {
		return
	}
	if s.sessions.local == nil {
		s.sessions.local = make(map[uint64]sessionKey)
	}
	s.sessions.local[sessionHash(key.name)], s.sessions.changed = key, true
}

// SessionUpdates returns the sessions of this instance that other instances have
// to know. Unless all is set, it omits orders without changes.
func (o *Rollouts) SessionUpdates(all bool) []kcload.SessionReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, span := o.opts.Clock.Now(), o.opts.Deployment.Bounds.SessionIdleMs
	var out []kcload.SessionReport
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
			if age := p.age(now); ok && age < span && p.version != s.Order.Target {
				list[p.version] = append(list[p.version], kcload.Session{Hash: hash, AgeMs: int(age)})
			} else {
				delete(s.sessions.local, hash)
			}
		}
		for _, offset := range s.Order.Offsets() {
			out = append(out, o.sessionMessages(offset, list)...)
		}
	}
	return out
}

// sessionMessages returns one message per version, under an offset of the order.
func (o *Rollouts) sessionMessages(order int64, list map[string][]kcload.Session) (out []kcload.SessionReport) {
	for version, sessions := range list {
		out = append(out, kcload.SessionReport{
			Instance: o.opts.Deployment.Instance, OrderOffset: order, Version: version, Sessions: sessions,
		})
	}
	return out
}

// sessionsPending reports whether the order was seen so late that the sessions of
// other instances have to be loaded first. The wait is bounded by startupWaitMs.
func (o *Rollouts) sessionsPending(s *serviceRollout) bool {
	return s.tracksSessions() && s.sessionsSynced != nil && !isClosed(s.sessionsSynced) &&
		o.opts.Clock.Now()-s.startedAt < startupWaitMs
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// AwaitingSessions returns the offsets of the orders whose sessions have to be
// requested from other instances.
func (o *Rollouts) AwaitingSessions() (orders []int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.services {
		if o.sessionsPending(s) {
			orders = append(orders, s.Order.Offsets()...)
		}
	}
	return orders
}

// awaitSessions returns a channel that is closed once the version of a session
// can be decided, and the time at which it is decided anyway. The channel is nil
// if there is nothing to wait for.
func (o *Rollouts) awaitSessions(key sessionKey) (known <-chan struct{}, until kcclock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[key.service]
	if s == nil || key.name == "" || !o.sessionsPending(s) ||
		hashFraction(key.name) >= kcrollout.CanaryShare(o.opts.Deployment.Bounds.MaxExposureShare) {
		return nil, 0
	}
	return s.sessionsSynced, s.startedAt + startupWaitMs
}

// SessionSnapshot returns all tracked sessions of an order, local and remote, for
// an instance that asks. The last message is marked as Whole. There is none if
// this instance does not know the order.
func (o *Rollouts) SessionSnapshot(order int64) (out []kcload.SessionReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock.Now()
	for _, s := range o.services {
		if !s.HasOffset(order) || !s.tracksSessions() || o.sessionsPending(s) {
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
		last := kcload.SessionReport{Instance: o.opts.Deployment.Instance, OrderOffset: order, FinalAnswer: true}
		out = append(o.sessionMessages(order, list), last)
	}
	return out
}

// MarkSessionsSynced records that there is no instance to ask.
func (o *Rollouts) MarkSessionsSynced(order int64) {
	o.MergeSessions(kcload.SessionReport{OrderOffset: order, FinalAnswer: true})
}

// MergeSessions merges the sessions of another instance.
func (o *Rollouts) MergeSessions(m kcload.SessionReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, span := o.opts.Clock.Now(), o.opts.Deployment.Bounds.SessionIdleMs+peerSessionSlackMs
	for _, s := range o.services {
		if !s.HasOffset(m.OrderOffset) || !s.tracksSessions() {
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
		if m.FinalAnswer && s.sessionsSynced != nil && !isClosed(s.sessionsSynced) {
			close(s.sessionsSynced)
		}
	}
}
