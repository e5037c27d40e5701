package kcroute

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

func testRules(versions int) *kcrules.Rules {
	r := &kcrules.Rules{Versions: make(map[string]kcrules.Version), Rollouts: map[string]kcrules.Rollout{
		"m1": {From: "m1@1", To: "m1@2", Stages: []float64{0.5, 1}},
	}}
	for i := range versions {
		r.Versions[fmt.Sprintf("m%d@%d", i/2, i%2+1)] = kcrules.Version{
			State: kcrules.Active, Quality: map[kcrules.Class]float64{kcrules.DefaultClass: 0.7 + 0.03*float64(i)},
			InputPrice: int64(i + 1), OutputPrice: int64(3 * (i + 1)), TokenMillis: float64(4 * (i + 1)),
		}
	}
	return r
}

func testRequest() Request {
	return Request{
		ID: "r", Model: "auto", Class: kcrules.DefaultClass, PromptTokens: 1000, OutputTokens: 400, Deadline: kcclock.Minute,
		Workspace: kcrules.Workspace{
			AllowedModels: []string{"m0", "m1", "m2", "m3", "m4"},
			QualityTarget: map[kcrules.Class]float64{kcrules.DefaultClass: 0.85}, MaxRolloutShare: 0.5,
		},
		Cascade: true, Explore: true,
	}
}

func liveWithoutWait(string) (kcclock.Millis, bool) { return 0, true }

// Guards against a choice of a version that the workspace does not allow, that
// is withdrawn or draining, or that is on the wrong side of a roll-out, for any
// request.
func TestChoosePlanObeysRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := testRules(9)
		for key, v := range r.Versions {
			v.State = rapid.SampledFrom([]kcrules.State{kcrules.Active, kcrules.Draining, kcrules.Withdrawn}).Draw(t, "state")
			r.Versions[key] = v
		}
		ro := r.Rollouts["m1"]
		ro.Stopped = rapid.Bool().Draw(t, "stopped")
		r.Rollouts["m1"] = ro
		req := testRequest()
		req.ID = rapid.String().Draw(t, "id")
		req.Workspace.AllowedModels = rapid.SliceOf(rapid.SampledFrom([]string{"m0", "m1", "m2@1", "m3"})).Draw(t, "allow")
		req.SessionVersion = rapid.SampledFrom([]string{"", "", "m1@1", "m2@1"}).Draw(t, "session")
		req.Model = rapid.SampledFrom([]string{"auto", "m1", "m1@2"}).Draw(t, "model")
		c := ChoosePlan(0, req, View{Catalog: NewCatalog(r), Wait: liveWithoutWait})
		for _, v := range []string{c.Plan.First, c.Plan.Second} {
			if v == "" {
				continue
			}
			state := r.Versions[v].State
			switch {
			case !req.Workspace.Allows(v):
				t.Fatalf("%s is not allowed", v)
			case state == kcrules.Withdrawn, state == kcrules.Draining && req.SessionVersion == "":
				t.Fatalf("%s is %s", v, state)
			case req.SessionVersion != "" && v != req.SessionVersion:
				t.Fatalf("the session of %s moved to %s", req.SessionVersion, v)
			case ro.Stopped && v == ro.To && req.SessionVersion == "":
				t.Fatalf("%s was stopped", v)
			}
		}
	})
}

// Guards against the refusal of a request whose deadline can still be met, and
// against the acceptance of one whose deadline cannot.
func TestChoosePlanUnderDeadline(t *testing.T) {
	view := View{Catalog: NewCatalog(testRules(9)), Wait: liveWithoutWait}
	req := testRequest()
	req.Deadline = 1
	c := ChoosePlan(0, req, view)
	if c.Version != "" || c.Code != kcapi.CodeDeadlineUnreachable || len(c.Candidates) != 9 {
		t.Errorf("deadline in 1 ms: version %q, code %q", c.Version, c.Code)
	}
	// The quickest version takes 1612 ms without the safety factors.
	req.Deadline = 1700
	if c := ChoosePlan(0, req, view); c.Version != "m0@1" {
		t.Errorf("deadline in 1.7 s: version %q, code %q; m0@1 can meet it", c.Version, c.Code)
	}
	req.Deadline = kcclock.Minute
	if c := ChoosePlan(0, req, view); c.Version == "" {
		t.Errorf("deadline in 1 min: %q", c.Code)
	}
	// A request waits for cheap capacity while its deadline allows it.
	wait := 20 * kcclock.Second
	view.Wait = func(v string) (kcclock.Millis, bool) {
		if v == "m2@2" {
			return wait, true
		}
		return 0, true
	}
	if c := ChoosePlan(0, req, view); c.Version != "m2@2" {
		t.Errorf("a patient request uses %s, want the cheapest sufficient m2@2", c.Version)
	}
	if c := ChoosePlan(0, req, view); c.ReserveMs < c.Candidates[8].RunMs {
		t.Errorf("reserve %d ms is too short for the slowest sufficient version, which takes %d ms", c.ReserveMs, c.Candidates[8].RunMs)
	}
	wait = 40 * kcclock.Second
	if c := ChoosePlan(0, req, view); c.Version != "m3@1" {
		t.Errorf("a request for 60 s uses %s with an expected wait of 40 s, which may be twice as long", c.Version)
	}
	wait = 20 * kcclock.Second
	req.Deadline = 30 * kcclock.Second
	if c := ChoosePlan(0, req, view); c.Version != "m3@1" {
		t.Errorf("an urgent request uses %s, want m3@1 that is free", c.Version)
	}
}

