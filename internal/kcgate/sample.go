package kcgate

import (
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcbrittle"
	"github.com/kingcuprail/kingcuprail/internal/kcspeed"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxUnseenPicks is the number of picks of others that an instance may not
	// know of while it compares all upstreams. With n times as many it compares
	// one upstream in n.
	maxUnseenPicks = 9
	// minSample is the number of upstreams of each distance that are compared at
	// least: with two, the busier one is avoided.
	minSample = 2
)

// serviceState is what this instance keeps for a service.
type serviceState struct {
	picks kcspeed.PickRate
	// namesSpeed is true once an upstream of the service has named its speed.
	namesSpeed bool
	brittle    kcbrittle.Service
	roomState
}

// state returns the state of a service.
func (l *Upstreams) state(service string) *serviceState {
	s := l.services[service]
	if s == nil {
		s = &serviceState{}
		l.services[service] = s
	}
	return s
}

// unseenPicks estimates how many picks for a service the other instances have
// made since their last reports, if each makes as many as this one.
func (l *Upstreams) unseenPicks(service string, now kcclock.Millis) float64 {
	return l.state(service).picks.PerMs(now) * float64(l.peers.AgeSum(now))
}

// sample returns the upstreams that are compared for a request, in random order,
// so that instances do not all choose the same one of equal ones. It answers
// loads of hundreds of instances: all of them would choose the upstream that
// looks least busy in reports that are older than the picks of the others, and
// queue there. The more picks are unseen, the fewer upstreams each compares.
// Upstreams of each distance are sampled separately, so that most requests stay
// near. Two of holders and upstreams with a limit are always compared.
func (l *Upstreams) sample(w *pickCriteria, candidates upstreamsByDistance, holders []*upstream, now kcclock.Millis) []*upstream {
	share := 1.0
	if unseen := l.unseenPicks(w.service, now); unseen > maxUnseenPicks {
		share = maxUnseenPicks / unseen
	}
	sampled := l.shared(w, candidates, now)
	for _, u := range l.twoOf(holders) {
		if !slices.Contains(sampled, u) {
			sampled = append(sampled, u)
		}
	}
	always := len(sampled)
	for _, list := range candidates {
		wanted := max(int(math.Ceil(share*float64(len(list)))), minSample)
		l.shuffle.Each(len(list), l.intN, func(i int) bool {
			if u := list[i]; l.accepts(w, u, now) {
				wanted--
				if !slices.Contains(sampled[:always], u) {
					sampled = append(sampled, u)
				}
			}
			return wanted > 0
		})
	}
	return sampled
}

// twoOf returns two random ones of the holders of a part, so that instances do not
// all choose the same one.
func (l *Upstreams) twoOf(holders []*upstream) []*upstream {
	if len(holders) <= 2 {
		return holders
	}
	i, k := l.intN(len(holders)), l.intN(len(holders)-1)
	if k >= i {
		k++
	}
	return []*upstream{holders[i], holders[k]}
}
