package kcquarantine_test

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// scenario is a load and its faults, read from a file in testdata.
type scenario struct {
	instances, upstreams, subjects int
	ratePerSecond                  int
	lossPercent                    int
	// crashing is the share of requests with a crashing part, in percent. They come
	// from the start to the end of the load, in the subjects 0 to crashingSubjects-1.
	crashing, crashingSubjects int
	// crashAt are the times at which crashPercent of the upstreams crash at once.
	crashAt      []int
	crashPercent int
	// flapPerSecond is the number of upstreams that crash by themselves.
	flapPerSecond int
	// killAt is the time at which killPercent of the instances restart and forget
	// all but the blocks that are stored.
	killAt, killPercent int
	// badUpstreams run a bad version: each crashes under badPercent of the requests
	// that it begins to answer, whatever they hold.
	badUpstreams, badPercent int
	// lengthMs is the length of the load, seeds the number of times it is played.
	lengthMs, seeds int
}

func readScenario(t *testing.T, path string) scenario {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s := scenario{subjects: 40, crashingSubjects: 1, lengthMs: 30_000, seeds: 3}
	for sc := bufio.NewScanner(bytes.NewReader(raw)); sc.Scan(); {
		fields := strings.Fields(sc.Text())
		if len(fields) < 2 || fields[0] == "#" {
			continue
		}
		if fields[0] == "crashAt" {
			for _, f := range fields[1:] {
				s.crashAt = append(s.crashAt, atoi(t, f))
			}
			continue
		}
		dest := map[string]*int{
			"instances": &s.instances, "upstreams": &s.upstreams, "subjects": &s.subjects, "ratePerSecond": &s.ratePerSecond,
			"lossPercent": &s.lossPercent, "crashing": &s.crashing, "crashingSubjects": &s.crashingSubjects,
			"badUpstreams": &s.badUpstreams, "badPercent": &s.badPercent,
			"crashPercent": &s.crashPercent, "flapPerSecond": &s.flapPerSecond, "killAt": &s.killAt, "killPercent": &s.killPercent,
			"lengthMs": &s.lengthMs, "seeds": &s.seeds,
		}[fields[0]]
		if dest == nil {
			t.Fatalf("%s: unknown field %q", path, fields[0])
		}
		*dest = atoi(t, fields[1])
	}
	return s
}

