package kcadmit

import (
	"fmt"
	"math"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// playBoth plays a load with admission and, as the baseline, first come first served.
func playBoth(t *testing.T, load simLoad, seed uint64) (with, without *sim) {
	t.Helper()
	with, without = newSim(load, true, seed).play(), newSim(load, false, seed).play()
	for _, s := range []*sim{without, with} {
		t.Logf("admission %v: %v; %d rejections of upstreams", s.admission, *s.by(all)["all"], s.rejected)
		if s.doubleRuns > 0 {
			t.Errorf("%d requests ran twice", s.doubleRuns)
		}
		for i, c := range s.ctrl {
			if c.Waiting() > defaultMaxWaiting || len(s.heldOf[i]) != c.Waiting() && !s.dead(i) {
				t.Errorf("instance %d counts %d held requests, %d are", i, c.Waiting(), len(s.heldOf[i]))
			}
		}
	}
	return with, without
}

// Guards against bursts in which upstreams reject half of the arrivals and most
// responses are late, although they finish requests at the same rate as without.
func TestPlainServiceInABurst(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		with, without := playBoth(t, loadNamed(t, "plain service in a burst"), seed)
		a, b := with.by(all)["all"], without.by(all)["all"]
		if a.onTimeShare() < 1.3*b.onTimeShare() {
			t.Errorf("seed %d: %.2f of the calls are on time, %.2f without admission", seed, a.onTimeShare(), b.onTimeShare())
		}
		if a.served() < b.served()-0.06 {
			t.Errorf("seed %d: %.2f of the calls are served, %.2f without admission", seed, a.served(), b.served())
		}
		if with.rejected > without.rejected/10 {
			t.Errorf("seed %d: upstreams rejected %d requests, %d without admission", seed, with.rejected, without.rejected)
		}
		checkKinds(t, with)
	}
}

// checkKinds guards against a kind that is served less often than a less urgent one.
func checkKinds(t *testing.T, s *sim) {
	t.Helper()
	results := s.by(byKind)
	for i := range s.Kinds {
		k := &s.Kinds[i]
		t.Logf("%s, urgency %d: %v", k.Name, k.Urgency, *results[k.Name])
		for j := range s.Kinds {
			if o := &s.Kinds[j]; k.Urgency <= o.Urgency && results[k.Name].served() < results[o.Name].served()-0.05 {
				t.Errorf("%s is served in %.2f of the cases, %s in %.2f", k.Name, results[k.Name].served(), o.Name, results[o.Name].served())
			}
		}
		if results[k.Name].served() < 0.1 {
			t.Errorf("%s starves", k.Name)
		}
	}
}

// Guards against urgent requests that fare no better than patient ones, and against
// patient ones that starve.
func TestUrgentKindsComeFirst(t *testing.T) {
	t.Parallel()
	with, without := playBoth(t, loadNamed(t, "plain service, urgent and patient kinds"), 1)
	a, b := with.by(byKind), without.by(byKind)
	if a["write"].served() < 0.95 || a["write"].onTimeShare() < 1.3*b["write"].onTimeShare() {
		t.Errorf("urgent: %v; without admission: %v", *a["write"], *b["write"])
	}
	checkKinds(t, with)
}

// Guards against a burst of one kind that delays the others at engines, and against
// engines that get less work than they can do.
func TestEnginesUnderABurstOfOneKind(t *testing.T) {
	t.Parallel()
	with, without := playBoth(t, loadNamed(t, "engines, burst of one kind"), 1)
	a, b := with.by(byKind), without.by(byKind)
	for _, kind := range []string{"plan", "note"} {
		if a[kind].onTimeShare() < max(b[kind].onTimeShare(), 0.97) {
			t.Errorf("%s: %v; without admission: %v", kind, *a[kind], *b[kind])
		}
	}
	if a["check"].onTimeShare() < b["check"].onTimeShare() {
		t.Errorf("check: %v; without admission: %v", *a["check"], *b["check"])
	}
	checkKinds(t, with)
}

// Guards against one workspace that takes the capacity of the others.
func TestHotWorkspaceIsLimitedFirst(t *testing.T) {
	t.Parallel()
	with, without := playBoth(t, loadNamed(t, "one workspace at twelve times its rate"), 1)
	a, b := with.by(byWorkspace), without.by(byWorkspace)
	hot := fmt.Sprint("w", with.Bursts[0].Workspace)
	for name, r := range a {
		if name != hot && (r.served() < 0.98 || r.onTimeShare() < 1.2*b[name].onTimeShare() || r.served() < a[hot].served()) {
			t.Errorf("%s: %v; without admission: %v", name, *r, *b[name])
		}
	}
	if a[hot].served() < 0.5 {
		t.Errorf("the hot workspace starves: %v", *a[hot])
	}
}

