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

// The load of a busy hour: several instances send prompts whose reading takes
// from one to several thousand milliseconds to engines that read one at a time.
const (
	loadInstances = 8
	loadEngines   = 12
	loadPerSecond = 90.0
	loadMs        = 40_000 * kcclock.Millisecond
	smallMsToken  = 0.003
	largeMsToken  = 0.03
	streamMs      = 5000
)

// readJob is a prompt at an engine.
type readJob struct {
	arrived kcclock.Millis
	ms      float64
	c       *choice
	by      *Upstreams
	// ends is the end of the answer, which takes a place but little time.
	ends kcclock.Millis
}

// placement chooses the engine of a prompt.
type placement func(rnd *rand.Rand, own *Upstreams, w want, queued []int) (*choice, int)

// byWork is the code that serves, on the knowledge of one instance.
func byWork(_ *rand.Rand, own *Upstreams, w want, _ []int) (*choice, int) {
	c, _ := own.take(w)
	return c, int(c.ID[1] - 'a')
}

// byChance and byCount are the baselines: a random engine, and the one with the
// fewest requests as far as an instance knows.
func byChance(rnd *rand.Rand, _ *Upstreams, _ want, queued []int) (*choice, int) {
	return nil, rnd.IntN(len(queued))
}

func byCount(rnd *rand.Rand, own *Upstreams, w want, queued []int) (*choice, int) {
	w.prompt.tokens = 0
	return byWork(rnd, own, w, queued)
}

// playReads returns the sorted times that prompts waited.
func playReads(seed uint64, place placement, talk bool) []float64 {
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
	queues := make([][]readJob, loadEngines)
	left := make([]float64, loadEngines)
	queued := make([]int, loadEngines)
	var waits []float64
	var streams []readJob
	for t := kcclock.Millis(0); t < loadMs; t++ {
		clock.Advance(1)
		for i := range queues {
			for left[i]--; left[i] <= 0 && len(queues[i]) > 0; {
				j := queues[i][0]
				queues[i], queued[i] = queues[i][1:], queued[i]-1
				waits = append(waits, float64(t-j.arrived))
				left[i] += j.ms
				if j.c != nil {
					j.by.begun(j.c)
					j.ends = t + kcclock.Millis(100+rnd.IntN(streamMs))
					streams = append(streams, j)
				}
			}
			left[i] = max(left[i], 0)
		}
		streams = endStreams(streams, t)
		if talk && t%25 == 0 {
			tellPeers(instances, t)
		}
		if rnd.Float64() >= loadPerSecond/1000 {
			continue
		}
		tokens := min(math.Exp(rnd.NormFloat64()*1.2+7.6), 54_000)
		perToken := smallMsToken
		if rnd.Float64() < 0.4 {
			perToken = largeMsToken
		}
		own := instances[rnd.IntN(loadInstances)]
		w := want{service: "s", version: anyVersion, prompt: prompt{tokens: int(tokens), msPerToken: perToken}}
		c, i := place(rnd, own, w, queued)
		queues[i] = append(queues[i], readJob{arrived: t, ms: tokens * perToken, c: c, by: own})
		queued[i]++
	}
	slices.Sort(waits)
	return waits
}

func endStreams(streams []readJob, now kcclock.Millis) []readJob {
	return slices.DeleteFunc(streams, func(j readJob) bool {
		if j.ends <= now {
			j.by.release(j.c, good)
		}
		return j.ends <= now
	})
}

func tellPeers(instances []*Upstreams, now kcclock.Millis) {
	for i, from := range instances {
		m := kcload.Message{Instance: string(rune('a' + i)), Seq: uint64(now) + 1, Shares: from.LoadShares()}
		for k, to := range instances {
			if k != i {
				to.SetPeerLoad(m)
			}
		}
	}
}

// slowTenth returns the time that a tenth of the callers exceeds.
func slowTenth(sorted []float64) float64 { return sorted[len(sorted)*9/10] }

// Guards against placement that is no better than a simple one on a busy hour:
// the tenth of the callers that waits longest must wait less than half as long
// as with random placement, and no longer than with the least load.
func TestPlacementUnderLoad(t *testing.T) {
	for seed := range uint64(3) {
		chance := slowTenth(playReads(seed, byChance, false))
		count := slowTenth(playReads(seed, byCount, true))
		alone := slowTenth(playReads(seed, byWork, false))
		together := slowTenth(playReads(seed, byWork, true))
		t.Logf("seed %d: wait of the slowest tenth: random %.0f ms, least load %.0f, own work %.0f, all work %.0f",
			seed, chance, count, alone, together)
		if together > chance/2 {
			t.Errorf("seed %d: %.0f ms, random placement %.0f", seed, together, chance)
		}
		if together > count {
			t.Errorf("seed %d: %.0f ms, least load %.0f", seed, together, count)
		}
		if together > alone {
			t.Errorf("seed %d: %.0f ms with messages, %.0f without", seed, together, alone)
		}
	}
}
