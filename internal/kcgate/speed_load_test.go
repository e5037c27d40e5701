package kcgate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// speedLoad is a load of prompts on engines that share their machines with other
// workloads: a part of them takes several times as long for one phase, and some of
// them take somewhat longer at all times.
type speedLoad struct {
	instances, engines, zones, slots int
	// rate multiplies the requests of the kinds.
	rate           float64
	slowPercent    int
	slowFactor     float64
	phaseMs        kcclock.Millis
	durationMs     kcclock.Millis
	zoneReportMs   kcclock.Millis
	regionReportMs kcclock.Millis
	// lossPercent of the reports are lost, lateMs is their delay, and doubled ones
	// arrive again 50 ms later.
	lossPercent int
	lateMs      kcclock.Millis
	doubled     bool
	// cutOff instances hear no peer and no peer hears them.
	cutOff int
	// hotZone sends half of the requests to the instances of one availability zone.
	hotZone bool
	// liars is the number of engines that report liesSpeed and no requests.
	liars, liesSpeed int
	// names is what engines name, hears whether instances read it.
	names namedFigures
}

type namedFigures int

const (
	namesNothing namedFigures = iota
	namesLoad
	namesSpeed
)

// classifieds is the load of 143 instances and 90 engines.
var classifieds = speedLoad{
	instances: 143, engines: 90, zones: 6, slots: 24, rate: 2, slowPercent: 15, slowFactor: 2.5, phaseMs: 600,
	durationMs: 9_000, zoneReportMs: 60, regionReportMs: 290, lateMs: 3, names: namesSpeed,
}

// speedKinds are the kinds of request with their rate, prompt, events and objective
// for the first event.
var speedKinds = []struct {
	perSecond   float64
	tokens      int
	events      kcclock.Millis
	objectiveMs kcclock.Millis
}{{96, 11_992, 48, 3000}, {114, 826, 36, 2000}, {199, 2368, 3, 2000}}

const (
	speedMsPerToken = 1 / 92.1
	speedEventMs    = 50
	// speedWarmupMs is the time in which instances learn, which does not count.
	speedWarmupMs = 5000 * kcclock.Millisecond
	// crossRegionRTTMs is the round trip between regions.
	crossRegionRTTMs = 24 * kcclock.Millisecond
)

type speedJob struct {
	// arrived is the time of the request and, once it is answered, of the end of the
	// stream.
	arrived   kcclock.Millis
	leftMs    float64
	streamMs  float64
	kind      int
	picked    *pickedUpstream
	instance  int
	distantMs kcclock.Millis
}

type speedEngine struct {
	// usual is the factor at all times, phaseAt the shift of its phases.
	usual, now float64
	phaseAt    kcclock.Millis
	waiting    []speedJob
	streams    []speedJob
}

type speedReport struct {
	at kcclock.Millis
	to int
	m  kcload.Message
}

// speedSim plays a speedLoad.
type speedSim struct {
	speedLoad
	rnd       *rand.Rand
	clock     *kcclock.Manual
	instances []*Upstreams
	engines   []speedEngine
	reports   []speedReport
	// waits holds the times to the first event, inTime the number of those within
	// the objective.
	waits  []float64
	inTime int
	// atLiars counts the requests that lying engines got, maxMessage the largest
	// report.
	atLiars, maxMessage int
}

func newSpeedSim(load speedLoad) *speedSim {
	s := &speedSim{speedLoad: load, rnd: rand.New(rand.NewPCG(1, 11)), clock: kcclock.NewManual(1_000_000)}
	regions := make(map[string]string)
	for z := range load.zones {
		regions[fmt.Sprint("z", z)] = fmt.Sprint("r", z%2)
	}
	var ups []kctable.Upstream
	for i := range load.engines {
		ups = append(ups, kctable.Upstream{
			ID: fmt.Sprint("e", i), Service: "s", Zone: fmt.Sprint("z", i%load.zones), Version: "v", Slots: load.slots,
		})
		e := speedEngine{usual: 1, now: 1, phaseAt: kcclock.Millis(s.rnd.IntN(int(load.phaseMs)))}
		if i%9 < 3 {
			e.usual = 1.3
		}
		s.engines = append(s.engines, e)
	}
	zones := make(map[string]string)
	for i := range load.instances {
		zones[fmt.Sprint("i", i)] = fmt.Sprint("z", i%load.zones)
	}
	for i := range load.instances {
		l := NewUpstreams(s.clock, fmt.Sprint("z", i%load.zones), regions)
		l.instance, l.intN = fmt.Sprint("i", i), s.rnd.IntN
		l.SetPeerZones(zones)
		l.Replace(ups, 0)
		s.instances = append(s.instances, l)
	}
	return s
}

