package kcprefix

import (
	"slices"
	"strconv"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// region has the upstreams and instances of half of a large deployment.
var region = Service{Instances: 40, Upstreams: 56, MemoryTokens: 200_000}

// requestWith returns a prompt with the shared part group and an own part.
func requestWith(group string) Prompt {
	return NewPrompt("m", []Part{{"all", 500}, {group, 5000}, {"own" + group, 4500}}, 10_000, 0.01)
}

// place places a request of the group at an upstream and returns the number of
// holders and the cost.
func place(b *Beliefs, group string, c Candidate, s Service, now kcclock.Millis) (holders int, cost Cost, p Placement) {
	b.Begin(requestWith(group))
	holders = b.Holders(s, now)
	cost = b.Weigh(c, now)
	return holders, cost, b.Sent(c, now)
}

// Guards against belief in parts that a restart, time or running requests have
// evicted.
func TestBeliefEnds(t *testing.T) {
	other := Candidate{Hash: 7, StartedAtMs: 1, Rank: -1}
	restarted, crowded, homeAgain := other, other, Candidate{Hash: 9, StartedAtMs: 2, RestartedAt: 1_000_900}
	restarted.StartedAtMs, restarted.RestartedAt, crowded.Running = 2, 1_000_900, 20
	for _, c := range []struct {
		name  string
		at    Candidate
		after kcclock.Millis
		held  bool
	}{
		{"sent before", other, 1000, true},
		{"restarted", restarted, 1000, false},
		{"sent long ago", other, 100_000, false},
		{"memory in use", crowded, 1000, false},
		{"home", Candidate{Hash: 9}, 1000, true},
		{"restarted home", homeAgain, 1000, false},
	} {
		b := &Beliefs{}
		now := kcclock.Millis(1_000_000)
		place(b, "g", other, region, now)
		_, cost, p := place(b, "g", c.at, region, now+c.after)
		if held := p.Outcome == Expected; held != c.held || held != (cost.RequestMs < 60) {
			t.Errorf("%s: %+v, %+v, want held %v", c.name, p, cost, c.held)
		}
	}
}

// Guards against more copies than a part needs, against a single holder for more
// requests than it has time for, and against holders of a part that all upstreams
// hold anyway. Without reports of peers there is one holder.
func TestHoldersFollowTheRate(t *testing.T) {
	alone, large, many := region, region, region
	alone.Instances, large.MemoryTokens, many.Instances = 1, 2_000_000, 400
	for _, c := range []struct {
		name        string
		service     Service
		everyMs     kcclock.Millis // between requests of this instance
		least, most int
	}{
		{"rare", many, 20_000, 1, 1},
		{"hot", region, 3000, 2, 6},
		{"hotter", region, 800, 7, MaxHolders},
		{"everywhere", large, 80, 0, 0},
		{"without reports of peers", alone, 800, 1, 1},
	} {
		b := &Beliefs{}
		holders := 0
		for at := kcclock.Millis(1_000_000); at < 1_120_000; at += c.everyMs {
			holders, _, _ = place(b, "g", Candidate{Hash: 9}, c.service, at)
			// Other requests keep the memory busy.
			place(b, "other"+strconv.Itoa(int(at)), Candidate{Hash: 8, Rank: -1}, c.service, at)
		}
		if holders < c.least || holders > c.most {
			t.Errorf("%s: %d holders, want %d to %d", c.name, holders, c.least, c.most)
		}
	}
}

// Guards against use of an upstream that is slow or full, and against reading a new
// part elsewhere than at its home if both are idle.
func TestWeigh(t *testing.T) {
	b := &Beliefs{}
	for at := range kcclock.Millis(100) {
		place(b, "warm", Candidate{Hash: 8, Rank: -1}, region, 1_000_000+at*100)
	}
	const now = 1_010_000
	total := func(c Candidate) float64 {
		b.Begin(requestWith("new"))
		b.Holders(region, now)
		cost := b.Weigh(c, now)
		return cost.QueuedMs + cost.RequestMs + cost.OthersMs
	}
	idle := Candidate{Hash: 5, Rank: -1}
	slow, full, busyHome, newHome := idle, idle, Candidate{Hash: 9, QueuedMs: 200}, Candidate{Hash: 9, RestartedAt: now}
	slow.Slowdown, full.Running = 2.5, 20
	costs := []float64{total(Candidate{Hash: 9}), total(newHome), total(idle), total(busyHome), total(full)}
	if !slices.IsSorted(costs) || total(slow) < 2*total(idle) || costs[1] == costs[2] {
		t.Errorf("costs of home, new home, idle, busy home and full are %.1f, of slow %.1f; want them in this order",
			costs, total(slow))
	}
}

// Guards against a service whose load counts as that of another one.
func TestServicesAreApart(t *testing.T) {
	b, busy := &Beliefs{}, region
	busy.Name = "busy"
	for at := range kcclock.Millis(100) {
		place(b, "g", Candidate{Hash: 8, Rank: -1}, busy, 1_000_000+at*10)
	}
	c := Candidate{Hash: 7, Rank: -1, QueuedMs: 100}
	if _, cost, _ := place(b, "new", c, region, 1_001_000); cost.OthersMs != 0 {
		t.Errorf("requests of another service are delayed: %+v", cost)
	}
	c.Hash = 6
	if _, cost, _ := place(b, "new", c, busy, 1_001_000); cost.OthersMs == 0 {
		t.Errorf("no request is delayed: %+v", cost)
	}
}

// Guards against instances that disagree on the holders of a part because they read
// the upstreams in another order or do not accept one of them.
func TestRankingAgrees(t *testing.T) {
	members := make([]int, 100)
	hashes := make([]uint64, len(members))
	for i := range members {
		members[i], hashes[i] = i, kcset.Mix(uint64(i))
	}
	rank := func(size, without int, hashes []uint64, members []int) []int {
		var r Ranking[int]
		r.Reset(12345, size)
		r.Add(members[:30], hashes[:30], func(i int) bool { return i != without })
		r.Add(members[30:], hashes[30:], func(i int) bool { return i != without })
		return r.Members()
	}
	all := rank(MaxHolders, -1, hashes, members)
	first, second := all[0], rank(MaxHolders, all[0], hashes, members)
	slices.Reverse(members)
	slices.Reverse(hashes)
	if got := rank(3, -1, hashes, members); !slices.Equal(got, all[:3]) || !slices.Equal(second[:7], all[1:]) {
		t.Errorf("holders are %v, %v without %d and %v in another order", all, second, first, got)
	}
}

// Guards against tables that grow with the number of parts.
func TestBeliefsAreBounded(t *testing.T) {
	b := &Beliefs{}
	for i := range 5 * maxEntries {
		place(b, strconv.Itoa(i), Candidate{Hash: 9}, region, 1_000_000)
	}
	for _, n := range []int{len(b.sentTo.current), len(b.sentTo.previous), len(b.seen.current), len(b.seen.previous)} {
		if n > maxEntries {
			t.Errorf("a generation holds %d entries, want at most %d", n, maxEntries)
		}
	}
}
