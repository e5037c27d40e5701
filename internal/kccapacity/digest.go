package kccapacity

import (
	"context"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Quantities that a digest grows with.
const (
	ofEvidence = "windows of evidence"
	ofDemand   = "workspace demands"
	ofPeers    = "peers"
)

// peerSizes are numbers of instances; the last one is the target.
var peerSizes = []int{8, 32, 128, 380}

func workspaceName(n int) string { return fmt.Sprintf("workspace-%03d", n) }

func instanceName(n int) string { return fmt.Sprintf("entry-%03d", n) }

// filler fills digests with some windows of evidence and demand.
type filler struct{ evidence, demand int }

// FillDigest adds the windows.
func (f filler) FillDigest(d *kcpeer.Digest) {
	for n := range 5 {
		d.ZonesHeard = append(d.ZonesHeard, &kcpeer.ZoneHeard{Zone: zoneName(n), AgeMs: 900})
	}
	// The counts differ, because equal entries would be compressed too well.
	rng := rand.New(rand.NewPCG(1, uint64(f.evidence+f.demand)))
	upTo := func(n int64) int64 { return n/2 + rng.Int64N(n/2) }
	for n := range f.evidence {
		d.Evidence = append(d.Evidence, &kcpeer.VersionEvidence{
			Version: versionName(n % versions), Stratum: "default", Requests: upTo(40_000), Errors: upTo(100),
			Generated: upTo(40_000), Slow: upTo(400), Checked: upTo(40_000), FailedCheck: upTo(2000),
			RatedGood: upTo(2000), RatedBad: upTo(200),
		})
	}
	for n := range f.demand {
		d.Demand = append(d.Demand, &kcpeer.WorkspaceDemand{
			Workspace: workspaceName(n % 10), Requests: upTo(4000),
		})
	}
}

// ReadDigest ignores the digest.
func (filler) ReadDigest(*kcpeer.Digest) {}

// measureDigest measures an exchange over TCP, both sides together, which is
// what an instance pays for each exchange that it starts when all start as
// many, and the choice of peers of a round.
func measureDigest(ctx context.Context, r *Report) error {
	for _, n := range []int{0, 9, 72, 288} {
		if err := measureExchange(ctx, r, "digest.evidence", ofEvidence, n, filler{evidence: n}); err != nil {
			return err
		}
	}
	for _, n := range []int{0, 10, 80, 320} {
		if err := measureExchange(ctx, r, "digest.demand", ofDemand, n, filler{demand: n}); err != nil {
			return err
		}
	}
	for _, n := range peerSizes {
		measureRound(ctx, r, n)
	}
	return nil
}

func member(n int) kcmember.Member {
	m := runner(n)
	return kcmember.Member{ID: instanceName(n), Role: kcmember.RoleEntry, Addr: "127.0.0.1:9", Zone: m.Zone, Region: m.Region}
}

func nodeOf(self kcmember.Member, members []kcmember.Member, part kcpeer.DigestHandler) *kcpeer.Node {
	return kcpeer.NewNode(kcpeer.Options{
		Self: self, Clock: kcclock.System{}, Members: func() []kcmember.Member { return members },
		Metrics: kcmetric.New(), Seed: 1, PeriodMs: kcclock.Second, TimeoutMs: 5 * kcclock.Second,
		Handlers: kcpeer.Handlers{Digests: []kcpeer.DigestHandler{part}},
	})
}

func measureExchange(ctx context.Context, r *Report, name, of string, n int, f filler) error {
	self, peer := member(0), member(5)
	w, stop, err := serve(ctx, nodeOf(peer, nil, f).Handler())
	if err != nil {
		return err
	}
	defer stop()
	peer.Addr = w.addr
	node := nodeOf(self, []kcmember.Member{self, peer}, f)
	node.RunRound(ctx)
	before, calls := w.bytes(), 0
	r.paced(name, of, float64(n), 10, func() {
		node.RunRound(ctx)
		calls++
	})
	r.add(name+".bytes", of, Bytes, one(float64(n), (w.bytes()-before)/float64(calls)))
	d := &kcpeer.Digest{}
	f.FillDigest(d)
	r.add(name+".body", of, Bytes, one(float64(n), float64(proto.Size(d))))
	return nil
}

// measureRound measures a look at all live peers, which a round begins with.
// The exchanges themselves do not depend on the number of peers.
func measureRound(_ context.Context, r *Report, n int) {
	members := make([]kcmember.Member, n)
	for i := range members {
		members[i] = member(i)
	}
	node := nodeOf(members[0], members, filler{})
	r.paced("peers.live", ofPeers, float64(n), 10, func() { _ = node.LivePeers() })
	ids := node.LiveInstances()
	r.cost("peers.owner", ofPeers, float64(n), 1000, func() { _ = kcset.Owner("claims-00", ids) })
}
