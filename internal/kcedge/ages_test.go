package kcedge

import (
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against instances that learn of a configuration too late because the
// one that reads for them lost the store without noticing, and against maximum
// ages so low that the data of a peer is never accepted and all instances read
// the store.
func TestPeerMaxAgesKeepBounds(t *testing.T) {
	// slowest is the longest announced duration of a call of the store.
	const slowest = 350 * kcclock.Millisecond
	for _, b := range []kctable.Bounds{
		{ConfigApplyMs: 2500, KeyRevokeMs: 5000, DrainMs: 2500},
		{ConfigApplyMs: 4000, KeyRevokeMs: 5000, DrainMs: 4000},
		{ConfigApplyMs: 4000, KeyRevokeMs: 5000, EvacuateMs: 2500, DrainMs: 4000},
	} {
		a := newPeerMaxAges(b)
		// At the time of the change, the last data of the peer may be as old as
		// accepted.
		if late := a.config + slowest; late > b.ConfigApplyMs || b.EvacuateMs > 0 && late > b.EvacuateMs {
			t.Errorf("%+v: a configuration comes %d ms after its change", b, late)
		}
		if a.config < configLongPollMs+slowest || a.upstreams < upstreamsLongPollMs+slowest ||
			a.progress < progressLongPollMs+slowest {
			t.Errorf("%+v: ages %+v are below those of a reader that waits at the store", b, a)
		}
	}
}
