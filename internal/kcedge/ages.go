package kcedge

import (
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// peerAgeMs is the age from which the word of the instance that reads for
	// others is never enough: it comes before an instance counts as in touch
	// again, 4 s in the known deployments, by a call of the slowest store.
	peerAgeMs = 3200 * kcclock.Millisecond
	// applySlackMs is the time for such a call, 0.35 s, and for noticing that
	// the word is too old.
	applySlackMs = 500 * kcclock.Millisecond
	// revokeSlackMs is the same with the margin at which keys are too old to be
	// accepted, and with the wait at a peer.
	revokeSlackMs = 1800 * kcclock.Millisecond
)

// peerAges are the ages from which the word of the instance that reads for
// others is not enough, by what it tells. The reader may be cut off from the
// store unseen; a change must reach the others in time all the same.
type peerAges struct{ config, upstreams, progress kcclock.Millis }

func newPeerAges(b kctable.Bounds) peerAges {
	a := peerAges{config: peerAgeMs, upstreams: peerAgeMs, progress: peerAgeMs}
	if b.KeyRevokeMs > 0 {
		a.config = min(a.config, b.KeyRevokeMs-revokeSlackMs)
	}
	if b.ConfigApplyMs > 0 {
		a.config = min(a.config, b.ConfigApplyMs-applySlackMs)
	}
	if b.DrainMs > 0 {
		// A leaving upstream also says so in its answers, so its entry may come
		// a little later than it must be left.
		a.upstreams = min(a.upstreams, max(b.DrainMs-applySlackMs, upstreamWaitMs+readSlackMs))
	}
	return a
}
