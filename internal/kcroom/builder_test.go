package kcroom_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/internal/kcspeed"
)

// Guards against room that is overestimated or negative, whatever upstreams claim.
func TestRoomIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b kcroom.Builder
		meanTokens := float64(rapid.IntRange(0, 20_000).Draw(t, "meanTokens"))
		for range rapid.IntRange(0, 30).Draw(t, "upstreams") {
			b.Add(kcroom.Upstream{
				Slots: rapid.IntRange(0, 64).Draw(t, "slots"), Load: rapid.IntRange(-1, 1<<30).Draw(t, "load"),
				Fresh: rapid.Bool().Draw(t, "fresh"), QueueLimit: rapid.IntRange(0, 1<<20).Draw(t, "queue"),
				PrefillMs: float64(rapid.IntRange(0, 9999).Draw(t, "prefill")), FreeTokens: rapid.IntRange(0, 1<<20).Draw(t, "tokens"),
				Unheard: float64(rapid.IntRange(0, 100).Draw(t, "unheard")) / 100, AgeMs: 100,
			}, meanTokens)
		}
		r, use := b.Room(3000, float64(rapid.IntRange(0, 100).Draw(t, "use"))/100)
		if r.Free < 0 || r.Free > r.Slots || r.Queueable < 0 || r.Busy < 0 || r.WaitMs < 0 || math.IsNaN(r.WaitMs+r.PrefillMs) ||
			use < 0 || use > 1 || r.Free > 0 && r.WaitMs > 0 {
			t.Fatalf("%+v, use %v", r, use)
		}
	})
}

// Guards against a sum that is wrong, and against one upstream with a false load that
// outweighs the others.
func TestRoomAddsUp(t *testing.T) {
	add := func(loads ...int) (b kcroom.Builder) {
		for _, load := range loads {
			b.Add(kcroom.Upstream{Slots: 8, Load: load, Fresh: true, QueueLimit: 4, PrefillMs: float64(100 * load)}, 0)
		}
		return b
	}
	b := add(3, 8, 10)
	want := kcroom.Room{Upstreams: 3, Slots: 24, Busy: 21, Free: 5, Queueable: 10, HoldMs: 1000, PrefillMs: 700}
	if r, _ := b.Room(1000, 0); r != want {
		t.Errorf("%+v, want %+v", r, want)
	}
	b = add(8, 9, 1<<29)
	if r, _ := b.Room(1000, 0); r.Busy != 17+64 || r.Free != 0 || r.WaitMs < 2000 || r.WaitMs > 2500 {
		t.Errorf("%+v", r)
	}
}

// Guards against an instance that is cut off from all peers and takes upstreams for
// idle because it knows of its own requests only.
func TestRoomWithoutPeers(t *testing.T) {
	for _, c := range []struct {
		name        string
		unheard     float64
		told        int
		lastUse     float64
		least, most int
	}{
		{"all peers heard", 0, 2, 0, 146, 146},
		{"half of the peers heard", 0.5, 2, 0, 80, 90},
		{"cut off, two upstreams have told that they are busy", 1, 2, 0, 18, 22},
		{"cut off, none has told", 1, 0, 0.9, 14, 18},
	} {
		var b kcroom.Builder
		for i := range 20 {
			u := kcroom.Upstream{Slots: 8, Unheard: c.unheard}
			if i < c.told {
				u.Fresh, u.Load = true, 7
			}
			b.Add(u, 0)
		}
		if r, _ := b.Room(1000, c.lastUse); r.Free < c.least || r.Free > c.most {
			t.Errorf("%s: %d free slots, want %d to %d", c.name, r.Free, c.least, c.most)
		}
	}
}

// Guards against a queue limit that follows other responses than the rejection.
func TestQueueLimitFollowsRejections(t *testing.T) {
	var q kcroom.Queue
	var u kcspeed.Upstream
	if q.Limit(6) != 6 {
		t.Errorf("limit %d before anything is known, want the slots", q.Limit(6))
	}
	q.Record(20)
	if q.Limit(6) != 20 {
		t.Errorf("limit %d, want the 20 that wait without a rejection", q.Limit(6))
	}
	u.Record(1000, kcspeed.Load{Running: 6, Waiting: 24, Slots: 6}, 0)
	q.RecordRejection(1100, &u)
	if q.Limit(6) != 20 {
		t.Errorf("limit %d after a rejection that told no load, want 20", q.Limit(6))
	}
	q.RecordRejection(1000, &u)
	if q.Limit(6) != 24 {
		t.Errorf("limit %d, want 24", q.Limit(6))
	}
}

// Guards against memory that is counted twice or forgotten when reports are replaced
// or tell no tokens.
func TestMemoryOfPeers(t *testing.T) {
	m := kcroom.Memory{Own: 1000}
	m.AddPeer(1, 2, 24_000)
	m.AddPeer(1, 3, 0)
	// One own request, two and three of peers, and one of which nobody has told.
	if got := m.Used(1, 7, 500); got != 1000+24_000+4*500 {
		t.Errorf("%d tokens in use, want 27,000", got)
	}
	m.AddPeer(-1, 2, 24_000)
	m.AddPeer(-1, 3, 0)
	if got := m.Used(1, 1, 500); got != 1000 {
		t.Errorf("%d tokens in use, want the 1,000 of this instance", got)
	}
	if kcroom.Fits(80_000, 10_001, 100_000) || !kcroom.Fits(80_000, 10_000, 100_000) {
		t.Error("the margin of a tenth is not kept")
	}
}