func atoi(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// simRequest is one request of the load.
type simRequest struct {
	instance  int
	parts     []kcquarantine.Part
	workspace uint64
	crashing  bool
	onTrial   bool
	answered  bool
	crashed   bool
	waited    kcclock.Millis
	attempts  int
	upstream  int
	// headerAt is when the header of the response arrives, startAt when the body
	// begins, endAt when the answer is complete.
	headerAt, startAt, endAt kcclock.Millis
}

type simUpstream struct {
	incarnation int
	downUntil   kcclock.Millis
	running     []*simRequest
}

type simMessage struct {
	at   kcclock.Millis
	to   int
	data kcquarantine.Report
}

// sim plays a scenario against one tracker per instance.
type sim struct {
	scenario
	rnd       *rand.Rand
	clock     *kcclock.Manual
	trackers  []*kcquarantine.Tracker
	stored    map[kcquarantine.Part]kcquarantine.Block
	upstreams []simUpstream
	waiting   []*simRequest
	messages  []simMessage
	requests  int

	crashes                        int
	fifthCrashAt                   kcclock.Millis
	crashingSent, crashingSentLate int
	sound, soundRefused, failed    int
}

const (
	simStepMs    = 5 * kcclock.Millisecond
	simDowntime  = 3 * kcclock.Second
	simMessageMs = 15 * kcclock.Millisecond
	// simReportMs is the time between reports.
	simReportMs = 25 * kcclock.Millisecond
	// simWaitMs is a quarter of the objective of the most patient deployments.
	simWaitMs = kcclock.Second
	// simContactMs is the time after the fifth crash in which all instances must
	// know the part.
	simContactMs = 4 * kcclock.Second
)

func (s *sim) newTracker(i int) *kcquarantine.Tracker {
	t := kcquarantine.New(kcquarantine.Options{
		Clock: s.clock, Instance: fmt.Sprint("i", i),
		OnBlocked: func(b kcquarantine.Block) { s.stored[b.Part] = b },
		OnCleared: func(p kcquarantine.Part) { delete(s.stored, p) },
	})
	for _, b := range s.stored {
		t.Restore(b)
	}
	return t
}

func newSim(sc scenario, seed uint64) *sim {
	s := &sim{
		scenario: sc, rnd: rand.New(rand.NewPCG(seed, 7)), clock: kcclock.NewManual(1_000_000),
		stored: make(map[kcquarantine.Part]kcquarantine.Block), upstreams: make([]simUpstream, sc.upstreams),
	}
	for i := range sc.instances {
		s.trackers = append(s.trackers, s.newTracker(i))
	}
	return s
}

func (s *sim) play() {
	start := s.clock.Now()
	lastReport := start
	for now := start; now < start+kcclock.Millis(s.lengthMs); now += simStepMs {
		elapsed := int(now - start)
		s.startFaults(elapsed)
		s.deliver(now)
		s.arrive()
		s.admitWaiting()
		s.progress(now)
		if now-lastReport >= simReportMs {
			lastReport = now
			s.report(now)
		}
		s.clock.Advance(simStepMs)
	}
}

func (s *sim) startFaults(elapsed int) {
	for _, at := range s.crashAt {
		if elapsed == at {
			for i := range s.upstreams {
				if s.rnd.IntN(100) < s.crashPercent {
					s.crash(i)
				}
			}
		}
	}
	if s.rnd.Float64() < float64(s.flapPerSecond)*float64(simStepMs)/1000 {
		s.crash(s.rnd.IntN(len(s.upstreams)))
	}
	if s.killAt > 0 && elapsed == s.killAt {
		for i := range s.trackers {
			if s.rnd.IntN(100) < s.killPercent {
				s.trackers[i] = s.newTracker(i)
			}
		}
	}
}

func (s *sim) deliver(now kcclock.Millis) {
	rest := s.messages[:0]
	for _, m := range s.messages {
		if m.at > now {
			rest = append(rest, m)
			continue
		}
		s.trackers[m.to].Merge(m.data)
	}
	s.messages = rest
}

func (s *sim) report(now kcclock.Millis) {
	for i, t := range s.trackers {
		r, ok := t.Outgoing()
		if !ok {
			continue
		}
		for to := range s.trackers {
			if to != i && s.rnd.IntN(100) >= s.lossPercent {
				s.messages = append(s.messages, simMessage{now + simMessageMs, to, r})
			}
		}
	}
}

// arrive adds the requests of one step. A prompt has the part of its class, that
// of its subject, possibly the crashing one, and one of its own.
func (s *sim) arrive() {
	for range s.rnd.IntN(2*s.ratePerSecond*int(simStepMs)/1000 + 2) {
		if s.rnd.Float64() > float64(s.ratePerSecond)*float64(simStepMs)/1000 {
			continue
		}
		s.requests++
		subject := s.rnd.IntN(s.subjects)
		x := &simRequest{instance: s.rnd.IntN(len(s.trackers)), crashing: s.rnd.IntN(100) < s.crashing}
		if x.crashing {
			subject = s.rnd.IntN(s.crashingSubjects)
		} else {
			s.sound++
		}
		ids := []string{fmt.Sprint("class", subject%4), fmt.Sprint("subject", subject)}
		if x.crashing {
			ids = append(ids, "crashing")
		}
		x.parts, x.workspace = kcquarantine.SharedParts(append(ids, "own")), uint64(subject%10)
		s.trackers[x.instance].CountRequest(x.parts)
		s.waiting = append(s.waiting, x)
	}
}

func (s *sim) admitWaiting() {
	list := s.waiting
	s.waiting = nil
	for _, x := range list {
		d := s.trackers[x.instance].Admit(kcquarantine.Request{Parts: x.parts, Workspace: x.workspace, Crashed: x.crashed})
		switch {
		case x.answered || d.Action == kcquarantine.Send:
			s.send(x)
		case d.Action == kcquarantine.Trial:
			x.onTrial = true
			s.send(x)
		case d.Action == kcquarantine.Wait && (x.waited+d.WaitMs <= simWaitMs || d.TrialRuns && x.waited < simWaitMs):
			x.waited += simStepMs
			s.waiting = append(s.waiting, x)
		case !x.crashing:
			s.soundRefused++
		}
	}
}

func (s *sim) send(x *simRequest) {
	now := s.clock.Now()
	for range 2 * len(s.upstreams) {
		i := s.rnd.IntN(len(s.upstreams))
		u := &s.upstreams[i]
		if u.downUntil > now {
			continue
		}
		x.upstream = i
		x.attempts++
		x.headerAt = now + simStepMs*kcclock.Millis(10+s.rnd.IntN(80))
		x.startAt = x.headerAt + 5
		x.endAt = x.startAt + kcclock.Millis(s.rnd.IntN(2000))
		u.running = append(u.running, x)
		if x.crashing {
			s.crashingSent++
			if s.fifthCrashAt > 0 && now > s.fifthCrashAt+simContactMs {
				s.crashingSentLate++
			}
		}
		return
	}
	s.failed++
}

func (s *sim) progress(now kcclock.Millis) {
	for i := range s.upstreams {
		crashed, fell := false, false
		s.upstreams[i].running = slices.DeleteFunc(s.upstreams[i].running, func(x *simRequest) bool {
			switch {
			case x.crashing && now >= x.headerAt:
				crashed = true
			case i < s.badUpstreams && now == x.headerAt && s.rnd.IntN(100) < s.badPercent:
				fell = true
			case now >= x.startAt && !x.answered:
				x.answered, x.onTrial = true, false
				s.trackers[x.instance].Answered(x.parts)
			case now >= x.endAt:
				return true
			}
			return false
		})
		if fell && !crashed {
			s.crash(i)
		}
		if crashed {
			if s.crashes++; s.crashes == 5 {
				s.fifthCrashAt = now
			}
			s.crash(i)
		}
	}
}

// crash ends an upstream and all that runs there.
func (s *sim) crash(i int) {
	now, u := s.clock.Now(), &s.upstreams[i]
	if u.downUntil > now {
		return
	}
	u.downUntil = now + simDowntime
	u.incarnation++
	running := u.running
	u.running = nil
	for _, x := range running {
		if x.answered {
			s.waiting = append(s.waiting, x) // resumed elsewhere
			continue
		}
		t := s.trackers[x.instance]
		phase := kcquarantine.Reading
		if now >= x.headerAt || x.onTrial {
			phase = kcquarantine.Answering
			x.crashed = true
		}
		if phase == kcquarantine.Answering || !t.Proven(x.parts) {
			t.Crashed(kcquarantine.Evidence{
				Crash: uint64(i)<<32 | uint64(u.incarnation), Upstream: fmt.Sprint("u", i), Workspace: x.workspace,
				At: now, Phase: phase, Parts: x.parts,
			})
		}
		if x.onTrial || x.attempts >= 3 {
			if !x.crashing {
				s.failed++
			}
			continue
		}
		s.waiting = append(s.waiting, x)
	}
}

// Guards against prompts that crash one upstream after the other, and against
// sound ones that are rejected because they ran beside a crash, or were common
// when upstreams crashed for other reasons.
func TestLoad(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.load")
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	for _, path := range paths {
		sc := readScenario(t, path)
		for seed := range sc.seeds {
			t.Run(filepath.Base(path)+"/"+strconv.Itoa(seed), func(t *testing.T) {
				s := newSim(sc, uint64(seed))
				s.play()
				t.Logf("%d requests; crashing: %d crashes, %d sent, %d of them late; sound: %d of %d refused, %d failed",
					s.requests, s.crashes, s.crashingSent, s.crashingSentLate, s.soundRefused, s.sound, s.failed)
				if s.crashingSentLate > 3 {
					t.Errorf("%d crashing requests were sent later than %d ms after the fifth crash, allowed 3",
						s.crashingSentLate, simContactMs)
				}
				if s.soundRefused*500 > s.sound {
					t.Errorf("%d of %d sound requests were refused, allowed one in 500", s.soundRefused, s.sound)
				}
			})
		}
	}
}
