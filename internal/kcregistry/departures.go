// Package kcregistry remembers what a list of processes no longer holds.
package kcregistry

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

const (
	// keepMs is how long a departure is remembered: far longer than the seconds that a
	// restored registry goes back.
	keepMs = 60 * kcclock.Second
	// maxDepartures bounds the memory: three times the upstreams of the largest
	// deployment that was announced.
	maxDepartures = 10_000
)

// departure is the last entry of a process.
type departure struct {
	seq int64
	at  kcclock.Millis
	// missing is true if the entry is not known to be removed after the last list: it was
	// missing there.
	missing bool
}

// Departures remembers the processes whose entries were removed from a registry. The
// zero value is empty.
type Departures[K comparable] struct {
	byProcess map[K]departure
}

// Record records that the entry of a process was removed. seq is the sequence number
// of the entry; 0 stands for none, and is not recorded.
func (d *Departures[K]) Record(process K, seq int64, now kcclock.Millis) {
	d.record(process, departure{seq: seq, at: now})
}

// RecordMissing records that the entry of a process was missing in a list. It may be
// written again as it was.
func (d *Departures[K]) RecordMissing(process K, seq int64, now kcclock.Millis) {
	d.record(process, departure{seq: seq, at: now, missing: true})
}

// AllowRewrites lets entries that were removed be written again as they were: the
// registry was listed since.
func (d *Departures[K]) AllowRewrites() {
	for process, last := range d.byProcess {
		last.missing = true
		d.byProcess[process] = last
	}
}

// Forget forgets the departure of a process that is listed.
func (d *Departures[K]) Forget(process K) { delete(d.byProcess, process) }

func (d *Departures[K]) record(process K, last departure) {
	if last.seq <= 0 || len(d.byProcess) >= maxDepartures {
		return
	}
	if d.byProcess == nil {
		d.byProcess = make(map[K]departure)
	}
	d.byProcess[process] = last
}

// Covers reports whether an entry was written before it was removed.
func (d *Departures[K]) Covers(process K, seq int64) bool {
	return d.CoversCopy(process, seq) && !d.byProcess[process].missing
}

// CoversCopy reports whether an entry in a copy of the registry was written before its
// process departed.
func (d *Departures[K]) CoversCopy(process K, seq int64) bool {
	last, known := d.byProcess[process]
	return known && seq <= last.seq
}

// Prune forgets old departures.
func (d *Departures[K]) Prune(now kcclock.Millis) {
	for process, last := range d.byProcess {
		if now-last.at > keepMs {
			delete(d.byProcess, process)
		}
	}
}
