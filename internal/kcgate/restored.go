package kcgate

import (
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Restore sets the list after the store has come back from a copy, which may be older
// than what is known. Entries of earlier processes, and of those that were gone, change
// nothing. Apart from that it is Replace.
func (l *Upstreams) Restore(list []kctable.Upstream, storeReturnedAt kcclock.Millis) (kept int) {
	return l.replace(list, slices.DeleteFunc(slices.Clone(list), l.superseded), storeReturnedAt)
}

// superseded reports whether the process of an entry was gone, or a later one has its id.
func (l *Upstreams) superseded(u kctable.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.byID[u.ID]
	return known != nil && u.StartedAtMs < known.StartedAtMs ||
		l.departures.CoversCopy(u.Process(), u.Seq)
}

// recordList records which processes a list holds, and which known ones it lacks.
func (l *Upstreams) recordList(list []kctable.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departures.AllowRewrites()
	for _, u := range l.byID {
		l.departures.RecordMissing(u.Process(), u.Seq, l.clock.Now())
	}
	for _, u := range list {
		l.departures.Forget(u.Process())
	}
}

// outdated reports whether a process has written an entry before the known one, or
// before it was gone.
func (l *Upstreams) outdated(known *upstream, u kctable.Upstream) bool {
	switch {
	case u.StartedAtMs == 0:
		return false
	case known != nil && known.StartedAtMs == u.StartedAtMs:
		return u.Seq < known.Seq || u.Seq == known.Seq && known.Draining && !u.Draining
	}
	return l.departures.Covers(u.Process(), u.Seq)
}

// Discard removes an upstream whose entry cannot be used. The next entry of its process
// may have the same sequence number.
func (l *Upstreams) Discard(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropIndex()
	delete(l.byID, id)
}
