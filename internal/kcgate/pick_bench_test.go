package kcgate

import (
	"fmt"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// BenchmarkPick measures one choice of a version and an upstream, with the baseline of a small
// deployment in the same run.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct {
		upstreams, peers int
		overload         bool
	}{{12, 8, false}, {160, 147, false}, {3200, 189, false}, {160, 147, true}, {3200, 189, true}} {
		name := fmt.Sprint(size.upstreams, "upstreams")
		if size.overload {
			name += "Weighed"
		}
		b.Run(name, func(b *testing.B) {
			clock := kcclock.NewManual(1_000_000)
			zones := make(map[string]string)
			for z := range 5 {
				zones[fmt.Sprint("z", z)] = fmt.Sprint("r", z%2)
			}
			l := NewUpstreams(clock, "z0", zones)
			l.overload = size.overload
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
				prompt: kcprefix.Prompt{
					Tokens: 2000, MsPerToken: 0.01, Affinity: 7, Parts: []PromptPart{{ID: "p", Tokens: 1000}, {ID: "q", Tokens: 1000}},
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
