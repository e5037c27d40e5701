package kcedge

import (
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcgate"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against an order that misses its deadline because the leader group is
// rebalanced at its end: instances that joined at that moment left the order
// without a leader for two seconds.
func TestGroupMembersFinishLateOrders(t *testing.T) {
	order := func(opened bool, elapsed kcclock.Millis) []kcgate.ActiveRollout {
		return []kcgate.ActiveRollout{{
			RolloutOrder: kctable.RolloutOrder{TimeLimitMs: 24_000}, ElapsedMs: elapsed, StatePublished: true,
			Progress: kctable.RolloutProgress{TargetServing: opened},
		}}
	}
	for _, c := range []struct {
		judge, joined, opened bool
		elapsed               kcclock.Millis
		want                  int
	}{
		{judge: true, joined: true, opened: true, elapsed: 1000, want: 1},
		{judge: false, joined: true, opened: true, elapsed: 1000, want: 0},
		{judge: false, joined: true, opened: true, elapsed: 22_000, want: 0},
		{judge: false, joined: true, opened: true, elapsed: 23_000, want: 1},
		{judge: false, joined: false, opened: true, elapsed: 23_000, want: 0},
		{judge: false, joined: true, opened: false, elapsed: 1500, want: 0},
		{judge: false, joined: true, opened: false, elapsed: 2000, want: 1},
		{judge: false, joined: false, opened: false, elapsed: 2000, want: 0},
	} {
		k := &rolloutController{leader: c.judge, joined: c.joined}
		if got := len(k.dueOrders(order(c.opened, c.elapsed))); got != c.want {
			t.Errorf("%+v: %d orders", c, got)
		}
	}
}