// Guards against callers that gain by ignoring the time to return.
func TestReturningAtOnceGainsNothing(t *testing.T) {
	t.Parallel()
	with, _ := playBoth(t, loadNamed(t, "callers that retry at once"), 1)
	r := with.by(byObedience)
	t.Logf("obedient: %v; others: %v", *r["obedient true"], *r["obedient false"])
	if r["obedient true"].served() < r["obedient false"].served() {
		t.Error("callers that ignore the time to return are served more often")
	}
}

// Guards against a larger advantage of callers that ignore the time to return where a
// return cannot be told from a new request. Then both come in the order of their
// deadlines, and obeying costs the time that is spent outside of the queue.
func TestReturningAtOnceWithoutAName(t *testing.T) {
	t.Parallel()
	with, _ := playBoth(t, loadNamed(t, "callers without a name that retry at once"), 1)
	r := with.by(byObedience)
	t.Logf("obedient: %v; others: %v", *r["obedient true"], *r["obedient false"])
	if r["obedient true"].served() < r["obedient false"].served()-0.08 {
		t.Error("callers that ignore the time to return are served much more often")
	}
}

// Guards against requests that are held or refused although there is room.
func TestCalmHoldsNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		with, _ := playBoth(t, loadNamed(t, "calm"), seed)
		if r := with.by(all)["all"]; r.waited+r.refused+r.refusedLate+r.late > 0 || r.calls < 4000 {
			t.Errorf("seed %d: %v", seed, *r)
		}
	}
}

// Guards against a load that oscillates after a step: the figures are older than the
// time in which the queues of the upstreams fill.
func TestStepSettles(t *testing.T) {
	t.Parallel()
	load := loadNamed(t, "plain service in a burst")
	load.Bursts = []simBurst{{FromMs: 3000, ToMs: 14_000, Factor: 3.9}}
	with, _ := playBoth(t, load, 1)
	least, most := math.MaxInt, 0
	for _, n := range with.busy[6000:12_000] {
		least, most = min(least, n), max(most, n)
	}
	t.Logf("from 3 s after the step, the upstreams hold %d to %d requests", least, most)
	slots, room := load.Upstreams*load.Slots, load.Upstreams*(load.Slots+load.Queue)
	if least < slots+5 || most > room*9/10 || most-least > room/2 {
		t.Errorf("the upstreams hold %d to %d requests; they have %d slots and room for %d", least, most, slots, room)
	}
}

// Each case guards against one failure that turns a shortage into something worse
// than first come first served.
func TestFailuresUnderAShortage(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*simLoad){
		"reports are lost":              func(l *simLoad) { l.lostPercent = 70 },
		"reports are late":              func(l *simLoad) { l.AgeMs = 600 },
		"one instance knows nothing":    func(l *simLoad) { l.blindInstances = 1 },
		"half of the instances die":     func(l *simLoad) { l.deadInstances, l.deadAtMs = l.Instances/2, 4500 },
		"half of the calls in one zone": func(l *simLoad) { l.skewed = true },
		"an upstream says it is idle":   func(l *simLoad) { l.liarFactor = 0.01 },
		"an upstream says it is full":   func(l *simLoad) { l.liarFactor = 4 },
		"nothing is known":              func(l *simLoad) { l.blindInstances = l.Instances },
		"callers return in a storm":     func(l *simLoad) { l.ObedientShare = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load := loadNamed(t, "plain service in a burst")
			change(&load)
			with, without := playBoth(t, load, 1)
			a, b := with.by(all)["all"], without.by(all)["all"]
			gained := float64(a.onTime)+0.5*float64(a.late) >= 0.97*(float64(b.onTime)+0.5*float64(b.late))
			if !gained || a.served() < b.served()-0.12 {
				t.Errorf("%v; without admission: %v", *a, *b)
			}
		})
	}
}

