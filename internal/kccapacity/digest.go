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

// Quantities that determine the size of a digest and the cost of an exchange.
const (
	variableEvidenceWindows  = "windows of evidence"
	variableWorkspaceDemands = "workspace demands"
	variablePeers            = "peers"
)

// instanceCounts are the numbers of instances that are measured. The last one
// is the target.
var instanceCounts = []int{8, 32, 128, 380}

func workspaceName(n int) string { return fmt.Sprintf("workspace-%03d", n) }

func instanceName(n int) string { return fmt.Sprintf("entry-%03d", n) }

// digestFiller adds a given number of evidence windows and workspace demands to
// a digest.
type digestFiller struct{ evidenceWindows, workspaceDemands int }

// FillDigest adds the entries to d.
func (f digestFiller) FillDigest(d *kcpeer.Digest) {
	for n := range 5 {
		d.ZonesHeard = append(d.ZonesHeard, &kcpeer.ZoneHeard{Zone: zoneName(n), AgeMs: 900})
	}
	// Random counts, because equal entries compress better than real ones.
	rng := rand.New(rand.NewPCG(1, uint64(f.evidenceWindows+f.workspaceDemands)))
	randomCount := func(n int64) int64 { return n/2 + rng.Int64N(n/2) }
	for n := range f.evidenceWindows {
		d.Evidence = append(d.Evidence, &kcpeer.VersionEvidence{
			Version: versionName(n % targetVersionCount), Stratum: "default", Requests: randomCount(40_000), Errors: randomCount(100),
			Generated: randomCount(40_000), Slow: randomCount(400), Checked: randomCount(40_000), FailedCheck: randomCount(2000),
			RatedGood: randomCount(2000), RatedBad: randomCount(200),
		})
	}
	for n := range f.workspaceDemands {
		d.Demand = append(d.Demand, &kcpeer.WorkspaceDemand{
			Workspace: workspaceName(n % 10), Requests: randomCount(4000),
		})
	}
}

// ReadDigest ignores the digest.
func (digestFiller) ReadDigest(*kcpeer.Digest) {}

// measureDigest measures a digest exchange over TCP and the lookups in the peer
// list. The cost of an exchange is that of both sides together. This is what an
// instance spends per exchange that it starts if all instances start equally
// many and so answer as many as they start.
func measureDigest(ctx context.Context, r *Report) error {
	for _, n := range []int{0, 9, 72, 288} {
		if err := measureExchange(ctx, r, "digest.evidence", variableEvidenceWindows, n, digestFiller{evidenceWindows: n}); err != nil {
			return err
		}
	}
	for _, n := range []int{0, 10, 80, 320} {
		if err := measureExchange(ctx, r, "digest.demand", variableWorkspaceDemands, n, digestFiller{workspaceDemands: n}); err != nil {
			return err
		}
	}
	for _, n := range instanceCounts {
		measurePeerList(ctx, r, n)
	}
	return nil
}

func entryMember(n int) kcmember.Member {
	m := runnerMember(n)
	return kcmember.Member{ID: instanceName(n), Role: kcmember.RoleEntry, Addr: "127.0.0.1:9", Zone: m.Zone, Region: m.Region}
}

func newPeerNode(self kcmember.Member, members []kcmember.Member, part kcpeer.DigestHandler) *kcpeer.Node {
	return kcpeer.NewNode(kcpeer.Options{
		Self: self, Clock: kcclock.System{}, Members: func() []kcmember.Member { return members },
		Metrics: kcmetric.New(), Seed: 1, PeriodMs: kcclock.Second, TimeoutMs: 5 * kcclock.Second,
		Handlers: kcpeer.Handlers{Digests: []kcpeer.DigestHandler{part}},
	})
}

func measureExchange(ctx context.Context, r *Report, name, variable string, n int, f digestFiller) error {
	self, peer := entryMember(0), entryMember(5)
	w, stop, err := startCountingServer(ctx, newPeerNode(peer, nil, f).Handler())
	if err != nil {
		return err
	}
	defer stop()
	peer.Addr = w.addr
	node := newPeerNode(self, []kcmember.Member{self, peer}, f)
	node.RunRound(ctx)
	before, calls := w.totalBytes(), 0
	r.measurePacedCalls(name, variable, float64(n), 10, func() {
		node.RunRound(ctx)
		calls++
	})
	r.addPoint(name+".bytes", variable, UnitBytes, singlePoint(float64(n), (w.totalBytes()-before)/float64(calls)))
	d := &kcpeer.Digest{}
	f.FillDigest(d)
	r.addPoint(name+".body", variable, UnitBytes, singlePoint(float64(n), float64(proto.Size(d))))
	return nil
}

// measurePeerList measures listing the live peers, the first step of each
// exchange round, and finding the owner of a shard. The cost of an exchange does
// not depend on the number of peers.
func measurePeerList(_ context.Context, r *Report, n int) {
	members := make([]kcmember.Member, n)
	for i := range members {
		members[i] = entryMember(i)
	}
	node := newPeerNode(members[0], members, digestFiller{})
	r.measurePacedCalls("peers.live", variablePeers, float64(n), 10, func() { _ = node.LivePeers() })
	ids := node.LiveInstances()
	r.measureCalls("peers.owner", variablePeers, float64(n), 1000, func() { _ = kcset.Owner("claims-00", ids) })
}
