package kcadmit

import (
	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxReturns bounds the refused callers of each of two generations that are
	// remembered.
	maxReturns = 2048
	// patienceShare is the share of their remaining time that callers wait at most
	// before they return.
	patienceShare = 3
	// minReturnMs is the least time that is proposed.
	minReturnMs = 20 * kcclock.Millisecond
	// maxReturnMs bounds the proposal to callers that wait for long.
	maxReturnMs = 10 * kcclock.Second
	// earlyMs is how much earlier than proposed a caller may return.
	earlyMs = 10 * kcclock.Millisecond
	// keptReturnMs is how long after its time a caller has precedence.
	keptReturnMs = 5 * kcclock.Second
)

// returns holds the times at which refused callers were told to return.
type returns struct {
	current, previous map[uint64]kcclock.Millis
	// nextAt is the time that the next refused caller is told.
	nextAt float64
}

func newReturns() returns { return returns{current: make(map[uint64]kcclock.Millis)} }

// add reserves the next time for a refused caller and returns how long that is from
// now. The next caller is told a time that is spacingMs later, and none is told to
// return before leastMs.
func (t *returns) add(now kcclock.Millis, r *Request, spacingMs float64, leastMs kcclock.Millis) kcclock.Millis {
	until := max(r.PatienceUntil, r.DeadlineAt)
	longest := min(max((until-now)/patienceShare, 1), maxReturnMs)
	if at, known := t.lookup(r.ReturnOf); known && at > now {
		// A caller that returns early keeps its time.
		return min(at-now, longest)
	}
	at := max(t.nextAt, float64(now+max(leastMs, minReturnMs)))
	after := kcclock.Millis(at) - now
	if after > longest {
		// A later time would not be kept. The longest one differs between callers
		// with their remaining time.
		after = longest
	} else {
		t.nextAt = at + spacingMs
	}
	t.remember(r.ReturnOf, now+after)
	return after
}

func (t *returns) remember(id string, at kcclock.Millis) {
	if id == "" {
		return
	}
	if len(t.current) >= maxReturns {
		t.previous, t.current = t.current, make(map[uint64]kcclock.Millis)
	}
	t.current[xxhash.Sum64String(id)] = at
}

func (t *returns) lookup(id string) (at kcclock.Millis, known bool) {
	if id == "" {
		return 0, false
	}
	key := xxhash.Sum64String(id)
	if at, known = t.current[key]; !known {
		at, known = t.previous[key]
	}
	return at, known
}

// take reports whether a request is that of a caller that was refused and has
// returned at the time that it was told.
func (t *returns) take(now kcclock.Millis, r *Request) bool {
	at, known := t.lookup(r.ReturnOf)
	return known && now >= at-earlyMs && now <= at+keptReturnMs
}

// early reports whether a request is that of a caller that was refused and has
// returned before the time that it was told.
func (t *returns) early(now kcclock.Millis, r *Request) bool {
	at, known := t.lookup(r.ReturnOf)
	return known && now < at-earlyMs
}