// Guards against requests that are held on old or missing figures, and against
// invalid ones.
func TestUnknownRoomAdmits(t *testing.T) {
	r := Request{Workspace: "w", Kind: "k", CostMs: 60, ObjectiveAt: 1300, DeadlineAt: 3500}
	full := kcroom.Room{Upstreams: 7, Slots: 42, Busy: 210, HoldMs: 60, WaitMs: 240, AgeMs: 100}
	for name, change := range map[string]func(*kcroom.Room){
		"old": func(m *kcroom.Room) { m.AgeMs = 1501 }, "no upstreams": func(m *kcroom.Room) { m.Upstreams = 0 },
		"no slots": func(m *kcroom.Room) { m.Slots = 0 }, "no hold": func(m *kcroom.Room) { m.HoldMs = 0 },
		"not a number": func(m *kcroom.Room) { m.HoldMs = math.NaN() }, "infinite": func(m *kcroom.Room) { m.HoldMs = math.Inf(1) },
	} {
		c, room := New(Options{}), full
		change(&room)
		for range 20 {
			if x := c.Enter(1000, r, room); x.Decision != Admitted || x.Reason != ReasonStale {
				t.Fatalf("%s: %v, %s", name, x.Decision, x.Reason)
			}
		}
	}
	c := New(Options{})
	for range 20 {
		c.Enter(1000, r, full)
	}
	if c.Waiting() == 0 {
		t.Fatal("nothing is held at full upstreams")
	}
	old := full
	old.AgeMs = 5000
	if list := c.Release(1010, old); c.Waiting() > 0 || len(list) == 0 || list[0].Decision != Admitted {
		t.Errorf("%d requests are still held after the figures have become too old", c.Waiting())
	}
}

// Guards against a process that was frozen with a full queue: requests whose
// deadline has passed meanwhile must not be sent, and none is lost.
func TestFrozenInstance(t *testing.T) {
	c, full := New(Options{}), kcroom.Room{Upstreams: 7, Slots: 42, Busy: 210, HoldMs: 60, WaitMs: 240}
	c.SetSenders(80)
	held := 0
	for i := range 30 {
		r := Request{Workspace: "w", Kind: "k", CostMs: 60, ObjectiveAt: 1300, DeadlineAt: 5000}
		if c.Enter(1000+kcclock.Millis(i), r, full).Decision == Held {
			held++
		}
	}
	list := c.Release(61_000, kcroom.Room{Upstreams: 7, Slots: 42, Busy: 0, Free: 42, Queueable: 168, HoldMs: 60})
	for _, x := range list {
		if x.Decision != Refused || x.Reason != ReasonExpired {
			t.Errorf("a request is %v after its deadline (%s)", x.Decision, x.Reason)
		}
	}
	if len(list) != held || held == 0 || c.Waiting() != 0 {
		t.Errorf("%d of %d held requests are decided, %d still held", len(list), held, c.Waiting())
	}
}

// Guards against queues without a bound, and against places that a caller keeps
// after it has disconnected.
func TestHeldRequestsAreBounded(t *testing.T) {
	c, full := New(Options{MaxWaiting: 8, MaxBytes: 1000}), kcroom.Room{Upstreams: 1, Slots: 6, Busy: 30, HoldMs: 60, WaitMs: 240}
	r := Request{Workspace: "w", Kind: "k", CostMs: 60, ObjectiveAt: 2300, DeadlineAt: 90_000, Bytes: 100}
	var last Ticket
	for range 30 {
		if x := c.Enter(1000, r, full); x.Decision == Held {
			last = x
		}
	}
	if c.Waiting() != 8 {
		t.Errorf("%d requests are held, want 8", c.Waiting())
	}
	for range 2 {
		c.Leave(1000, last)
	}
	if c.Waiting() != 7 || c.bytes != 700 {
		t.Errorf("%d requests with %d bytes are held after one has left, want 7 with 700", c.Waiting(), c.bytes)
	}
	r.Bytes = 900
	c.Enter(1000, r, full)
	if c.bytes > 1000 {
		t.Errorf("%d bytes are held, want at most 1000", c.bytes)
	}
}

// Guards against callers that are told to return at the same time, against times that
// they do not wait for, and against a returned caller that queues behind new ones.
func TestReturnsAreInOrder(t *testing.T) {
	c, full := New(Options{}), kcroom.Room{Upstreams: 7, Slots: 42, Busy: 210, HoldMs: 60, WaitMs: 240}
	c.SetSenders(10)
	last := kcclock.Millis(0)
	for i := range 20 {
		r := Request{Kind: "k", CostMs: 60, ObjectiveAt: 1300, DeadlineAt: 1500, PatienceUntil: 6000, ReturnOf: fmt.Sprint(i)}
		after := c.Refuse(1000, r, full, ReasonShortage).RetryAfterMs
		if after <= last || after > 5000/3 {
			t.Errorf("caller %d is told to return after %d ms, the one before after %d", i, after, last)
		}
		last = after
	}
	for c.Enter(1001, Request{Kind: "k", CostMs: 60, ObjectiveAt: 9000, DeadlineAt: 9500}, full).Decision == Admitted {
	}
	early := c.Enter(1001, Request{Kind: "k", CostMs: 60, ObjectiveAt: 1300, DeadlineAt: 2500, ReturnOf: "9"}, full)
	c.tokens = 0
	in := Request{Kind: "k", CostMs: 60, ObjectiveAt: 9000, DeadlineAt: 9500}
	other := c.Enter(1280, in, full)
	in.ReturnOf = "3"
	back := c.Enter(1280, in, full)
	if early.Decision != Refused || early.RetryAfterMs < 100 || back.Decision != Admitted || other.Decision != Held {
		t.Errorf("early: %v, to return after %d ms; in time: %v; new: %v",
			early.Decision, early.RetryAfterMs, back.Decision, other.Decision)
	}
}

