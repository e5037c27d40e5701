package kcedge

import (
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against instances that learn of a configuration too late because the
// one that reads for them was cut off from the store unseen, and against ones
// that all read the store because that one is never trusted.
func TestPeerAgesKeepTheBounds(t *testing.T) {
	// slowest is the longest announced time of a call of the store.
	const slowest = 350 * kcclock.Millisecond
	for _, b := range []kctable.Bounds{
		{ConfigApplyMs: 2500, KeyRevokeMs: 5000, DrainMs: 2500},
		{ConfigApplyMs: 4000, KeyRevokeMs: 5000, DrainMs: 4000},
	} {
		a := newPeerAges(b)
		// The read is as old as the last word at the time of the change.
		if late := a.config + slowest; late > b.ConfigApplyMs {
			t.Errorf("%+v: a configuration comes %d ms after its change", b, late)
		}
		if a.config < configWaitMs+slowest || a.upstreams < upstreamWaitMs+slowest || a.progress < progressWaitMs+slowest {
			t.Errorf("%+v: ages %+v are below those of a reader that waits at the store", b, a)
		}
	}
}
