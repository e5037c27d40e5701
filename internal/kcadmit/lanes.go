package kcadmit

import (
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcqueue"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxLanes bounds the kinds and sizes that are held apart.
	maxLanes = 64
	// sizeBase is the factor between the costs of two sizes.
	sizeBase = 4.0
	// servedWindowMs is the window of the share of requests that are served.
	servedWindowMs = 5000.0
	// minServed is the share of the requests of a kind and size that is served
	// before more urgent ones.
	minServed = 0.1
	// servedTolerance is how much less often a kind may be served than a less urgent
	// one. Callers see a few hundredths more, because the shares of instances differ.
	servedTolerance = 0.02
	// activeKindMs is how long a kind without requests counts as active.
	activeKindMs = 2000 * kcclock.Millisecond
	// objectivePeriodMs is the period over which the objective of a kind is observed.
	objectivePeriodMs = 10_000 * kcclock.Millisecond
)

// decayingCount is an exponentially weighted count.
type decayingCount struct {
	n  float64
	at kcclock.Millis
}

func (d *decayingCount) at0(now kcclock.Millis, windowMs float64) float64 {
	if now <= d.at {
		return d.n
	}
	return d.n * math.Exp(-float64(now-d.at)/windowMs)
}

func (d *decayingCount) add(now kcclock.Millis, n, windowMs float64) {
	d.n, d.at = d.at0(now, windowMs)+n, max(now, d.at)
}

// kindStats is what is known about the requests of one kind, urgency and size.
type kindStats struct {
	arrived, served decayingCount
	lastAt          kcclock.Millis
	// objective is the longest time that requests had until their objective since
	// objectiveAt, previous that in the period before. Those that come back after a
	// refusal may have less.
	objective, previous float64
	objectiveAt         kcclock.Millis
}

func (k *kindStats) arrive(now kcclock.Millis, objective float64) {
	k.arrived.add(now, 1, servedWindowMs)
	k.lastAt = now
	if now-k.objectiveAt >= objectivePeriodMs {
		k.previous, k.objective, k.objectiveAt = k.objective, 0, now
	}
	k.objective = max(k.objective, objective)
}

func (k *kindStats) serve(now kcclock.Millis) { k.served.add(now, 1, servedWindowMs) }

// servedShare returns the share of the recent requests that was served.
func (k *kindStats) servedShare(now kcclock.Millis) float64 {
	arrived := k.arrived.at0(now, servedWindowMs)
	if arrived < 1 {
		return 1
	}
	return min(k.served.at0(now, servedWindowMs)/arrived, 1)
}

type laneKey struct {
	kind    string
	urgency int
	size    int
}

// lane holds the waiting requests of one kind, urgency and size: those that can
// still meet their objective, and the late ones.
type lane struct {
	laneKey
	kind   *kindStats
	queues [2]*kcqueue.Queue[*entry]
}

func (l *lane) queue(late bool) *kcqueue.Queue[*entry] {
	if late {
		return l.queues[1]
	}
	return l.queues[0]
}

func (l *lane) len() int { return l.queues[0].Len() + l.queues[1].Len() }

// laneSet holds the lanes of a service, the most urgent first.
type laneSet struct {
	byKey map[laneKey]*lane
	list  []*lane
}

func newLaneSet() laneSet { return laneSet{byKey: make(map[laneKey]*lane)} }

func sizeOf(costMs float64) int {
	if !(costMs > 1) {
		return 0
	}
	return min(int(math.Log(costMs)/math.Log(sizeBase)), 8)
}

// lane returns the lane of a request.
func (s *laneSet) lane(now kcclock.Millis, r *Request) *lane {
	key := laneKey{kind: r.Kind, urgency: r.Urgency, size: sizeOf(r.CostMs)}
	if l := s.byKey[key]; l != nil {
		return l
	}
	if len(s.list) >= maxLanes {
		s.trim(now)
	}
	if len(s.list) >= maxLanes {
		// The lane with the nearest urgency. There are more kinds than lanes.
		i, _ := slices.BinarySearchFunc(s.list, r.Urgency, func(l *lane, u int) int { return l.urgency - u })
		return s.list[min(i, len(s.list)-1)]
	}
	l := &lane{laneKey: key, kind: &kindStats{}}
	for i := range l.queues {
		l.queues[i] = kcqueue.New[*entry](kcqueue.Options{MaxWaiting: math.MaxInt, PromotionMarginMs: 0})
	}
	s.byKey[key] = l
	i, _ := slices.BinarySearchFunc(s.list, key.urgency, func(x *lane, u int) int {
		if x.urgency <= u {
			return -1
		}
		return 1
	})
	s.list = slices.Insert(s.list, i, l)
	return l
}

