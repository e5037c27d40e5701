package kcgate

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// The load of a busy hour: several instances send prompts with a prefill time of
// one to several thousand milliseconds to engines that prefill one prompt at a
// time.
const (
	loadInstances         = 8
	loadEngines           = 12
	loadRequestsPerSecond = 90.0
	loadDurationMs        = 40_000 * kcclock.Millisecond
	smallModelMsPerToken  = 0.003
	largeModelMsPerToken  = 0.03
	maxStreamMs           = 5000
)

// prefillJob is a prompt at an engine.
type prefillJob struct {
	arrived   kcclock.Millis
	prefillMs float64
	picked    *pickedUpstream
	instance  *Upstreams
	// endsAt is the end of the response, which occupies a slot but takes little
	// engine time.
	endsAt kcclock.Millis
}

// placementFunc chooses the engine for a prompt.
type placementFunc func(rnd *rand.Rand, own *Upstreams, w pickCriteria, queued []int) (*pickedUpstream, int)

// placeByWork is the placement of the gateway, with the knowledge of one
// instance.
func placeByWork(_ *rand.Rand, own *Upstreams, w pickCriteria, _ []int) (*pickedUpstream, int) {
	c, _ := own.pick(w)
	return c, int(c.ID[1] - 'a')
}

// placeRandomly and placeByCount are the baselines: a random engine, and the
// engine with the fewest requests as far as an instance knows.
func placeRandomly(rnd *rand.Rand, _ *Upstreams, _ pickCriteria, queued []int) (*pickedUpstream, int) {
	return nil, rnd.IntN(len(queued))
}

func placeByCount(rnd *rand.Rand, own *Upstreams, w pickCriteria, queued []int) (*pickedUpstream, int) {
	w.prompt.tokens = 0
	return placeByWork(rnd, own, w, queued)
}

// simulatePrefill returns the sorted waiting times of prompts.
func simulatePrefill(seed uint64, place placementFunc, shareLoads bool) []float64 {
	rnd := rand.New(rand.NewPCG(seed, 7))
	clock := kcclock.NewManual(1_000_000)
	var instances []*Upstreams
	for range loadInstances {
		l := NewUpstreams(clock, "z", map[string]string{"z": "r"})
		var ups []kctable.Upstream
		for i := range loadEngines {
			ups = append(ups, kctable.Upstream{ID: "e" + string(rune('a'+i)), Service: "s", Zone: "z", Version: "v", Slots: 64})
		}
		l.shuffle = rnd.Shuffle
		l.Replace(ups, false)
		instances = append(instances, l)
	}
	queues := make([][]prefillJob, loadEngines)
	left := make([]float64, loadEngines)
	queued := make([]int, loadEngines)
	var waits []float64
	var streams []prefillJob
	for t := kcclock.Millis(0); t < loadDurationMs; t++ {
		clock.Advance(1)
		for i := range queues {
			for left[i]--; left[i] <= 0 && len(queues[i]) > 0; {
				j := queues[i][0]
				queues[i], queued[i] = queues[i][1:], queued[i]-1
				waits = append(waits, float64(t-j.arrived))
				left[i] += j.prefillMs
				if j.picked != nil {
					j.instance.markAnswerStarted(j.picked)
					j.endsAt = t + kcclock.Millis(100+rnd.IntN(maxStreamMs))
					streams = append(streams, j)
				}
			}
			left[i] = max(left[i], 0)
		}
		streams = endStreams(streams, t)
		if shareLoads && t%25 == 0 {
			exchangeLoads(instances, t)
		}
		if rnd.Float64() >= loadRequestsPerSecond/1000 {
			continue
		}
		tokens := min(math.Exp(rnd.NormFloat64()*1.2+7.6), 54_000)
		perToken := smallModelMsPerToken
		if rnd.Float64() < 0.4 {
			perToken = largeModelMsPerToken
		}
		own := instances[rnd.IntN(loadInstances)]
		w := pickCriteria{service: "s", allowsVersion: anyVersion, prompt: prompt{tokens: int(tokens), msPerToken: perToken}}
		c, i := place(rnd, own, w, queued)
		queues[i] = append(queues[i], prefillJob{arrived: t, prefillMs: tokens * perToken, picked: c, instance: own})
		queued[i]++
	}
	slices.Sort(waits)
	return waits
}

func endStreams(streams []prefillJob, now kcclock.Millis) []prefillJob {
	return slices.DeleteFunc(streams, func(j prefillJob) bool {
		if j.endsAt <= now {
			j.instance.release(j.picked, outcomeGood)
		}
		return j.endsAt <= now
	})
}

func exchangeLoads(instances []*Upstreams, now kcclock.Millis) {
	for i, from := range instances {
		m := kcload.Message{Instance: string(rune('a' + i)), Seq: uint64(now) + 1, Loads: from.LoadShares()}
		for k, to := range instances {
			if k != i {
				to.SetPeerLoad(m)
			}
		}
	}
}

// p90 returns the 90th percentile of sorted values.
func p90(sorted []float64) float64 { return sorted[len(sorted)*9/10] }

// Guards against placement that is no better than a simple one in a busy hour.
// The 90th percentile of the wait must be at most half of that with random
// placement, and no longer than with the least load or without load reports from
// peers.
func TestPlacementUnderLoad(t *testing.T) {
	for seed := range uint64(3) {
		random := p90(simulatePrefill(seed, placeRandomly, false))
		leastLoad := p90(simulatePrefill(seed, placeByCount, true))
		ownWork := p90(simulatePrefill(seed, placeByWork, false))
		allWork := p90(simulatePrefill(seed, placeByWork, true))
		t.Logf("seed %d: 90th percentile of the wait: random %.0f ms, least load %.0f, own work %.0f, all work %.0f",
			seed, random, leastLoad, ownWork, allWork)
		if allWork > random/2 {
			t.Errorf("seed %d: waited %.0f ms, random placement %.0f", seed, allWork, random)
		}
		if allWork > leastLoad {
			t.Errorf("seed %d: waited %.0f ms, least load %.0f", seed, allWork, leastLoad)
		}
		if allWork > ownWork {
			t.Errorf("seed %d: waited %.0f ms with load reports, %.0f without", seed, allWork, ownWork)
		}
	}
}
