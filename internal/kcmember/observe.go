package kcmember

import (
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// HeaderLeaving is set to "true" on the answers of an upstream that is leaving.
const HeaderLeaving = "X-Engine-Leaving"

// Observation is what a call showed of an upstream.
type Observation int

// Values of Observation.
const (
	// Answered means that the upstream answered and does not say it is leaving.
	Responded Observation = iota
	// RespondedLeaving means that the answer said that the upstream is leaving.
	RespondedLeaving
	// Refused means that the connection was refused.
	ConnectionRefused
	// Failed means any other failure of the connection or a timeout.
	CallFailed
)

// Observed classifies the result of a call. Any HTTP status is an answer:
// whether an upstream answers well is not a question of membership.
func ClassifyResult(header http.Header, err error) Observation {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnectionRefused
	case err != nil:
		return CallFailed
	case header.Get(HeaderLeaving) == "true":
		return RespondedLeaving
	default:
		return Responded
	}
}

const (
	// blockThreshold is the number of consecutive failures after which an
	// upstream is blocked; a single timeout may be one slow request.
	blockThreshold = 3
	// initialBlockMs and maxBlockMs bound the time without new work; it doubles
	// with every failure in a row.
	initialBlockMs = kcclock.Second
	maxBlockMs     = 8 * kcclock.Second
	// confirmationTTLMs is how long an answer confirms a member of an old list.
	confirmationTTLMs = 10 * kcclock.Second
	// leavingTTLMs is how long the word of an upstream that it is leaving holds.
	// Only a new call could show that it stays after all, and each such call is
	// new work, so they are far apart.
	leavingTTLMs = 5 * kcclock.Minute
)

// record is what the calls of this instance showed of one member at one
// address. lastResponseAt is written without the lock of the directory.
type callHistory struct {
	addr                string
	lastResponseAt      atomic.Int64
	consecutiveFailures atomic.Int64
	leavingUntil        kcclock.Millis
	blockedUntil        kcclock.Millis
}

func (r *callHistory) isConfirmed(now kcclock.Millis) bool {
	at := kcclock.Millis(r.lastResponseAt.Load())
	return at > 0 && at+confirmationTTLMs > now
}

func (r *callHistory) isExcluded(now kcclock.Millis) bool {
	return r.leavingUntil > now || r.blockedUntil > now
}

// Observe takes what a call to the member with the given id and address
// showed. A late answer of a member that was replaced under the same id does
// not count for the new one.
func (d *Directory) Observe(id, addr string, o Observation) {
	v := d.snapshot.Load()
	r, ok := v.histories[id]
	if !ok || r.addr != addr {
		return
	}
	now := d.opts.Clock.Now()
	if o == Responded {
		r.lastResponseAt.Store(int64(now))
		if r.consecutiveFailures.Swap(0) == 0 && !v.excluded[id] {
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch o {
	case Responded:
		// An answer that was on its way does not take back a later one that
		// said the upstream is leaving.
		r.blockedUntil = 0
	case RespondedLeaving:
		r.leavingUntil = now + leavingTTLMs
	case ConnectionRefused, CallFailed:
		n := r.consecutiveFailures.Add(1)
		if o == ConnectionRefused {
			n = max(n, blockThreshold)
			r.consecutiveFailures.Store(n)
		}
		if n < blockThreshold {
			return
		}
		r.blockedUntil = now + min(initialBlockMs<<min(n-blockThreshold, 10), maxBlockMs)
	}
	d.reindexMember(id, now)
}