func (s *speedSim) play(place placementFunc) {
	queued := make([]int, len(s.engines))
	for t := kcclock.Millis(0); t < s.durationMs; t++ {
		s.clock.Advance(1)
		for i := range s.engines {
			s.work(i, t)
		}
		s.exchange(t)
		for k, kind := range speedKinds {
			if s.rnd.Float64() >= s.rate*kind.perSecond/1000 {
				continue
			}
			i := s.rnd.IntN(len(s.instances))
			if s.hotZone && s.rnd.IntN(2) == 0 {
				i -= i % s.zones
			}
			c, e := place(s.rnd, s.instances[i], pickCriteria{
				service: "s", allowsVersion: anyVersion, holdMs: streamHoldMs,
				prompt: kcprefix.Prompt{Tokens: kind.tokens, MsPerToken: speedMsPerToken},
			}, queued)
			j := speedJob{
				arrived: t, leftMs: float64(kind.tokens) * speedMsPerToken, streamMs: float64(kind.events * speedEventMs), kind: k,
				picked: c, instance: i,
			}
			if s.instances[i].region != fmt.Sprint("r", e%s.zones%2) {
				j.distantMs = crossRegionRTTMs
			}
			s.engines[e].waiting = append(s.engines[e].waiting, j)
			if e < s.liars && t >= speedWarmupMs {
				s.atLiars++
			}
		}
	}
	slices.Sort(s.waits)
}

// work advances an engine by a millisecond: it prefills one prompt at a time for
// which a slot is free, and streams to the others.
func (s *speedSim) work(i int, t kcclock.Millis) {
	e := &s.engines[i]
	if (t+e.phaseAt)%s.phaseMs == 0 {
		e.now = e.usual
		if s.rnd.IntN(100) < s.slowPercent {
			e.now *= s.slowFactor
		}
	}
	e.streams = slices.DeleteFunc(e.streams, func(j speedJob) bool {
		if t < j.arrived { // the end of the stream
			return false
		}
		if j.picked != nil {
			s.instances[j.instance].release(j.picked, outcomeGood)
		}
		return true
	})
	for left := 1 / e.now; left > 0 && len(e.waiting) > 0 && len(e.streams) < s.slots; {
		j := &e.waiting[0]
		done := min(left, j.leftMs)
		j.leftMs -= done
		if left -= done; j.leftMs > 0 {
			break
		}
		s.answer(i, *j, t)
		e.waiting = e.waiting[1:]
	}
}

func (s *speedSim) answer(i int, j speedJob, t kcclock.Millis) {
	e := &s.engines[i]
	if j.arrived >= speedWarmupMs {
		wait := t - j.arrived + j.distantMs
		s.waits = append(s.waits, float64(wait))
		if wait <= speedKinds[j.kind].objectiveMs {
			s.inTime++
		}
	}
	if j.picked != nil {
		l := s.instances[j.instance]
		l.markAnswerStarted(j.picked)
		load := Load{Running: len(e.streams) + 1, Waiting: len(e.waiting) - 1, Slots: s.slots}
		if s.names == namesSpeed {
			load.Speed = int(e.now * 100)
		}
		if i < s.liars {
			load = Load{Slots: s.slots, Speed: s.liesSpeed}
		}
		if s.names != namesNothing {
			l.recordLoad(j.picked, load)
		}
	}
	j.arrived = t + kcclock.Millis(j.streamMs*e.now)
	e.streams = append(e.streams, j)
}

// exchange sends the reports that are due, and delivers those that have arrived.
func (s *speedSim) exchange(t kcclock.Millis) {
	now := s.clock.Now()
	for i, from := range s.instances {
		due := func(interval kcclock.Millis) bool { return (t+7*kcclock.Millis(i))%interval == 0 }
		toZone, toRegion := due(s.zoneReportMs), due(s.regionReportMs)
		if !toZone && !toRegion || i < s.cutOff {
			continue
		}
		m := kcload.Message{Instance: from.instance, Seq: uint64(now), Loads: from.LoadShares()}
		raw := kcload.Encode(m)
		s.maxMessage = max(s.maxMessage, len(raw))
		m, err := kcload.Decode(raw)
		if err != nil {
			panic(err)
		}
		for k, to := range s.instances {
			if k == i || to.region != from.region || !toRegion && to.zone != from.zone || s.rnd.IntN(100) < s.lossPercent {
				continue
			}
			s.reports = append(s.reports, speedReport{now + s.lateMs, k, m})
			if s.doubled {
				s.reports = append(s.reports, speedReport{now + s.lateMs + 50, k, m})
			}
		}
	}
	s.reports = slices.DeleteFunc(s.reports, func(r speedReport) bool {
		if r.at > now {
			return false
		}
		if r.to >= s.cutOff {
			s.instances[r.to].SetPeerLoad(r.m)
		}
		return true
	})
}

type speedResult struct{ p50, p90, p99, mean, inTime float64 }

func (s *speedSim) result() speedResult {
	sum := 0.0
	for _, w := range s.waits {
		sum += w
	}
	n := float64(len(s.waits))
	return speedResult{
		p50: s.waits[len(s.waits)/2], p90: p90(s.waits), p99: s.waits[len(s.waits)*99/100], mean: sum / n,
		inTime: float64(s.inTime) / n,
	}
}

func (r speedResult) String() string {
	return fmt.Sprintf("p50 %.0f p90 %.0f p99 %.0f mean %.1f ms, in time %.4f", r.p50, r.p90, r.p99, r.mean, r.inTime)
}

