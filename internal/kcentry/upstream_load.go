package kcentry

import (
	"cmp"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// upstreamLoadTable counts the requests that this instance has running per upstream
// and holds back those that an upstream cannot take.
type upstreamLoadTable struct {
	clock     kcclock.Clock
	mu        sync.Mutex
	inFlight  map[string]int
	admission upstreamAdmission
}

func newUpstreamLoadTable(clock kcclock.Clock, count func(string)) *upstreamLoadTable {
	return &upstreamLoadTable{clock: clock, inFlight: make(map[string]int), admission: newUpstreamAdmission(count)}
}

func (t *upstreamLoadTable) addInFlight(id string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[id] += n
	if t.inFlight[id] == 0 {
		delete(t.inFlight, id)
	}
}

// admit counts a request to the upstream if its gate admits it. Each admitted
// request needs a call of done.
func (t *upstreamLoadTable) admit(id string, patient bool) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admission.admit(id, now, patient)
}

// done counts the end of an admitted request. The latency is that of the first
// event of a stream, or of the whole answer of a service.
func (t *upstreamLoadTable) done(id string, latency kcclock.Millis, result kcretry.Result) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.done(id, now, latency, result)
}

// blocked returns the upstreams that get no request for now, not even a probe.
func (t *upstreamLoadTable) blockedUpstreams() []string {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id := range t.admission.failing {
		if !t.admission.gateByID[id].Ready(now) {
			out = append(out, id)
		}
	}
	return out
}

// selection is what the choice of an upstream depends on.
type selectionCriteria struct {
	zone string
	// tried are the upstreams that are left out.
	excluded      kcset.Set[string]
	delayTolerant bool
	// careful requests probe a failing upstream only if there is no other.
	avoidFailing bool
}

// choose returns the member with the fewest requests running, those in zone
// first, whose gate admits the request. Each choice needs a call of done.
func (t *upstreamLoadTable) selectUpstream(members []kcmember.Member, sel selectionCriteria) (kcmember.Member, bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	// The slice is shared by all callers of the directory.
	members = slices.DeleteFunc(slices.Clone(members), func(m kcmember.Member) bool { return sel.excluded.Has(m.ID) })
	for len(members) > 0 {
		m := slices.MinFunc(members, func(a, b kcmember.Member) int {
			careful := 0
			if sel.avoidFailing {
				careful = compareTrueFirst(!t.admission.failing.Has(a.ID), !t.admission.failing.Has(b.ID))
			}
			return cmp.Or(
				careful,
				cmp.Compare(t.inFlight[a.ID], t.inFlight[b.ID]),
				compareTrueFirst(a.Zone == sel.zone, b.Zone == sel.zone),
				cmp.Compare(a.ID, b.ID),
			)
		})
		if t.admission.admit(m.ID, now, sel.delayTolerant) {
			return m, true
		}
		members = slices.DeleteFunc(members, func(x kcmember.Member) bool { return x.ID == m.ID })
	}
	return kcmember.Member{}, false
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
