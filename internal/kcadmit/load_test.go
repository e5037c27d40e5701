package kcadmit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

type simKind struct {
	Name                 string
	Urgency              int
	PerSecond            float64
	PrefillMs, WorkMs    float64
	ObjectiveMs, RouteMs kcclock.Millis
	DeadlineMs           kcclock.Millis
}

type simBurst struct {
	FromMs, ToMs kcclock.Millis
	Factor       float64
	// Kind and Workspace limit the burst, if set.
	Kind      string
	Workspace int
}

// simLoad is a load that many instances send to the upstreams of one service.
type simLoad struct {
	Name                               string
	Instances, Upstreams, Slots, Queue int
	AgeMs                              kcclock.Millis
	Seconds, Workspaces                int
	ObedientShare                      float64
	// StickyPercent of the returns reach the instance that has refused the call.
	StickyPercent int
	Kinds         []simKind
	Bursts        []simBurst
	// The failures that a test adds. lostPercent of the reports do not arrive,
	// deadInstances stop at deadAtMs, blindInstances know nothing of the others, and
	// the first upstream reports liarFactor times its load.
	lostPercent, deadInstances, blindInstances int
	deadAtMs                                   kcclock.Millis
	liarFactor                                 float64
	skewed                                     bool
}

// simCall is a request of a caller, with all of its attempts.
type simCall struct {
	kind                *simKind
	workspace           int
	at, patience, route kcclock.Millis
	instance            int
	tries               int
	tried               []int
	ticket              Ticket
	obedient, waited    bool
	startAt             kcclock.Millis
	firstAt, endAt      kcclock.Millis
	outcome             string
	heldMs              kcclock.Millis
}

type simUpstream struct {
	running, queue []*simCall
	prefillFree    float64
	history        []int
}

// simResult counts the outcomes of requests.
type simResult struct {
	calls, onTime, late, refused, refusedLate, waited, expired int
}

func (r *simResult) add(c *simCall) {
	r.calls++
	if c.waited {
		r.waited++
	}
	switch c.outcome {
	case "onTime":
		r.onTime++
	case "late":
		r.late++
	case "refused":
		r.refused++
	case "refusedLate":
		r.refusedLate++
	default:
		r.expired++
	}
}

func (r simResult) served() float64 { return float64(r.onTime+r.late) / float64(max(r.calls, 1)) }

func (r simResult) onTimeShare() float64 { return float64(r.onTime) / float64(max(r.calls, 1)) }

func (r simResult) String() string {
	return fmt.Sprintf("%d calls: %d on time, %d late, %d refused at once, %d refused late, %d without a response, %d waited",
		r.calls, r.onTime, r.late, r.refused, r.refusedLate, r.expired, r.waited)
}

// sim plays a load. Without admission, requests are sent at once, as before.
type sim struct {
	simLoad
	admission bool
	rnd       *rand.Rand
	now       kcclock.Millis
	ups       []*simUpstream
	ctrl      []*Controller
	lag       []kcclock.Millis
	seen      []kcclock.Millis
	retries   []float64
	fullAt    [][]kcclock.Millis
	heldOf    []map[uint64]*simCall
	returning map[kcclock.Millis][]*simCall
	calls     []*simCall
	rejected  int
	// busy and returnsPerMs are recorded every millisecond.
	busy, returned []int
	doubleRuns     int
	// idle is the time that slots were idle while at least as many requests waited or
	// ran as there are slots, in slot milliseconds.
	idle   int
	holdMs float64
}

const simStart = 1_000_000

