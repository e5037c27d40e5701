package kcgate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// unweighedRule is the choice as it was before prefix caches were weighed. It
// computes the choice from the state of l.
type unweighedRule struct {
	l    *Upstreams
	sent map[string]kcclock.Millis
}

func (r *unweighedRule) prefillMs(p kcprefix.Prompt, u *upstream, home bool) float64 {
	known := 0
	for i, part := range p.Parts {
		shared := i < len(p.Parts)-1
		if at, ok := r.sent[p.Model+"/"+part.ID+"/"+u.ID]; (!home || !shared) && (!ok || r.l.clock.Now()-at >= 10_000) {
			break
		}
		known += part.Tokens
	}
	return p.MsPerToken * float64(max(p.Tokens-known, 0))
}

func (r *unweighedRule) home(w *pickCriteria, now kcclock.Millis) *upstream {
	var best *upstream
	var maxHash uint64
	all := r.l.index(w.service)
	for _, list := range all[:inOtherRegion] {
		for _, u := range list {
			h := kcset.Mix(w.prompt.Affinity ^ u.idHash)
			if w.prompt.Affinity != 0 && (best == nil || h > maxHash) && r.l.accepts(w, u, now) {
				best, maxHash = u, h
			}
		}
	}
	return best
}

// choose returns the choice of pick with the same random numbers. Reports that have
// expired are removed, as in pick.
func (r *unweighedRule) choose(w pickCriteria, intN func(int) int) *upstream {
	l, now := r.l, r.l.clock.Now()
	l.expirePeerLoads(now)
	home := r.home(&w, now)
	var list []*upstream
	if home != nil {
		list = append(list, home)
	}
	share := 1.0
	if unseen := l.unseenPicks(w.service, now); unseen > maxUnseenPicks {
		share = maxUnseenPicks / unseen
	}
	for _, all := range l.index(w.service) {
		wanted, order := max(int(math.Ceil(share*float64(len(all)))), minSample), slices.Clone(all)
		for i := 0; i < len(order) && wanted > 0; i++ {
			k := i + intN(len(order)-i)
			order[i], order[k] = order[k], order[i]
			if u := order[i]; l.accepts(&w, u, now) {
				wanted--
				if u != home {
					list = append(list, u)
				}
			}
		}
	}
	var workers []kcroute.UpstreamWork
	for _, u := range list {
		workers = append(workers, kcroute.UpstreamWork{
			Slots: u.Slots, Running: u.estimatedLoad(now), QueuedMs: u.pendingWorkMs + u.peersWorkMs,
			RequestMs: r.prefillMs(w.prompt, u, u == home), DistanceMs: distanceCostMs[l.distance(u)], SlotHoldMs: w.holdMs,
			SlowdownPerRequestMs: perRequestCostMs,
		})
	}
	best := kcroute.ChooseFastestUpstream(workers)
	if best < 0 {
		return nil
	}
	u := list[best]
	for _, part := range w.prompt.Parts {
		r.sent[w.prompt.Model+"/"+part.ID+"/"+u.ID] = now
	}
	return u
}

// Guards against other choices in a deployment that does not expect overload and
// whose upstreams name no speed: they must be as before for random loads.
func TestChoiceWithoutWeighingIsAsBefore(t *testing.T) {
	for seed := range uint64(20) {
		rnd, clock := rand.New(rand.NewPCG(seed, 3)), kcclock.NewManual(1_000_000)
		l := NewUpstreams(clock, "z0", map[string]string{"z0": "r0", "z1": "r0", "z2": "r1"})
		rule := &unweighedRule{l, map[string]kcclock.Millis{}}
		up := func(i int) kctable.Upstream {
			return kctable.Upstream{
				ID: itoa(i), Service: "s", Zone: fmt.Sprint("z", i%3), Version: "v", Slots: 4, StartedAtMs: int64(clock.Now() / 5000),
			}
		}
		n := 4 + rnd.IntN(60)
		for i := range n {
			l.Upsert(up(i))
		}
		l.Replace(slices.Collect(func(yield func(kctable.Upstream) bool) {
			for i := 0; i < n && yield(up(i)); i++ {
			}
		}), 0)
		var used []*pickedUpstream
		for step := range 2000 {
			clock.Advance(kcclock.Millis(rnd.IntN(20)))
			parts := []PromptPart{{ID: "a", Tokens: 500}, {ID: itoa(rnd.IntN(9)), Tokens: 4000}, {ID: itoa(rnd.IntN(50)), Tokens: 900}}
			w := pickCriteria{
				service: "s", allowsVersion: anyVersion, holdMs: 500, tried: kcset.New(itoa(rnd.IntN(n))),
				prompt: kcprefix.NewPrompt("m", parts[rnd.IntN(3):], 5400, 0.01),
			}
			choice := rnd.Uint64()
			want := rule.choose(w, rand.New(rand.NewPCG(choice, 1)).IntN)
			l.intN = rand.New(rand.NewPCG(choice, 1)).IntN
			got, ok := l.pick(w)
			if !ok && want == nil {
				continue
			}
			if !ok || got.u != want || got.held.Outcome != kcprefix.NotWeighed {
				t.Fatalf("seed %d, step %d: chose %+v, want %+v", seed, step, got, want)
			}
			used = append(used, got)
			if i := rnd.IntN(len(used)); rnd.IntN(3) > 0 {
				l.markAnswerStarted(used[i])
				l.release(used[i], outcome(rnd.IntN(4)))
				used = slices.Delete(used, i, i+1)
			}
			if rnd.IntN(5) == 0 {
				loads := []kcload.UpstreamLoad{{Upstream: itoa(rnd.IntN(n)), RunningRequests: rnd.IntN(4), PendingWorkMs: rnd.IntN(90)}}
				l.SetPeerLoad(kcload.Message{Instance: itoa(rnd.IntN(30)), Seq: uint64(step), Loads: loads})
			}
			if rnd.IntN(50) == 0 {
				l.Upsert(up(rnd.IntN(n)))
			}
		}
	}
}