// leastObjective returns the least latency objective of the active kinds, 0 if there
// is none.
func (s *laneSet) leastObjective(now kcclock.Millis) (least float64) {
	for _, l := range s.list {
		objective := max(l.kind.objective, l.kind.previous)
		if objective > 0 && now-l.kind.lastAt < objectivePeriodMs && (least == 0 || objective < least) {
			least = objective
		}
	}
	return least
}

// trimWorkspaces removes workspaces whose past use no longer affects the order.
func (s *laneSet) trimWorkspaces() {
	for _, l := range s.list {
		l.queues[0].TrimIdleWorkspaces()
		l.queues[1].TrimIdleWorkspaces()
	}
}

// trim removes lanes that are not in use.
func (s *laneSet) trim(now kcclock.Millis) {
	s.list = slices.DeleteFunc(s.list, func(l *lane) bool {
		unused := l.len() == 0 && now-l.kind.lastAt > activeKindMs
		if unused {
			delete(s.byKey, l.laneKey)
		}
		return unused
	})
}

// urgencyCredit returns 1 for the most urgent of the active kinds, and less for
// the others.
func (s *laneSet) urgencyCredit(now kcclock.Millis, urgency int) float64 {
	for _, l := range s.list {
		if l.urgency >= urgency {
			break
		}
		if now-l.kind.lastAt < activeKindMs {
			return 1 / float64(1+urgency-l.urgency)
		}
	}
	return 1
}

// rank returns the order in which a lane is served, the least first: lanes below
// their minimum, requests that can meet their objective, late ones. A late request
// counts as one that can meet its objective while less urgent kinds are served more
// often.
func (s *laneSet) rank(now kcclock.Millis, i int, late bool) int {
	l := s.list[i]
	share := l.kind.servedShare(now)
	switch {
	case share < minServed:
		return 0
	case !late:
		return 1
	}
	for _, x := range s.list[i+1:] {
		if x.urgency > l.urgency && now-x.kind.lastAt < activeKindMs && x.kind.servedShare(now) > share+servedTolerance {
			return 1
		}
	}
	return 2
}

// next returns the lane that is served next, and whether with a late request. Of
// lanes of the same urgency, that with the least share of served requests is next.
func (s *laneSet) next(now kcclock.Millis) (best *lane, late bool) {
	bestRank, bestShare := math.MaxInt, 0.0
	for i, l := range s.list {
		if l.len() == 0 {
			continue
		}
		isLate := l.queue(false).Len() == 0
		rank, share := s.rank(now, i, isLate), l.kind.servedShare(now)
		if best == nil || rank < bestRank || rank == bestRank && l.urgency == best.urgency && share < bestShare {
			best, late, bestRank, bestShare = l, isLate, rank, share
		}
	}
	return best, late
}

// precedes reports whether a held request comes before a new one of a lane.
func (s *laneSet) precedes(now kcclock.Millis, own *lane, late bool) bool {
	own0 := slices.Index(s.list, own)
	if own0 < 0 {
		return false
	}
	ownRank := s.rank(now, own0, late)
	for i, l := range s.list {
		if l.len() == 0 {
			continue
		}
		rank := s.rank(now, i, l.queue(false).Len() == 0)
		if rank < ownRank || rank == ownRank && l.urgency <= own.urgency {
			return true
		}
	}
	return false
}

// ahead returns the number of held requests that come before a new one of a lane.
func (s *laneSet) ahead(own *lane, late bool) (n int) {
	for _, l := range s.list {
		if l.urgency <= own.urgency || late {
			n += l.queue(false).Len()
		}
		if late && l.urgency <= own.urgency {
			n += l.queue(true).Len()
		}
	}
	return n
}

// shed removes the request that gives way to others: a late one if there is one, of
// the least urgent lane.
func (s *laneSet) shed() *entry {
	for _, late := range []bool{true, false} {
		for _, l := range slices.Backward(s.list) {
			if it, ok := l.queue(late).Shed(); ok {
				return it.Value
			}
		}
	}
	return nil
}
