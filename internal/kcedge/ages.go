package kcedge

import (
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxPeerAgeMs is the age from which data of a peer is never accepted. It is
	// below the time after which an instance counts as in touch with the store
	// again, 4 s in the known deployments, by the duration of a call of the
	// slowest store.
	maxPeerAgeMs = 3200 * kcclock.Millisecond
	// applyMarginMs is the time for such a call, 0.35 s, and for detecting that
	// the data of the peer is too old.
	applyMarginMs = 500 * kcclock.Millisecond
	// revokeMarginMs is applyMarginMs plus the margin at which keys are too old
	// to be accepted, and plus the long poll at a peer.
	revokeMarginMs = 1800 * kcclock.Millisecond
)

// peerMaxAges holds, by topic, the age from which data of the instance that
// reads the store for others is not accepted. That instance may lose the store
// without noticing; a change must reach the others in time nevertheless.
type peerMaxAges struct{ config, upstreams, progress kcclock.Millis }

func newPeerMaxAges(b kctable.Bounds) peerMaxAges {
	a := peerMaxAges{config: maxPeerAgeMs, upstreams: maxPeerAgeMs, progress: maxPeerAgeMs}
	if b.KeyRevokeMs > 0 {
		a.config = min(a.config, b.KeyRevokeMs-revokeMarginMs)
	}
	if b.ConfigApplyMs > 0 {
		a.config = min(a.config, b.ConfigApplyMs-applyMarginMs)
	}
	if b.EvacuateMs > 0 {
		a.config = min(a.config, b.EvacuateMs-applyMarginMs)
	}
	if b.DrainMs > 0 {
		// A draining upstream also says so in its answers, so its entry may arrive
		// a little later than DrainMs.
		a.upstreams = min(a.upstreams, max(b.DrainMs-applyMarginMs, upstreamsLongPollMs+longPollSlackMs))
	}
	return a
}
