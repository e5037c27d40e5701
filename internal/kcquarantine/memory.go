package kcquarantine

import (
	"math"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Limits of what callers can make an instance remember.
const (
	// maxSuspects bounds the parts that crashes blame, maxCrashes the crashes.
	maxSuspects = 1024
	maxCrashes  = 256
	// maxCrashesPerPart bounds the crashes that are remembered of one part.
	maxCrashesPerPart = 8
	// maxPartsPerRequest bounds the parts of one request that are considered: the
	// first ones, which most requests share.
	maxPartsPerRequest = 16
	// maxAnswered bounds each of the two generations of answered parts.
	maxAnswered = 4096
)

// closestToPrevious returns the index of the crash that follows another one most
// closely, but not that of the last one, from which the next trial counts. Without
// it, the number of episodes is most likely the same.
func closestToPrevious(list []partCrash) int {
	best := 1
	for i := 2; i < len(list)-1; i++ {
		if list[i].at-list[i-1].at < list[best].at-list[best-1].at {
			best = i
		}
	}
	return best
}

// evictCrashes makes room for a crash.
func (t *Tracker) evictCrashes() {
	now := t.opts.Clock.Now()
	oldest, oldestAt := uint64(0), kcclock.Millis(0)
	for id, c := range t.crashes {
		if now-c.at > forgetMs {
			delete(t.crashes, id)
			continue
		}
		if oldestAt == 0 || c.at < oldestAt {
			oldest, oldestAt = id, c.at
		}
	}
	if len(t.crashes) >= maxCrashes {
		delete(t.crashes, oldest)
	}
}

// evictSuspects makes room for a suspect. A part with fewer crashes is forgotten
// first, so that made-up parts do not displace a blocked one.
func (t *Tracker) evictSuspects() {
	now := t.opts.Clock.Now()
	var weakest Part
	fewest, oldestAt, found := 0, kcclock.Millis(0), false
	for p, s := range t.suspects {
		at := s.crashes[len(s.crashes)-1].at
		if now-at > forgetMs {
			delete(t.suspects, p)
			continue
		}
		if n := len(s.crashes); !found || n < fewest || n == fewest && at < oldestAt {
			weakest, fewest, oldestAt, found = p, n, at, true
		}
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, weakest)
	}
}

// decayingCount is an exponentially decaying count.
type decayingCount struct {
	n       float64
	countAt kcclock.Millis
}

func (c *decayingCount) at(now kcclock.Millis) float64 {
	return c.n * math.Exp2(-float64(now-c.countAt)/float64(shareHalfLifeMs))
}

func (c *decayingCount) add(now kcclock.Millis) { c.n, c.countAt = c.at(now)+1, now }

// answeredParts remembers when parts were last answered. It keeps two generations
// of bounded size.
type answeredParts struct{ current, previous map[Part]kcclock.Millis }

func (a *answeredParts) add(p Part, at kcclock.Millis) {
	if a.current == nil || len(a.current) >= maxAnswered {
		a.previous, a.current = a.current, make(map[Part]kcclock.Millis)
	}
	a.current[p] = at
}

func (a *answeredParts) get(p Part) (kcclock.Millis, bool) {
	at, ok := a.current[p]
	if !ok {
		at, ok = a.previous[p]
	}
	return at, ok
}
