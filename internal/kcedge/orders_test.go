package kcedge

import (
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcgate"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against an order that misses its deadline because the group of judges
// is dealt anew at its end: instances that joined at that moment left it without
// a judge for two seconds.
func TestOthersFinishLateOrders(t *testing.T) {
	order := func(elapsed kcclock.Millis) []kcgate.OpenOrder {
		return []kcgate.OpenOrder{{Order: kctable.Order{SpanMs: 24_000}, ElapsedMs: elapsed, Known: true}}
	}
	for _, c := range []struct {
		judge, joined bool
		elapsed       kcclock.Millis
		want          int
	}{
		{judge: true, joined: true, elapsed: 1000, want: 1},
		{judge: false, joined: true, elapsed: 1000, want: 0},
		{judge: false, joined: true, elapsed: 22_000, want: 0},
		{judge: false, joined: true, elapsed: 23_000, want: 1},
		{judge: false, joined: false, elapsed: 23_000, want: 0},
	} {
		k := &orderKeeper{judge: c.judge, joined: c.joined}
		if got := len(k.due(order(c.elapsed))); got != c.want {
			t.Errorf("%+v: %d orders", c, got)
		}
	}
}