func testPool(n int) *Pool {
	upstreams := make([]Upstream, n)
	for i := range upstreams {
		upstreams[i] = Upstream{
			ID: fmt.Sprint("runner", i), Slots: 16, Zone: fmt.Sprint("zone", i%5), Region: fmt.Sprint("region", i%5/3),
		}
	}
	return NewPool(upstreams, 5*kcclock.Second)
}

// loadedPool returns a pool of random size and load. Other regions have less
// load, so least-loaded choices would prefer them.
func loadedPool(t *rapid.T) *Pool {
	p := testPool(rapid.IntRange(1, 30).Draw(t, "runners"))
	least := rapid.SampledFrom([]int{0, 12}).Draw(t, "least")
	for i := range p.Upstreams {
		p.Upstreams[i].Load = rapid.IntRange(least, 20).Draw(t, "load")
		if p.Upstreams[i].Region != "region0" {
			p.Upstreams[i].Load /= 8
		}
		p.Upstreams[i].Down = rapid.IntRange(0, 4).Draw(t, "down") == 0
	}
	p.RecomputeTotals()
	return p
}

// Guards against the choice of an upstream that is down or was tried, a prefix
// that overloads its upstream, and an upstream of another region while a near
// one is free.
func TestChooseUpstreamConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := loadedPool(t)
		x := NewPrefixIndex(100)
		x.Add(7, rapid.IntRange(0, 40).Draw(t, "holder"))
		pl := Placement{
			Prefixes: []uint64{1, 7}, Zone: "zone0", Region: "region0", AllowRemote: rapid.Bool().Draw(t, "remote"),
			Exclude: rapid.IntRange(-1, 3).Draw(t, "skip"),
		}
		i := ChooseUpstream(p, pl, x)
		if i < 0 {
			return
		}
		got := p.Upstreams[i]
		if got.Down || i == pl.Exclude {
			t.Fatalf("upstream %d is down or was tried", i)
		}
		near := false
		for j, r := range p.Upstreams {
			near = near || (j != pl.Exclude && !r.Down && r.Region == "region0" && r.Load < r.Slots)
		}
		if got.Region != "region0" && (!pl.AllowRemote || near) {
			t.Fatalf("upstream %d is in %s; remote allowed %v, near upstream free %v", i, got.Region, pl.AllowRemote, near)
		}
		if near && got.Load >= got.Slots {
			t.Fatalf("upstream %d is full while another one is free", i)
		}
	})
}

// Guards against prefixes that are not spread over the upstreams, and against
// prefixes that move although their upstream is still there when another one
// leaves.
func TestPrefixAffinityIsStable(t *testing.T) {
	p := testPool(20)
	place := func(key uint64) int {
		return ChooseUpstream(p, Placement{Prefixes: []uint64{key}, Zone: "zone0", Region: "region0", Exclude: -1}, nil)
	}
	before := make(map[uint64]int)
	for key := range uint64(500) {
		before[key] = place(key)
	}
	used := make(map[int]bool)
	for _, i := range before {
		used[i] = true
	}
	if len(used) != 4 {
		t.Fatalf("the prefixes use %d upstreams, want all 4 of the zone", len(used))
	}
	gone := before[0]
	p.Upstreams[gone].Down = true
	p.RecomputeTotals()
	for key, was := range before {
		if now := place(key); was != gone && now != was {
			t.Fatalf("prefix %d moved from %d to %d when %d left", key, was, now, gone)
		}
	}
}

// Guards against allocations in the placement of a request, in a pool of 3,200
// upstreams.
func TestChooseUpstreamDoesNotAllocate(t *testing.T) {
	p, x := testPool(3200), NewPrefixIndex(100)
	pl := Placement{Prefixes: []uint64{1, 2}, Zone: "zone0", Region: "region0", Exclude: -1}
	if n := testing.AllocsPerRun(100, func() { ChooseUpstream(p, pl, x) }); n != 0 {
		t.Errorf("%v allocations for one placement", n)
	}
}

// BenchmarkDecision measures the choice among 9 versions and the placement
// among the upstreams of one of them. 3,200 upstreams are spread over the
// versions.
func BenchmarkDecision(b *testing.B) {
	catalog := NewCatalog(testRules(9))
	pools := make(map[string]*Pool)
	for key := range catalog.Rules.Versions {
		pools[key] = testPool(3200 / 9)
	}
	x := NewPrefixIndex(1000)
	view := View{Catalog: catalog, Wait: func(v string) (kcclock.Millis, bool) { return pools[v].ExpectedWait(), pools[v].Live > 0 }}
	req := testRequest()
	pl := Placement{Prefixes: []uint64{1, 2}, Zone: "zone0", Region: "region0", Exclude: -1}
	b.ReportAllocs()
	for b.Loop() {
		c := ChoosePlan(0, req, view)
		ChooseUpstream(pools[c.Version], pl, x)
	}
}
