package kcgate

import (
	"fmt"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against an upstream that gets more tokens than it has memory while another
// has room, against requests that are not sent because all are full, and against
// instances that do not know of the memory that others use.
func TestMemoryOfUpstreamsIsKept(t *testing.T) {
	clock := kcclock.NewManual(1_000_000)
	newInstance := func(name string) *Upstreams {
		l := NewUpstreams(clock, "z", nil)
		l.instance, l.sharesFigures = name, true
		l.Replace(newUpstreamList(4), 0)
		l.setCapacity(map[string]int{"s": 100_000})
		return l
	}
	instances := []*Upstreams{newInstance("a"), newInstance("b")}
	used := map[string]int{}
	w := pickCriteria{service: "s", allowsVersion: anyVersion, tokens: 12_000, prompt: kcprefix.Prompt{
		Tokens: 12_000, MsPerToken: 0.01,
	}}
	for n := range 29 {
		from := instances[n%2]
		c, ok := from.pick(w)
		if !ok {
			t.Fatal("no upstream")
		}
		if used[c.ID] += w.tokens; c.overMemory != (n >= 28) || used[c.ID] > 90_000 && n < 28 {
			t.Fatalf("request %d: %s holds %d tokens, over memory %v", n, c.ID, used[c.ID], c.overMemory)
		}
		m, err := kcload.Decode(kcload.Encode(kcload.Message{Instance: from.instance, Seq: uint64(n) + 1, Loads: from.LoadShares()}))
		if err != nil {
			t.Fatal(err)
		}
		instances[1-n%2].SetPeerLoad(m)
	}
	if r := instances[0].Room("s", nil); r.Free != 0 || r.Upstreams != 4 {
		t.Errorf("%+v, want no room: the memory is full", r)
	}
	clock.Advance(2000) // the reports expire
	if r := instances[0].Room("s", nil); r.Free == 0 || r.Busy != 15 {
		t.Errorf("%+v, want the requests of the own instance", r)
	}
}

// Guards against room that counts upstreams which take no requests, and against a scan
// of all upstreams for each request.
func TestRoomIsKeptForMilliseconds(t *testing.T) {
	clock := kcclock.NewManual(1_000_000)
	l := NewUpstreams(clock, "z", nil)
	list := newUpstreamList(3)
	list[0].Draining = true
	l.Replace(list, 0)
	scans := 0
	usable := func(u kctable.Upstream) bool {
		scans++
		return u.ID != "z1"
	}
	for range 100 {
		if r := l.Room("s", usable); r.Upstreams != 1 || r.Slots != 8 || r.Free != 8 {
			t.Fatalf("%+v, want one upstream", r)
		}
	}
	clock.Advance(10)
	l.Room("s", usable)
	if scans != 4 {
		t.Errorf("%d upstreams scanned, want 2 twice", scans)
	}
}

// BenchmarkRoom measures one computation of the room.
func BenchmarkRoom(b *testing.B) {
	for _, n := range []int{90, 3200} {
		b.Run(fmt.Sprint(n, "upstreams"), func(b *testing.B) {
			clock := kcclock.NewManual(1_000_000)
			l := NewUpstreams(clock, "z", nil)
			l.Replace(newUpstreamList(n), 0)
			for b.Loop() {
				clock.Advance(100)
				l.Room("s", nil)
			}
		})
	}
}
