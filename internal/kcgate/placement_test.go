package kcgate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// prefillLoad is a load of prompts with a prefill time of one to several thousand
// milliseconds, which several instances send to engines that prefill one prompt
// at a time.
type prefillLoad struct {
	instances, engines, zones int
	requestsPerSecond         float64
	durationMs                kcclock.Millis
	// zoneReportMs and regionReportMs are the times between the load reports of an
	// instance to peers in its availability zone and in others; 0 means that there
	// are none.
	zoneReportMs, regionReportMs kcclock.Millis
}

// busyHour is the load of a small deployment, busyRegion that of a region of a
// deployment with hundreds of instances.
var (
	busyHour = prefillLoad{
		instances: 8, engines: 12, zones: 1, requestsPerSecond: 90, durationMs: 40_000, zoneReportMs: 25, regionReportMs: 25,
	}
	busyRegion = prefillLoad{
		instances: 150, engines: 80, zones: 3, requestsPerSecond: 840, durationMs: 6000, zoneReportMs: 125, regionReportMs: 600,
	}
)

const (
	smallModelMsPerToken = 0.003
	largeModelMsPerToken = 0.03
	maxStreamMs          = 5000
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
	i, err := strconv.Atoi(c.ID[1:])
	if err != nil {
		panic(err) // the test has given it another name
	}
	return c, i
}

// placeByAllWork compares all engines, however old the reports of peers are.
func placeByAllWork(rnd *rand.Rand, own *Upstreams, w pickCriteria, queued []int) (*pickedUpstream, int) {
	clear(own.services)
	return placeByWork(rnd, own, w, queued)
}

// placeRandomly and placeByCount are the baselines: a random engine, and the
// engine with the fewest requests as far as an instance knows.
func placeRandomly(rnd *rand.Rand, _ *Upstreams, _ pickCriteria, queued []int) (*pickedUpstream, int) {
	return nil, rnd.IntN(len(queued))
}

func placeByCount(rnd *rand.Rand, own *Upstreams, w pickCriteria, queued []int) (*pickedUpstream, int) {
	w.prompt.Tokens = 0
	return placeByWork(rnd, own, w, queued)
}

// simulatePrefill returns the sorted waiting times of prompts.
func simulatePrefill(seed uint64, load prefillLoad, place placementFunc) []float64 {
	rnd := rand.New(rand.NewPCG(seed, 7))
	clock := kcclock.NewManual(1_000_000)
	zones := make(map[string]string)
	for z := range load.zones {
		zones[fmt.Sprint("z", z)] = "r"
	}
	var ups []kctable.Upstream
	for i := range load.engines {
		ups = append(ups, kctable.Upstream{
			ID: fmt.Sprint("e", i), Service: "s", Zone: fmt.Sprint("z", i%load.zones), Version: "v", Slots: 64,
		})
	}
	var instances []*Upstreams
	for i := range load.instances {
		l := NewUpstreams(clock, fmt.Sprint("z", i%load.zones), zones)
		l.intN = rnd.IntN
		l.Replace(ups, 0)
		instances = append(instances, l)
	}
	queues := make([][]prefillJob, load.engines)
	left := make([]float64, load.engines)
	queued := make([]int, load.engines)
	var waits []float64
	var streams []prefillJob
	for t := kcclock.Millis(0); t < load.durationMs; t++ {
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
		load.exchangeLoads(instances, t)
		if rnd.Float64() >= load.requestsPerSecond/1000 {
			continue
		}
		tokens := min(math.Exp(rnd.NormFloat64()*1.2+7.6), 54_000)
		perToken := smallModelMsPerToken
		if rnd.Float64() < 0.4 {
			perToken = largeModelMsPerToken
		}
		own := instances[rnd.IntN(load.instances)]
		w := pickCriteria{service: "s", allowsVersion: anyVersion, prompt: kcprefix.Prompt{Tokens: int(tokens), MsPerToken: perToken}}
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

// exchangeLoads sends the load reports that are due. Instances do not report at
// the same time.
func (p prefillLoad) exchangeLoads(instances []*Upstreams, now kcclock.Millis) {
	for i, from := range instances {
		due := func(interval kcclock.Millis) bool { return interval > 0 && (now+7*kcclock.Millis(i))%interval == 0 }
		toZone, toRegion := due(p.zoneReportMs), due(p.regionReportMs)
		if !toZone && !toRegion {
			continue
		}
		m := kcload.Message{Instance: fmt.Sprint(i), Seq: uint64(now) + 1, Loads: from.LoadShares()}
		for k, to := range instances {
			if k != i && (toRegion || from.zone == to.zone) {
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
	t.Parallel()
	for seed := range uint64(3) {
		noReports := busyHour
		noReports.zoneReportMs, noReports.regionReportMs = 0, 0
		random := p90(simulatePrefill(seed, busyHour, placeRandomly))
		leastLoad := p90(simulatePrefill(seed, busyHour, placeByCount))
		ownWork := p90(simulatePrefill(seed, noReports, placeByWork))
		allWork := p90(simulatePrefill(seed, busyHour, placeByWork))
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

// Guards against a herd: at a region of 150 instances, all of them choose the
// engine that looks least busy in reports that are older than the requests of the
// others. The 90th percentile of the wait must be at most two thirds of that when
// all engines are compared, and of that with random placement.
func TestSampleAvoidsHerd(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		random := p90(simulatePrefill(seed, busyRegion, placeRandomly))
		herd := p90(simulatePrefill(seed, busyRegion, placeByAllWork))
		sampled := p90(simulatePrefill(seed, busyRegion, placeByWork))
		t.Logf("seed %d: 90th percentile of the wait: random %.0f ms, all engines %.0f, sample %.0f", seed, random, herd, sampled)
		if sampled > herd*2/3 || sampled > random*2/3 {
			t.Errorf("seed %d: waited %.0f ms, %.0f with all engines, %.0f with random ones", seed, sampled, herd, random)
		}
	}
}

// Guards against sending an unchanged load again, because it is encoded in
// another order.
func TestLoadSharesKeepTheirOrder(t *testing.T) {
	clock := kcclock.NewManual(1_000_000)
	l := NewUpstreams(clock, "z", map[string]string{"z": "r"})
	for i := range 20 {
		l.Upsert(kctable.Upstream{ID: fmt.Sprint("e", i), Service: "s", Zone: "z", Version: "v", Slots: 4})
	}
	for range 30 {
		l.pick(pickCriteria{service: "s", allowsVersion: anyVersion})
	}
	first := kcload.Message{Instance: "i", Loads: l.LoadShares()}
	for range 20 {
		if again := (kcload.Message{Instance: "i", Loads: l.LoadShares()}); !again.SameState(first) {
			t.Fatalf("one load is told in two ways:\n%+v\n%+v", first, again)
		}
	}
}
