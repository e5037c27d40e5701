package kcgate

import (
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// pickRateWindowMs is the window of the moving rate of picks: long enough to
	// hold some picks of an instance among hundreds, and shorter than a burst.
	pickRateWindowMs = 2000 * kcclock.Millisecond
	// maxUnseenPicks is the number of picks of others that an instance may not
	// know of while it compares all upstreams. With n times as many it compares
	// one upstream in n.
	maxUnseenPicks = 9
	// minSample is the number of upstreams of each distance that are compared at
	// least: with two, the busier one is avoided.
	minSample = 2
)

// pickRate is the exponentially weighted rate of picks for a service.
type pickRate struct {
	count float64
	at    kcclock.Millis
}

func (r *pickRate) add(now kcclock.Millis) {
	r.count, r.at = r.countAt(now)+1, now
}

func (r *pickRate) countAt(now kcclock.Millis) float64 {
	return r.count * math.Exp(-float64(now-r.at)/float64(pickRateWindowMs))
}

// perMs returns the picks per millisecond.
func (r *pickRate) perMs(now kcclock.Millis) float64 {
	return r.countAt(now) / float64(pickRateWindowMs)
}

// unseenPicks estimates how many picks for a service the other instances have
// made since their last reports, if each makes as many as this one.
func (l *Upstreams) unseenPicks(service string, now kcclock.Millis) float64 {
	r := l.pickRates[service]
	if r == nil {
		return 0
	}
	return r.perMs(now) * float64(l.peerReportAgeSum(now))
}

// peerReportAgeSum returns the sum of the ages of the reports of all peers.
func (l *Upstreams) peerReportAgeSum(now kcclock.Millis) kcclock.Millis {
	return kcclock.Millis(len(l.peerLoads))*now - l.peerReportTimes
}

func (l *Upstreams) countPick(service string, now kcclock.Millis) {
	r := l.pickRates[service]
	if r == nil {
		r = &pickRate{}
		l.pickRates[service] = r
	}
	r.add(now)
}

// sample returns the upstreams that are compared for a request, in random order,
// so that instances do not all choose the same one of equal ones. It answers
// loads of hundreds of instances: all of them would choose the upstream that
// looks least busy in reports that are older than the picks of the others, and
// queue there. The more picks are unseen, the fewer upstreams each compares.
// Upstreams of each distance are sampled separately, so that most requests stay
// near. home, if not nil, and upstreams with a limit are always compared.
func (l *Upstreams) sample(w *pickCriteria, candidates upstreamsByDistance, home *upstream, now kcclock.Millis) []*upstream {
	share := 1.0
	if unseen := l.unseenPicks(w.service, now); unseen > maxUnseenPicks {
		share = maxUnseenPicks / unseen
	}
	sampled := l.shared(w, candidates, now)
	if home != nil && !slices.Contains(sampled, home) {
		sampled = append(sampled, home)
	}
	always := len(sampled)
	for _, list := range candidates {
		wanted := max(int(math.Ceil(share*float64(len(list)))), minSample)
		l.order = append(l.order[:0], list...)
		for i := 0; i < len(l.order) && wanted > 0; i++ {
			k := i + l.intN(len(l.order)-i)
			l.order[i], l.order[k] = l.order[k], l.order[i]
			if u := l.order[i]; l.accepts(w, u, now) {
				wanted--
				if !slices.Contains(sampled[:always], u) {
					sampled = append(sampled, u)
				}
			}
		}
	}
	return sampled
}
