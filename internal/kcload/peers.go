package kcload

import (
	"iter"
	"maps"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// peerLoadTTLMs is how long the load report of another instance counts: twice
	// the longest time between two reports.
	peerLoadTTLMs = 1600 * kcclock.Millisecond
	// peerLoadCheckMs is the time between checks for expired reports, a small part
	// of the time for which they count.
	peerLoadCheckMs = 50 * kcclock.Millisecond
)

// Peers holds the newest load report of each peer, with the time of its arrival.
type Peers struct {
	byName    map[string]*peerReport
	checkedAt kcclock.Millis
	// all and far hold the times of all reports and of those from other availability
	// zones.
	all, far reportTimes
}

type peerReport struct {
	seq   uint64
	at    kcclock.Millis
	far   bool
	loads []UpstreamLoad
}

// reportTimes sums the times of reports.
type reportTimes struct {
	count int
	sum   kcclock.Millis
}

func (t *reportTimes) add(at kcclock.Millis, n int) {
	t.count += n
	t.sum += at * kcclock.Millis(n)
}

func (p *Peers) count(r *peerReport, n int) {
	p.all.add(r.at, n)
	if r.far {
		p.far.add(r.at, n)
	}
}

// Set records a report and returns the loads of the report that it replaces. It
// returns false for a report that is not newer. far tells whether the peer is in
// another availability zone.
func (p *Peers) Set(now kcclock.Millis, m Message, far bool) (old []UpstreamLoad, newer bool) {
	r := p.byName[m.Instance]
	if r != nil {
		if m.Seq <= r.seq {
			return nil, false
		}
		p.count(r, -1)
		old = r.loads
	} else if p.byName == nil {
		p.byName = make(map[string]*peerReport)
	}
	r = &peerReport{m.Seq, now, far, m.Loads}
	p.byName[m.Instance] = r
	p.count(r, 1)
	return old, true
}

// Expire removes the reports of instances that stopped sending them, and calls
// removed with the loads of each.
func (p *Peers) Expire(now kcclock.Millis, removed func([]UpstreamLoad)) {
	if now-p.checkedAt < peerLoadCheckMs {
		return
	}
	p.checkedAt = now
	for name, r := range p.byName {
		if now-r.at > peerLoadTTLMs {
			removed(r.loads)
			p.count(r, -1)
			delete(p.byName, name)
		}
	}
}

// Names returns the names of the peers that have sent a report.
func (p *Peers) Names() iter.Seq[string] { return maps.Keys(p.byName) }

// Len returns their number.
func (p *Peers) Len() int { return len(p.byName) }

// AgeSum returns the sum of the ages of the reports.
func (p *Peers) AgeSum(now kcclock.Millis) kcclock.Millis {
	return kcclock.Millis(p.all.count)*now - p.all.sum
}

// FarAge returns the mean age of the reports from other availability zones, 0 if there
// are none.
func (p *Peers) FarAge(now kcclock.Millis) float64 {
	if p.far.count == 0 {
		return 0
	}
	return float64(now) - float64(p.far.sum)/float64(p.far.count)
}
