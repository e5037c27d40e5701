package kcgate

import (
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/internal/kcwarmup"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// setColdStarts sets what the configuration says of cold upstreams.
func (l *Upstreams) setColdStarts(services map[string]kctable.ColdStart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warmup.SetServices(services)
	for _, u := range l.byID {
		if u.warm == nil {
			l.observeEntry(u, false)
		} else {
			l.warmup.Refresh(u.warm, l.clock.Now())
		}
	}
}

// observeEntry records what the entry of an upstream says of its warm-up. isNew is
// true for a process that was not listed before. Those of the first list, and those
// that are older than the rates, may have any age.
func (l *Upstreams) observeEntry(u *upstream, isNew bool) {
	if !l.warmup.HasRate(u.Service) {
		return
	}
	e := kcwarmup.Entry{Upstream: u.ID, Service: u.Service, ColdLeftMs: u.ColdLeftMs, Fresh: isNew}
	if u.warm == nil {
		u.warm = &kcwarmup.State{}
		if !isNew || !l.Loaded() {
			e.Fresh = l.wallClock != nil && l.warmup.StartedRecently(u.Service, l.wallClock.Now()-kcclock.Millis(u.StartedAtMs))
		}
	}
	l.warmup.Observe(u.warm, e, l.clock.Now())
}

// heard reports whether this instance has heard from a peer recently.
func (l *Upstreams) heard() bool { return l.peers.Len() > 0 }

// coldLeft returns the least time until a cold upstream that would take a request
// takes one of this instance, and 0 if none is cold.
func (l *Upstreams) coldLeft(w pickCriteria) (left kcclock.Millis) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.index(w.service) {
		for _, u := range list {
			if u.warm.Cold(now) && !u.leaving() && w.allowsVersion(u.Version) && w.regions.Allow(u.region) && u.breaker.Ready(now) {
				if wait := l.warmup.Wait(u.warm, now, u.region == l.region && l.heard()); left == 0 || wait < left {
					left = wait
				}
			}
		}
	}
	return left
}

// ColdUpstreams returns the number of upstreams that count as cold.
func (l *Upstreams) ColdUpstreams() (n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.byID {
		if u.warm.Cold(l.clock.Now()) {
			n++
		}
	}
	return n
}
