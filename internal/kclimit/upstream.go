package kclimit

import (
	"math"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// minSenders is the least number of instances that share the limit of an
	// upstream. If two of them disagree on who is alive, one more than these
	// sends, which is half of the limit too much at most.
	minSenders = 2
	// requestsPerSender is the largest part of a limit that one sender gets, in
	// requests a second: less than an instance gets from its callers.
	requestsPerSender = 2.0
	// upstreamBurst is the capacity of the bucket of a sender.
	upstreamBurst = 1
)

// Sender is a live instance that may send to an upstream.
type Sender struct {
	Instance string
	// Near is true for an instance in the availability zone of the upstream.
	Near bool
}

// SenderShare returns the part of the limit of an upstream that an instance may
// use, in requests a second. Few instances share a limit, because the others have
// other upstreams to send to and hundreds of shares would be too small to be used.
// All instances that see the same live ones choose the same senders: near ones
// first, then by rendezvous hash. live holds the other live instances.
func SenderShare(upstream string, perSecond float64, own Sender, live []Sender) float64 {
	n := min(max(int(math.Ceil(perSecond/requestsPerSender)), minSenders), len(live)+1)
	ahead, ownHash := 0, kcset.RendezvousHash(upstream, own.Instance)
	for _, s := range live {
		if s.Near != own.Near {
			if s.Near {
				ahead++
			}
			continue
		}
		if h := kcset.RendezvousHash(upstream, s.Instance); h > ownHash || h == ownHash && s.Instance < own.Instance {
			ahead++
		}
	}
	if ahead >= n {
		return 0
	}
	return perSecond / float64(n)
}

// Upstream is the limit that one upstream process names for all instances
// together. It answers upstreams that ask for less than the placement would send.
// It is not safe for concurrent use.
type Upstream struct {
	// PerSecond is the limit in requests a second. It is negative if there is
	// none.
	PerSecond float64
	// At is the time at which the upstream named the limit or no longer did.
	At     kcclock.Millis
	bucket Bucket
}

// NoLimit is the value of Upstream.PerSecond without a limit.
const NoLimit = -1.0

// Set records what the upstream said at a time and reports whether it has changed.
// A report that is older than the known one is ignored. The first requests after a
// new limit wait for their share.
func (u *Upstream) Set(perSecond float64, at, now kcclock.Millis) bool {
	if at < u.At {
		return false
	}
	changed := perSecond != u.PerSecond
	if changed && u.PerSecond < 0 {
		u.bucket = Bucket{refilledAt: now, initialized: true}
	}
	u.PerSecond, u.At = perSecond, at
	return changed
}

// Has reports whether an instance with a share may send a request.
func (u *Upstream) Has(now kcclock.Millis, share float64) bool {
	return u.PerSecond < 0 || share > 0 && u.bucket.Has(now, 1, share, upstreamBurst)
}

// Take counts a request.
func (u *Upstream) Take(now kcclock.Millis, share float64) {
	if u.PerSecond >= 0 {
		u.bucket.Take(now, 1, share, upstreamBurst)
	}
}