func newSim(load simLoad, admission bool, seed uint64) *sim {
	s := &sim{
		simLoad: load, admission: admission, rnd: rand.New(rand.NewPCG(seed, 11)), now: simStart,
		returning: make(map[kcclock.Millis][]*simCall),
	}
	weight := 0.0
	for _, k := range load.Kinds {
		s.holdMs += k.PerSecond * (k.WorkMs + k.PrefillMs)
		weight += k.PerSecond
	}
	s.holdMs /= weight
	for range load.Upstreams {
		s.ups = append(s.ups, &simUpstream{})
	}
	for range load.Instances {
		c := New(Options{})
		c.SetSenders(load.Instances)
		s.ctrl = append(s.ctrl, c)
		s.lag = append(s.lag, load.AgeMs/2+kcclock.Millis(s.rnd.Int64N(int64(load.AgeMs)+1)))
		s.seen = append(s.seen, simStart)
		s.retries = append(s.retries, 3)
		s.fullAt = append(s.fullAt, make([]kcclock.Millis, load.Upstreams))
		s.heldOf = append(s.heldOf, make(map[uint64]*simCall))
	}
	return s
}

func (s *sim) elapsed() kcclock.Millis { return s.now - simStart }

func (s *sim) play() *sim {
	for ; s.elapsed() < kcclock.Millis(s.Seconds)*kcclock.Second; s.now++ {
		busy := 0
		for i, u := range s.ups {
			s.advance(u)
			load := len(u.running) + len(u.queue)
			busy += load
			if i == 0 && s.liarFactor > 0 {
				load = int(float64(load) * s.liarFactor)
			}
			u.history = append(u.history, load)
		}
		s.busy = append(s.busy, busy)
		if busy >= s.Upstreams*s.Slots {
			for _, u := range s.ups {
				s.idle += s.Slots - len(u.running)
			}
		}
		s.returned = append(s.returned, len(s.returning[s.now]))
		for _, c := range s.returning[s.now] {
			s.send(c)
		}
		delete(s.returning, s.now)
		s.arrive()
		for i := range s.ctrl {
			if s.rnd.IntN(100) >= s.lostPercent {
				s.seen[i] = s.now - s.lag[i]
			}
			if s.admission && s.ctrl[i].Waiting() > 0 && (s.now+kcclock.Millis(i))%releaseIntervalMs == 0 && !s.dead(i) {
				s.release(i)
			}
		}
	}
	return s
}

func (s *sim) dead(i int) bool { return i < s.deadInstances && s.elapsed() >= s.deadAtMs }

// advance ends requests and starts the next ones, the most urgent first at engines.
func (s *sim) advance(u *simUpstream) {
	u.running = slices.DeleteFunc(u.running, func(c *simCall) bool {
		if c.endAt <= s.now {
			s.answer(c)
		}
		return c.endAt <= s.now
	})
	for len(u.running) < s.Slots && len(u.queue) > 0 {
		n := 0
		if u.queue[0].kind.PrefillMs > 0 {
			for i, c := range u.queue {
				if c.kind.Urgency < u.queue[n].kind.Urgency {
					n = i
				}
			}
		}
		c := u.queue[n]
		u.queue = slices.Delete(u.queue, n, n+1)
		u.prefillFree = max(u.prefillFree, float64(s.now)) + c.kind.PrefillMs
		c.startAt = s.now
		c.firstAt = kcclock.Millis(u.prefillFree)
		c.endAt = c.firstAt + kcclock.Millis(c.kind.WorkMs*(0.7+0.6*s.rnd.Float64()))
		u.running = append(u.running, c)
	}
}

func (s *sim) answer(c *simCall) {
	s.holdMs += (float64(c.endAt-c.startAt) - s.holdMs) / 200
	if s.dead(c.instance) {
		c.outcome = "lost"
		return
	}
	if c.outcome != "" {
		s.doubleRuns++
	}
	at := c.endAt
	if c.kind.PrefillMs > 0 {
		at = c.firstAt
	}
	switch {
	case at <= c.at+c.kind.ObjectiveMs:
		c.outcome = "onTime"
	case c.endAt <= c.route && at <= c.patience:
		c.outcome = "late"
	default:
		c.outcome = "expired"
	}
	if s.admission && s.ctrl[c.instance].Waiting() > 0 {
		s.release(c.instance)
	}
}