func playSpeed(load speedLoad, place placementFunc) *speedSim {
	s := newSpeedSim(load)
	s.play(place)
	return s
}

// smallClassifieds is a third of that load, for the failures.
func smallClassifieds() speedLoad {
	load := classifieds
	load.instances, load.engines, load.rate, load.durationMs = 48, 30, 0.8, 12_000
	return load
}

// Guards against slow upstreams that are not avoided, and against instances that all
// choose the one that looks fast: callers must wait for the first event for less time
// than with the choice that does not know the speed, at usual and at heavy load, and
// at heavy load for at most half as long as with a random choice.
func TestSpeedUnderLoad(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{1, 3} {
		t.Run(fmt.Sprintf("%.0f times the rate", rate), func(t *testing.T) {
			t.Parallel()
			load, unnamed := classifieds, classifieds
			load.rate, unnamed.rate, unnamed.names = rate, rate, namesNothing
			todayPlayed, randomPlayed := make(chan *speedSim), make(chan *speedSim)
			go func() { todayPlayed <- playSpeed(unnamed, placeByWork) }()
			go func() { randomPlayed <- playSpeed(load, placeRandomly) }()
			s := playSpeed(load, placeByWork)
			with, today, random := s.result(), (<-todayPlayed).result(), (<-randomPlayed).result()
			t.Logf("messages of %d bytes at most:\nspeed   %v\nwithout %v\nrandom  %v", s.maxMessage, with, today, random)
			if with.mean > 0.95*today.mean || with.p90 > 0.95*today.p90 || with.p99 > today.p99 || with.inTime < today.inTime {
				t.Errorf("%v, without speeds %v", with, today)
			}
			if with.p90 > 0.75*random.p90 || rate > 1 && with.p90 > random.p90/2 || with.inTime < random.inTime {
				t.Errorf("%v, random %v", with, random)
			}
			if s.maxMessage > kcload.MaxMessageBytes {
				t.Errorf("a message has %d bytes", s.maxMessage)
			}
		})
	}
}

// Guards against speeds that do harm when one thing fails: callers must not wait
// noticeably longer than without speeds under the same failure, and engines that lie
// must not attract requests.
func TestSpeedFailures(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*speedLoad){
		"half of the reports lost":          func(l *speedLoad) { l.lossPercent = 50 },
		"reports late":                      func(l *speedLoad) { l.lateMs = 400 },
		"instances cut off from all peers":  func(l *speedLoad) { l.cutOff = 12 },
		"engines claim to be fast and idle": func(l *speedLoad) { l.liars, l.liesSpeed = 3, 1 },
		"engines claim to be slow":          func(l *speedLoad) { l.liars, l.liesSpeed = 3, 10_000 },
		"speed oscillates":                  func(l *speedLoad) { l.phaseMs, l.slowPercent = 60, 50 },
		"half in one availability zone":     func(l *speedLoad) { l.hotZone = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load := smallClassifieds()
			change(&load)
			s := playSpeed(load, placeByWork)
			load.names = namesNothing
			unnamed := playSpeed(load, placeByWork)
			with, today := s.result(), unnamed.result()
			t.Logf("speed   %v, %d requests at liars\nwithout %v, %d at liars", with, s.atLiars, today, unnamed.atLiars)
			if with.mean > 1.05*today.mean || with.p90 > 1.1*today.p90 || with.inTime < today.inTime-0.001 {
				t.Errorf("%v, without speeds %v", with, today)
			}
			if float64(s.atLiars) > 1.4*float64(unnamed.atLiars) {
				t.Errorf("%d requests at engines that lie, %d without speeds", s.atLiars, unnamed.atLiars)
			}
		})
	}
	t.Run("reports doubled", func(t *testing.T) {
		t.Parallel()
		load := smallClassifieds()
		once := playSpeed(load, placeByWork).result()
		load.doubled = true
		if twice := playSpeed(load, placeByWork).result(); twice != once {
			t.Errorf("%v, once %v", twice, once)
		}
	})
}

// Guards against reports that change for deployments whose upstreams name no speed,
// and against a choice there that follows the load that peers hear.
func TestNothingIsToldWithoutSpeeds(t *testing.T) {
	clock := kcclock.NewManual(1_000_000)
	l := NewUpstreams(clock, "z", nil)
	l.Replace(newUpstreamList(2), 0)
	c, _ := l.pick(pickCriteria{service: "s", allowsVersion: anyVersion})
	l.recordLoad(c, Load{Running: 3, Waiting: 1, Slots: 8})
	if got := l.LoadShares(); len(got) != 1 || got[0].HasFigure || got[0].Tokens != 0 {
		t.Errorf("%+v is told", got)
	}
	l.recordLoad(c, Load{Running: 3, Waiting: 1, Slots: 8, Speed: 150})
	l.release(c, outcomeGood)
	clock.Advance(100)
	got := l.LoadShares()
	if len(got) != 1 || got[0].Figure != (Load{Running: 3, Waiting: 1, Speed: 150}) || got[0].FigureMsAgo != 100 {
		t.Errorf("%+v is told, want the figure that was just heard", got)
	}
}
