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

// upstreamLoadTable counts the requests that this instance has in flight per
// upstream and decides which upstreams may receive another one.
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

// admit reports whether the upstream may receive a request. Each admitted request
// requires a call of done.
func (t *upstreamLoadTable) admit(id string, delayTolerant bool) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admission.admit(id, now, delayTolerant)
}

// done records the end of an admitted request. The latency is the time to the
// first event of a stream, or to the complete response of a service.
func (t *upstreamLoadTable) done(id string, latency kcclock.Millis, result kcretry.Result) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.done(id, now, latency, result)
}

// blockedUpstreams returns the upstreams that currently receive no requests, not
// even a probe.
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

// selectionCriteria are the criteria for the choice of an upstream.
type selectionCriteria struct {
	zone string
	// excluded are the upstreams that must not be chosen.
	excluded      kcset.Set[string]
	delayTolerant bool
	// avoidFailing prefers any other upstream to one whose breaker waits for a
	// successful probe.
	avoidFailing bool
}

// selectUpstream returns the admitting upstream with the fewest requests in
// flight. Ties go to upstreams in the zone of the criteria. Each selection
// requires a call of done.
func (t *upstreamLoadTable) selectUpstream(members []kcmember.Member, sel selectionCriteria) (kcmember.Member, bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	// The slice is cloned because all callers of the directory share it.
	members = slices.DeleteFunc(slices.Clone(members), func(m kcmember.Member) bool { return sel.excluded.Has(m.ID) })
	for len(members) > 0 {
		m := slices.MinFunc(members, func(a, b kcmember.Member) int {
			byHealth := 0
			if sel.avoidFailing {
				byHealth = compareTrueFirst(!t.admission.failing.Has(a.ID), !t.admission.failing.Has(b.ID))
			}
			return cmp.Or(
				byHealth,
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

// compareTrueFirst compares booleans and orders true before false.
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
