package kcinstance_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// farStore is the log as an instance of one region sees it.
type farStore struct {
	kclog.Log
	cut     *atomic.Bool
	delayMs kcclock.Millis
}

func (s *farStore) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (kclog.Page, error) {
	<-kcclock.System{}.After(s.delayMs)
	if s.cut.Load() {
		return kclog.Page{}, kclog.ErrUnavailable
	}
	return s.Log.Read(ctx, stream, from, limit, wait)
}

// fleet runs nine instances in three availability zones of two regions. The
// store is in the first region, 20 ms there and back from the second.
func fleet(b *testing.B) (*kcstandin.Platform, []*kcinstance.Instance, *atomic.Bool) {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	p, err := kcstandin.StartPlatform(ctx, kcstandin.PlatformOptions{Clock: kcclock.System{}})
	if err != nil {
		b.Fatal(err)
	}
	cut := new(atomic.Bool)
	var out []*kcinstance.Instance
	ended := make(chan error, 9)
	for n := range 9 {
		set := kcsettings.Defaults()
		set.Instance = kcsettings.Instance{
			ID: fmt.Sprintf("entry-%d", n), Zone: fmt.Sprintf("zone-%d", n/3), Region: fmt.Sprintf("region-%d", n/6),
			Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0",
		}
		set.SessionKeys, set.Rules = kcsettings.DemoSessionKeys(), kcsettings.DemoRules()
		store := &farStore{Log: p.Log, cut: new(atomic.Bool)}
		if n >= 6 {
			store.cut, store.delayMs = cut, 20
		}
		inst, err := kcinstance.New(kcinstance.Options{
			Settings: set, Clock: kcclock.System{}, Log: slog.New(slog.DiscardHandler), Store: store, Lister: p.List,
		})
		if err != nil {
			b.Fatal(err)
		}
		out = append(out, inst)
		ready := make(chan struct{})
		go func() { ended <- inst.Run(ctx, func(*kcinstance.Instance) { close(ready) }) }()
		<-ready
		p.List.Put(kcmember.Member{
			ID: set.Instance.ID, Role: kcmember.RoleEntry, Addr: inst.PeerAddr, Zone: set.Instance.Zone, Region: set.Instance.Region,
		})
	}
	b.Cleanup(func() {
		p.Log.SetFaults(kcstandin.LogFaults{})
		cancel()
		for range out {
			<-ended
		}
		p.Close()
	})
	return p, out, cut
}

// burst appends n changes of n keys at 300 a second and returns the end of the
// stream and the time at which the last append was sent. The revisions are those of the burst before.
func burst(b *testing.B, p *kcstandin.Platform, revisions map[string]int64, n int) (int64, time.Time) {
	b.Helper()
	var last int64
	var sent time.Time
	for i := range n {
		var err error
		key := fmt.Sprintf("versions/b@%d", i)
		rev, ok := revisions[key]
		if !ok {
			rev = kcconfig.NoRevision
		}
		rec := kclog.Encode(fmt.Sprintf("%s-%d", key, rev), kcconfig.KindChange, kcconfig.Change{
			Set: map[string]kcconfig.KeyUpdate{key: {Revision: rev, Value: []byte(`{"state":"active","quality":{"default":0.5}}`)}},
		})
		sent = time.Now()
		if last, err = p.Log.Append(b.Context(), kcconfig.Stream, []kclog.NewRecord{rec}); err != nil {
			b.Fatal(err)
		}
		revisions[key] = last
		if n > 1 && i%3 == 0 {
			<-kcclock.System{}.After(10)
		}
	}
	return last + 1, sent
}

// BenchmarkInForce measures the time from the start of the last append to the
// moment at which all nine instances apply the change. Figures stand in
// docs/notes/configuration.md.
func BenchmarkInForce(b *testing.B) {
	for _, c := range []struct {
		name    string
		delayMs kcclock.Millis
		cut     bool
		changes int
	}{
		{"normal", 0, false, 1},
		{"storeSlow500ms", 500, false, 1},
		{"storeSlow1500ms", 1500, false, 1},
		{"regionCut", 0, true, 1},
		{"burst500", 0, false, 500},
		{"burst500RegionCut", 0, true, 500},
	} {
		b.Run(c.name, func(b *testing.B) {
			p, instances, cut := fleet(b)
			cut.Store(c.cut)
			p.Log.SetFaults(kcstandin.LogFaults{DelayMs: c.delayMs})
			<-kcclock.System{}.After(3 * kcclock.Second) // peers have heard of each other
			var worst, total time.Duration
			revisions := make(map[string]int64)
			for b.Loop() {
				end, started := burst(b, p, revisions, c.changes)
				for _, inst := range instances {
					for {
						changed := inst.Config().Changed()
						if next, _ := inst.Config().Position(); next >= end {
							break
						}
						<-changed
					}
				}
				took := time.Since(started)
				worst, total = max(worst, took), total+took
				<-kcclock.System{}.After(137) // out of step with the rounds of a second
			}
			b.ReportMetric(worst.Seconds()*1000, "ms-worst")
			b.ReportMetric(total.Seconds()*1000/float64(b.N), "ms-mean")
			b.ReportMetric(0, "ns/op")
		})
	}
}
