package kcmember

import (
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// HeaderLeaving is the response header that a leaving upstream sets to "true".
const HeaderLeaving = "X-Engine-Leaving"

// Observation is the result of a call as evidence of an upstream's health.
type Observation int

// Values of Observation.
const (
	// Responded means a response without the leaving header.
	Responded Observation = iota
	// RespondedLeaving means a response with the leaving header.
	RespondedLeaving
	// ConnectionRefused means that the connection was refused.
	ConnectionRefused
	// CallFailed means a timeout or any other failure of the connection.
	CallFailed
)

// ClassifyResult returns the observation for the result of a call. Any HTTP
// status counts as a response, because membership depends only on whether the
// upstream can be reached.
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
	// blockThreshold is the number of consecutive failures that block an
	// upstream. It is above 1, because a single timeout may be one slow request.
	blockThreshold = 3
	// initialBlockMs and maxBlockMs bound the exponential backoff during which a
	// blocked upstream gets no new work. It doubles with each further
	// consecutive failure.
	initialBlockMs = kcclock.Second
	maxBlockMs     = 8 * kcclock.Second
	// confirmationTTLMs is how long a response confirms a member of a stale list.
	confirmationTTLMs = 10 * kcclock.Second
	// leavingTTLMs is how long an upstream is excluded after a response with the
	// leaving header. Only a new call can show that the upstream is no longer
	// leaving, and each such call is new work, so the interval is long.
	leavingTTLMs = 5 * kcclock.Minute
)

// callHistory holds the results of this instance's calls to one member at one
// address. lastResponseAt and consecutiveFailures are atomic, because Observe
// updates them without the lock of the directory after a successful call.
type callHistory struct {
	addr                string
	lastResponseAt      atomic.Int64
	consecutiveFailures atomic.Int64
	leavingUntil        kcclock.Millis
	blockedUntil        kcclock.Millis
}

func (h *callHistory) isConfirmed(now kcclock.Millis) bool {
	at := kcclock.Millis(h.lastResponseAt.Load())
	return at > 0 && at+confirmationTTLMs > now
}

func (h *callHistory) isExcluded(now kcclock.Millis) bool {
	return h.leavingUntil > now || h.blockedUntil > now
}

// Observe records the result of a call to the member with the given id and
// address. A late response of a member that was replaced under the same id is
// ignored, because the address differs.
func (d *Directory) Observe(id, addr string, o Observation) {
	snap := d.snapshot.Load()
	history, ok := snap.histories[id]
	if !ok || history.addr != addr {
		return
	}
	now := d.opts.Clock.Now()
	if o == Responded {
		history.lastResponseAt.Store(int64(now))
		if history.consecutiveFailures.Swap(0) == 0 && !snap.excluded[id] {
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch o {
	case Responded:
		// leavingUntil stays: this response may be older than the one that
		// reported the upstream as leaving.
		history.blockedUntil = 0
	case RespondedLeaving:
		history.leavingUntil = now + leavingTTLMs
	case ConnectionRefused, CallFailed:
		n := history.consecutiveFailures.Add(1)
		if o == ConnectionRefused {
			n = max(n, blockThreshold)
			history.consecutiveFailures.Store(n)
		}
		if n < blockThreshold {
			return
		}
		history.blockedUntil = now + min(initialBlockMs<<min(n-blockThreshold, 10), maxBlockMs)
	}
	d.reindexMember(id, now)
}