// Guards against a workspace that sends several times as much as the others and still
// runs ahead of the pace.
func TestHeavyWorkspaceHasNoCredit(t *testing.T) {
	u := newUsage()
	for i := range 300 {
		u.add(1000+kcclock.Millis(i), "heavy", 60)
		if i%10 < 3 {
			u.add(1000+kcclock.Millis(i), fmt.Sprint("w", i%10), 60)
		}
	}
	if heavy, light := u.credit(1300, "heavy"), u.credit(1300, "w1"); heavy > 0.1 || light < 1 {
		t.Errorf("credit %v for ten times the requests of the others, %v for them", heavy, light)
	}
}

// Guards against a pressure that follows callers which return shortly before their
// objective passes: it would look as if the service had a very short one.
func TestReturnsDoNotShortenTheObjective(t *testing.T) {
	c, room := New(Options{}), kcroom.Room{Upstreams: 7, Slots: 42, Busy: 60, Queueable: 150, HoldMs: 60}
	for i := range 100 {
		now := kcclock.Millis(1000 + 10*i)
		for _, left := range []kcclock.Millis{300, 1} {
			c.Enter(now+left%2, Request{Kind: "k", CostMs: 60, ObjectiveAt: now + left, DeadlineAt: now + 2500}, room)
		}
	}
	c.objectiveAt = 0
	c.Enter(2000, Request{Kind: "k", CostMs: 60, ObjectiveAt: 2001, DeadlineAt: 4500}, room)
	if c.objective != 300 || c.Pressure() > 0.3 {
		t.Errorf("objective %v ms, pressure %v", c.objective, c.Pressure())
	}
}

// Guards against kinds of the same urgency of which one is served at the cost of the
// other.
func TestLeastServedKindIsNext(t *testing.T) {
	c, full := New(Options{}), kcroom.Room{Upstreams: 7, Slots: 42, Busy: 210, HoldMs: 60, WaitMs: 240}
	for range 30 {
		for _, kind := range []string{"a", "b", "c"} {
			c.Enter(1000, Request{Kind: kind, CostMs: 60, ObjectiveAt: 3000, DeadlineAt: 90_000}, full)
		}
	}
	for i, l := range c.lanes.list {
		l.kind.served.n = float64(20 - i)
	}
	last := c.lanes.list[2]
	if l, late := c.lanes.next(1000); l != last || late {
		t.Errorf("kind %s is next, want %s, which is served least", l.laneKey.kind, last.laneKey.kind)
	}
}

// Guards against capacity that stays unused because other instances have nothing held,
// and against an instance that keeps more than its share afterwards.
func TestShareGrowsWhileCapacityIsUnused(t *testing.T) {
	c, room := New(Options{}), kcroom.Room{Upstreams: 7, Slots: 42, Busy: 110, Queueable: 100, HoldMs: 60}
	c.SetSenders(80)
	r := Request{Kind: "k", CostMs: 60, ObjectiveAt: 99_000, DeadlineAt: 99_000}
	now := kcclock.Millis(1000)
	for ; now < 21_000; now += 10 {
		c.Enter(now, r, room)
		c.Release(now, room)
	}
	grown := c.share
	for ; now < 61_000; now += 10 {
		c.Release(now, kcroom.Room{Upstreams: 7, Slots: 42, Queueable: 168, HoldMs: 60})
	}
	if grown < 1.5 || grown > maxShare || math.Abs(c.share-1) > 0.1 {
		t.Errorf("share %.2f after 20 s with unused capacity, %.2f after 40 s of calm", grown, c.share)
	}
}

// Guards against a step in the pressure when the figures become too old.
func TestPressureFadesWithTheAgeOfTheFigures(t *testing.T) {
	c, last := New(Options{}), 10.0
	for age := kcclock.Millis(0); age <= 1600; age += 10 {
		c.update(1000, kcroom.Room{Upstreams: 7, Slots: 42, Busy: 210, HoldMs: 60, AgeMs: age})
		if p := c.Pressure(); p > last || age > 10 && last-p > 0.05 {
			t.Fatalf("the pressure changes from %.2f to %.2f at an age of %d ms", last, p, age)
		}
		last = c.Pressure()
	}
	if last != 0 {
		t.Errorf("pressure %.2f with figures of 1,600 ms", last)
	}
}