func (s *sim) arrive() {
	for k := range s.Kinds {
		kind := &s.Kinds[k]
		for w := range s.Workspaces {
			rate := kind.PerSecond / float64(s.Workspaces)
			for _, b := range s.Bursts {
				if s.elapsed() >= b.FromMs && s.elapsed() < b.ToMs && (b.Kind == "" || b.Kind == kind.Name) &&
					(b.Workspace == 0 || b.Workspace == w) {
					rate *= b.Factor
				}
			}
			for p := rate / 1000; p > 0; p-- {
				if s.rnd.Float64() < p {
					c := &simCall{kind: kind, workspace: w, at: s.now, patience: s.now + kind.DeadlineMs}
					c.obedient = s.rnd.Float64() < s.ObedientShare
					s.calls = append(s.calls, c)
					s.send(c)
				}
			}
		}
	}
}

// send delivers a call to an instance.
func (s *sim) send(c *simCall) {
	if c.tries == 0 || s.rnd.IntN(100) >= s.StickyPercent {
		c.instance = s.rnd.IntN(s.Instances)
	}
	if s.skewed && s.rnd.IntN(2) == 0 {
		c.instance = s.rnd.IntN(s.Instances/6 + 1)
	}
	for s.dead(c.instance) {
		c.instance = s.rnd.IntN(s.Instances)
	}
	c.tries++
	c.tried = c.tried[:0]
	c.route = c.patience
	if c.kind.RouteMs > 0 {
		c.route = min(c.route, s.now+c.kind.RouteMs)
	}
	s.retries[c.instance] = min(s.retries[c.instance]+0.85, 30)
	if !s.admission {
		s.attempt(c)
		return
	}
	s.decide(c, s.ctrl[c.instance].Enter(s.now, s.request(c), s.room(c.instance)))
}

func (s *sim) request(c *simCall) Request {
	r := Request{
		Workspace: fmt.Sprint("w", c.workspace), Kind: c.kind.Name, Urgency: c.kind.Urgency, CostMs: c.kind.WorkMs,
		ObjectiveAt: c.at + c.kind.ObjectiveMs, DeadlineAt: c.route, PatienceUntil: c.patience, Bytes: 1000,
		ReturnOf: fmt.Sprintf("%p", c), Again: len(c.tried) > 0,
	}
	if c.kind.PrefillMs > 0 {
		r.CostMs, r.Prompt = c.kind.PrefillMs, true
	}
	return r
}

func (s *sim) decide(c *simCall, t Ticket) {
	c.heldMs += t.WaitedMs
	switch t.Decision {
	case Admitted:
		s.attempt(c)
	case Held:
		c.ticket, c.waited = t, true
		s.heldOf[c.instance][t.ID] = c
	case Refused:
		s.refuse(c, t.RetryAfterMs)
	}
}

func (s *sim) release(i int) {
	for _, t := range slices.Clone(s.ctrl[i].Release(s.now, s.room(i))) {
		c := s.heldOf[i][t.ID]
		if c == nil {
			panic("a ticket without a request")
		}
		delete(s.heldOf[i], t.ID)
		s.decide(c, t)
	}
}

// loadSeen returns the load of an upstream as an instance knows it.
func (s *sim) loadSeen(i int, u *simUpstream) int {
	at := s.seen[i] - simStart
	if at < 0 || int(at) >= len(u.history) {
		return 0
	}
	return u.history[at]
}

func (s *sim) room(i int) kcroom.Room {
	r := kcroom.Room{AgeMs: s.now - s.seen[i]}
	if i >= s.Instances-s.blindInstances {
		r.AgeMs = 5000
	}
	r.HoldMs = s.holdMs
	prefill := -1.0
	for _, u := range s.ups {
		load := s.loadSeen(i, u)
		r.Upstreams++
		r.Slots += s.Slots
		r.Busy += load
		r.Free += max(s.Slots-load, 0)
		r.Queueable += s.Queue - min(max(load-s.Slots, 0), s.Queue)
		if left := max(u.prefillFree-float64(s.now), 0); prefill < 0 || left < prefill {
			prefill = left
		}
	}
	r.PrefillMs = max(prefill, 0)
	if over := r.Busy + 1 - r.Slots; r.Free == 0 && over > 0 {
		r.WaitMs = r.HoldMs * float64(over) / float64(r.Slots)
	}
	return r
}

