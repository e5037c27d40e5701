package kcgate

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against choices that change in a deployment without cold rates, evacuations
// and region lists. The hash is that of the choices of commit ea73192, before any of
// them was known.
func TestChoicesWithoutNewSettingsAreUnchanged(t *testing.T) {
	clock := kcclock.NewManual(1_000_000)
	rnd := rand.New(rand.NewPCG(1, 2))
	l := NewUpstreams(clock, "z0", map[string]string{"z0": "r0", "z1": "r0", "z2": "r1"})
	l.instance, l.intN = "own", rnd.IntN
	l.SetPeerZones(map[string]string{"p0": "z0", "p1": "z1"})
	hash, outcomes := fnv.New64a(), []outcome{outcomeGood, outcomeGood, outcomeGood, outcomeNeutral, outcomeFull, outcomeFailed}
	picked := 0
	for i := range 3000 {
		if i%50 == 0 {
			l.Upsert(kctable.Upstream{
				ID: fmt.Sprint("e", i/50%24), Service: "s", Zone: fmt.Sprint("z", i/50%3), Version: "v", Slots: 4,
				StartedAtMs: int64(1 + i/2000),
			})
			l.SetPeerLoad(kcload.Message{Instance: fmt.Sprint("p", i/50%2), Seq: uint64(i + 1), Loads: []kcload.UpstreamLoad{
				{Upstream: fmt.Sprint("e", i/50%24), RunningRequests: i % 7, PendingWorkMs: i % 90},
			}})
		}
		w := pickCriteria{service: "s", allowsVersion: func(string) bool { return true }, holdMs: 100}
		if i%2 == 0 {
			w.prompt = kcprefix.Prompt{
				Tokens: 2000, MsPerToken: 0.01, Affinity: uint64(i%9) + 1,
				Parts: []PromptPart{{ID: "p", Tokens: 1000}, {ID: "q", Tokens: 1000}},
			}
		}
		if c, ok := l.pick(w); ok {
			picked++
			_, _ = fmt.Fprint(hash, c.ID, ",")
			if i%3 > 0 {
				l.release(c, outcomes[rnd.IntN(len(outcomes))])
			}
		}
		clock.Advance(kcclock.Millis(i % 11))
	}
	if got := fmt.Sprintf("%d %x", picked, hash.Sum64()); got != "3000 4d946355953d98e3" {
		t.Errorf("choices %s", got)
	}
}
