package kcgate

import (
	"fmt"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// BenchmarkPick measures one choice of a version and an upstream, with the baseline of a small
// deployment in the same run.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ upstreams, peers int }{{12, 8}, {160, 147}, {3200, 189}} {
		b.Run(fmt.Sprint(size.upstreams, "upstreams"), func(b *testing.B) {
			clock := kcclock.NewManual(1_000_000)
			zones := make(map[string]string)
			for z := range 5 {
				zones[fmt.Sprint("z", z)] = fmt.Sprint("r", z%2)
			}
			l := NewUpstreams(clock, "z0", zones)
			for i := range size.upstreams {
				l.Upsert(kctable.Upstream{
					ID: fmt.Sprint("e", i), Service: "s", Zone: fmt.Sprint("z", i%5), Version: "v", Slots: 32,
				})
			}
			for i := range size.peers {
				m := kcload.Message{Instance: fmt.Sprint("i", i), Seq: 1}
				for k := range 11 {
					m.Loads = append(m.Loads, kcload.UpstreamLoad{Upstream: fmt.Sprint("e", (i*7+k)%size.upstreams), RunningRequests: 1})
				}
				l.SetPeerLoad(m)
			}
			w := pickCriteria{
				service: "s", allowsVersion: anyVersion,
				prompt: prompt{
					tokens: 2000, msPerToken: 0.01, affinity: 7, parts: []PromptPart{{ID: "p", Tokens: 1000}, {ID: "q", Tokens: 1000}},
				},
			}
			clock.Advance(300)
			for b.Loop() {
				l.versions("s", nil)
				c, ok := l.pick(w)
				if !ok {
					b.Fatal("no upstream")
				}
				l.release(c, outcomeGood)
			}
		})
	}
}