// attempt sends a call to the less loaded of two upstreams.
func (s *sim) attempt(c *simCall) {
	var options []int
	for u := range s.ups {
		if !slices.Contains(c.tried, u) && s.now-s.fullAt[c.instance][u] > 100 {
			options = append(options, u)
		}
	}
	if len(options) == 0 {
		for u := range s.ups {
			if !slices.Contains(c.tried, u) {
				options = append(options, u)
			}
		}
	}
	s.rnd.Shuffle(len(options), func(i, k int) { options[i], options[k] = options[k], options[i] })
	if len(options) == 0 {
		s.refuse(c, s.full(c))
		return
	}
	n := slices.MinFunc(options[:min(2, len(options))], func(a, b int) int {
		return cmp.Compare(s.loadSeen(c.instance, s.ups[a]), s.loadSeen(c.instance, s.ups[b]))
	})
	u := s.ups[n]
	if len(u.running) < s.Slots || len(u.queue) < s.Queue {
		u.queue = append(u.queue, c)
		return
	}
	s.rejected++
	s.fullAt[c.instance][n] = s.now
	c.tried = append(c.tried, n)
	if s.retries[c.instance] < 1 {
		s.refuse(c, s.full(c))
		return
	}
	s.retries[c.instance]--
	if !s.admission {
		s.attempt(c)
		return
	}
	s.decide(c, s.ctrl[c.instance].Enter(s.now, s.request(c), s.room(c.instance)))
}

// full returns when a caller whose request found all upstreams full should return.
func (s *sim) full(c *simCall) kcclock.Millis {
	if !s.admission {
		return 700
	}
	return s.ctrl[c.instance].Refuse(s.now, s.request(c), s.room(c.instance), ReasonShortage).RetryAfterMs
}

// refuse makes a caller return if it still has time.
func (s *sim) refuse(c *simCall, after kcclock.Millis) {
	left := c.patience - s.now
	if !c.obedient {
		after = 5
	}
	if after <= left/3 && after > 0 && c.tries < 8 {
		s.returning[s.now+after] = append(s.returning[s.now+after], c)
		return
	}
	c.outcome = "refused"
	if s.now-c.at > c.kind.ObjectiveMs {
		c.outcome = "refusedLate"
	}
}

// by returns the results of the calls that have had time to end, by a property.
func (s *sim) by(property func(c *simCall) string) map[string]*simResult {
	out := make(map[string]*simResult)
	for _, c := range s.calls {
		if c.outcome == "" && c.patience >= s.now || c.outcome == "lost" {
			continue
		}
		r := out[property(c)]
		if r == nil {
			r = &simResult{}
			out[property(c)] = r
		}
		r.add(c)
	}
	return out
}

func all(*simCall) string { return "all" }

func byKind(c *simCall) string { return c.kind.Name }

func byWorkspace(c *simCall) string { return fmt.Sprint("w", c.workspace) }

func byObedience(c *simCall) string { return fmt.Sprint("obedient ", c.obedient) }

func loadNamed(t *testing.T, name string) simLoad {
	t.Helper()
	raw, err := os.ReadFile("testdata/loads.json")
	var loads []simLoad
	if err == nil {
		err = json.Unmarshal(raw, &loads)
	}
	if err != nil {
		t.Fatal(err)
	}
	i := slices.IndexFunc(loads, func(l simLoad) bool { return l.Name == name })
	if i < 0 {
		t.Fatalf("no load %q", name)
	}
	return loads[i]
}
