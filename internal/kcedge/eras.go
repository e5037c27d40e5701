package kcedge

import (
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// eraLogIntervalMs is the time between two log lines about changes of the era.
const eraLogIntervalMs = 10 * kcclock.Second

// eraLog bounds the log lines about changes of the era: responses of a store that
// carry different eras in turn change it with each of them.
type eraLog struct {
	clock kcclock.Clock

	mu sync.Mutex
	// pending holds the changes that are not logged yet.
	pending  eraChanges
	loggedAt kcclock.Millis
}

// eraChanges is a number of changes of the era in a row.
type eraChanges struct {
	from, to int64
	n        int
}

func (l *eraLog) add(from, to int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending.n == 0 {
		l.pending.from = from
	}
	l.pending.to = to
	l.pending.n++
}

// due returns the changes that are to be logged now, if any.
func (l *eraLog) due() (eraChanges, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.pending.n == 0 || l.loggedAt != 0 && now-l.loggedAt < eraLogIntervalMs {
		return eraChanges{}, false
	}
	c := l.pending
	l.pending, l.loggedAt = eraChanges{}, now
	return c, true
}

// recordEraChange records that the store has come back from a copy.
func (e *Edge) recordEraChange(from, to int64) {
	e.metrics.Count("store.eraChanges")
	if to != from+1 {
		e.metrics.Count("store.oddEras")
	}
	e.eras.add(from, to)
	e.logEraChanges()
}

// logEraChanges logs the changes of the era that are due.
func (e *Edge) logEraChanges() {
	if c, ok := e.eras.due(); ok {
		e.Log.Warn("store is in another era", "from", c.from, "era", c.to, "changes", c.n,
			"operatorOffset", e.configFollower.NextOffset(), "upstreamsOffset", e.upstreamFollower.NextOffset(),
			"statusOffset", e.progressFollower.NextOffset())
	}
}
