package kcquarantine_test

import (
	"encoding/json"
	"reflect"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

type fixture struct {
	*kcquarantine.Tracker
	clock   *kcclock.Manual
	crashes uint64
	blocked []kcquarantine.Block
}

func newFixture(instance string) *fixture {
	f := &fixture{clock: kcclock.NewManual(1_000_000)}
	f.Tracker = kcquarantine.New(kcquarantine.Options{
		Clock: f.clock, Instance: instance, OnBlocked: func(b kcquarantine.Block) { f.blocked = append(f.blocked, b) },
	})
	return f
}

func parts(ids ...string) []kcquarantine.Part { return kcquarantine.SharedParts(append(ids, "own")) }

// crash records a crash under a request, a second after the last one.
func (f *fixture) crash(workspace uint64, ids ...string) {
	f.clock.Advance(kcclock.Second)
	f.crashes++
	f.Crashed(kcquarantine.Evidence{
		Crash: f.crashes, Upstream: "u" + strconv.FormatUint(f.crashes, 10), Request: "q", Workspace: workspace, At: f.clock.Now(),
		Phase: kcquarantine.Answering, Parts: parts(ids...),
	})
}

func (f *fixture) admit(workspace uint64, ids ...string) kcquarantine.Decision {
	return f.Admit(kcquarantine.Request{Parts: parts(ids...), Workspace: workspace})
}

func (f *fixture) wantAction(t *testing.T, want kcquarantine.Action, workspace uint64, ids ...string) {
	t.Helper()
	if d := f.admit(workspace, ids...); d.Action != want {
		t.Errorf("%v: %s, want %s: %+v", ids, d.Action, want, d)
	}
}

// Guards against a block of the part that belongs to the request or its session.
func TestLastPartIsNotBlamed(t *testing.T) {
	if got := kcquarantine.SharedParts([]string{"a", "b", "own"}); !reflect.DeepEqual(got, parts("a", "b")) {
		t.Errorf("%v", got)
	}
	if got := kcquarantine.SharedParts([]string{"own"}); len(got) > 0 {
		t.Errorf("%v: want none for a prompt of one part", got)
	}
}

// Guards against a part that stays blocked, and against several requests that
// test it at once.
func TestBlockEndsWithOneTrial(t *testing.T) {
	f := newFixture("i")
	for range 3 {
		f.wantNot(t, kcquarantine.Reject, 1, "crashing")
		f.crash(1, "crashing")
	}
	f.wantAction(t, kcquarantine.Reject, 1, "crashing")
	d := f.admit(1, "crashing")
	f.clock.Advance(d.WaitMs - 1)
	f.wantAction(t, kcquarantine.Reject, 1, "crashing")
	f.clock.Advance(1)
	f.wantAction(t, kcquarantine.Trial, 1, "crashing")
	f.wantAction(t, kcquarantine.Reject, 1, "crashing")
	f.Answered(parts("crashing"))
	f.wantAction(t, kcquarantine.Send, 1, "crashing")
}

func (f *fixture) wantNot(t *testing.T, unwanted kcquarantine.Action, workspace uint64, ids ...string) {
	t.Helper()
	if d := f.admit(workspace, ids...); d.Action == unwanted {
		t.Errorf("%v: %s", ids, d.Action)
	}
	f.EndTrial(parts(ids...))
}

// Guards against a failed trial that does not make the next one wait longer.
func TestFailedTrialsBecomeRarer(t *testing.T) {
	f := newFixture("i")
	last := kcclock.Millis(0)
	for n := range 12 {
		f.crash(1, "crashing")
		d := f.admit(1, "crashing")
		if d.WaitMs < last || n < 6 && d.WaitMs == last {
			t.Errorf("crash %d: wait of %d ms after one of %d ms", n+1, d.WaitMs, last)
		}
		last = d.WaitMs
	}
}

// Guards against a part that is blocked because it was in the same requests as
// the one at fault.
func TestPartBesideBlockedOneIsTried(t *testing.T) {
	f := newFixture("i")
	for range 3 {
		f.crash(1, "subject", "crashing")
	}
	f.wantAction(t, kcquarantine.Reject, 1, "subject", "crashing")
	f.clock.Advance(kcclock.Second)
	f.wantAction(t, kcquarantine.Trial, 1, "subject")
	f.Answered(parts("subject"))
	f.wantAction(t, kcquarantine.Send, 1, "subject")
	f.wantAction(t, kcquarantine.Reject, 1, "subject", "crashing")
	// Another part that was only seen in one of the crashes needs no trial.
	g := newFixture("i")
	for _, subject := range []string{"a", "b", "c"} {
		g.crash(1, subject, "crashing")
	}
	g.wantAction(t, kcquarantine.Send, 1, "a")
	g.wantAction(t, kcquarantine.Reject, 1, "d", "crashing")
}

// Guards against a workspace that blocks a part of the requests of another one.
func TestWorkspaceDoesNotBlockPartsOfOthers(t *testing.T) {
	f := newFixture("i")
	for n := range 8 {
		f.crash(1, "victim", "made up "+strconv.Itoa(n))
	}
	f.wantAction(t, kcquarantine.Reject, 1, "victim")
	f.clock.Advance(kcclock.Second)
	f.wantAction(t, kcquarantine.Trial, 2, "victim")
	f.Answered(parts("victim"))
	f.wantAction(t, kcquarantine.Send, 2, "victim")
}

// Guards against made-up parts that fill the memory or displace a block.
func TestMadeUpPartsDoNotDisplaceBlock(t *testing.T) {
	f := newFixture("i")
	for range 3 {
		f.crash(1, "crashing")
	}
	for n := range 3000 {
		f.clock.Advance(-kcclock.Second) // all within the time of the block
		f.crash(2, "made up "+strconv.Itoa(n), "and "+strconv.Itoa(n))
	}
	f.wantAction(t, kcquarantine.Reject, 1, "crashing")
	if n := f.Suspects(); n > 1024 {
		t.Errorf("%d suspects", n)
	}
}

// Guards against a common part that is blocked because upstreams crash together,
// for whatever reason, or one after the other while others answer it.
func TestCommonPartIsNotBlocked(t *testing.T) {
	f := newFixture("i")
	for n := range 20 {
		f.Answered(parts("class"))
		f.clock.Advance(-kcclock.Second)
		f.crash(1, "class")
		f.wantAction(t, kcquarantine.Send, 1, "class")
		if n%2 == 1 {
			f.clock.Advance(kcclock.Second)
		}
	}
	if len(f.blocked) > 0 {
		t.Errorf("%+v", f.blocked)
	}
}

// Guards against a request that crashes one upstream after the other because its
// parts were answered before.
func TestRequestThatCrashedIsNotSentAtOnce(t *testing.T) {
	f := newFixture("i")
	f.Answered(parts("subject"))
	f.crash(1, "subject")
	f.wantAction(t, kcquarantine.Send, 1, "subject")
	r := kcquarantine.Request{Parts: parts("subject"), Workspace: 1, Crashed: true}
	if d := f.Admit(r); d.Action != kcquarantine.Wait {
		t.Errorf("%+v", d)
	}
	f.Answered(parts("subject"))
	if d := f.Admit(r); d.Action != kcquarantine.Send {
		t.Errorf("%+v after an answer to another request", d)
	}
}

// Guards against a block on the evidence of requests that only ran beside the one
// at fault.
func TestRequestsBesideCrashesDoNotBlock(t *testing.T) {
	f := newFixture("i")
	for n := range 9 {
		f.clock.Advance(kcclock.Second)
		f.Crashed(kcquarantine.Evidence{
			Crash: uint64(n + 1), Workspace: 1, At: f.clock.Now(), Phase: kcquarantine.Reading, Parts: parts("class"),
		})
	}
	f.wantNot(t, kcquarantine.Reject, 1, "class")
}

// Guards against one wrong block that rejects most of the traffic.
func TestPartOfMostRequestsIsNotBlocked(t *testing.T) {
	f := newFixture("i")
	for range 3 {
		f.crash(1, "class")
	}
	f.wantAction(t, kcquarantine.Reject, 1, "class")
	trials := 0
	for n := range 200 {
		f.clock.Advance(100)
		prompt := parts("class", "subject"+strconv.Itoa(n))
		f.CountRequest(prompt)
		if f.Admit(kcquarantine.Request{Parts: prompt, Workspace: 1}).Action == kcquarantine.Trial {
			trials++
			f.clock.Advance(-kcclock.Second)
			f.crash(1, "class")
		}
	}
	if trials < 5 || trials > 20 {
		t.Errorf("%d trials in 20 s", trials)
	}
}

// Guards against a part that is never blocked because it was answered before.
func TestPartThatBecomesCrashingIsBlocked(t *testing.T) {
	f := newFixture("i")
	f.Answered(parts("subject"))
	for range 3 {
		f.wantAction(t, kcquarantine.Send, 1, "subject")
		f.crash(1, "subject")
	}
	f.wantAction(t, kcquarantine.Reject, 1, "subject")
}

// Guards against an instance that does not learn of a block from its peers or,
// after a start, from the store, and against one that keeps it once the part was
// answered elsewhere.
func TestBlockIsSharedAndCleared(t *testing.T) {
	a, b, late := newFixture("a"), newFixture("b"), newFixture("late")
	for range 3 {
		a.crash(1, "crashing")
		r, _ := a.Outgoing()
		b.clock.Advance(a.clock.Now() - b.clock.Now())
		b.Merge(r)
	}
	b.wantAction(t, kcquarantine.Reject, 1, "crashing")
	raw, err := json.Marshal(a.blocked[0])
	var stored kcquarantine.Block
	if err == nil {
		err = json.Unmarshal(raw, &stored)
	}
	if err != nil {
		t.Fatal(err)
	}
	late.clock.Advance(a.clock.Now() - late.clock.Now())
	if !late.Restore(stored) {
		t.Error("the stored block changes nothing")
	}
	late.wantAction(t, kcquarantine.Reject, 1, "crashing")
	a.clock.Advance(kcclock.Minute)
	a.Answered(parts("crashing"))
	r, _ := a.Outgoing()
	b.clock.Advance(kcclock.Minute)
	b.Merge(r)
	b.wantAction(t, kcquarantine.Send, 1, "crashing")
	late.Lift(parts("crashing")[0])
	late.wantAction(t, kcquarantine.Send, 1, "crashing")
}

// Guards against an instance that has restarted and sends what its peers suspect.
func TestRestartedInstanceLearnsSuspects(t *testing.T) {
	a, late := newFixture("a"), newFixture("late")
	a.crash(1, "crashing")
	late.clock.Advance(a.clock.Now() - late.clock.Now())
	late.Merge(a.Snapshot())
	select {
	case <-late.Synced():
	default:
		t.Error("not synced after a complete report")
	}
	late.wantAction(t, kcquarantine.Wait, 1, "crashing")
	a.Answered(parts("crashing"))
	if r := a.Snapshot(); len(r.Evidence)+len(r.Trials) > 0 || !r.Complete {
		t.Errorf("%+v after an answer", r)
	}
}

// Guards against a sound request that is rejected because another one is on trial.
func TestRequestWaitsForTheTrialOfAnother(t *testing.T) {
	f := newFixture("i")
	f.crash(1, "subject")
	f.clock.Advance(kcclock.Second)
	f.wantAction(t, kcquarantine.Trial, 1, "subject")
	go func() {
		f.clock.AwaitWaiters(1)
		f.Answered(parts("subject"))
	}()
	left := kcclock.Second // the trial may run for longer
	if d := f.Await(t.Context(), kcquarantine.Request{Parts: parts("subject"), Workspace: 1}, &left); d.Action != kcquarantine.Send {
		t.Errorf("%+v", d)
	}
}

// Guards against two trials of one part at two instances that hear each other.
func TestTrialsExcludeEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newFixture("a"), newFixture("b")
		onTrial := map[*fixture]bool{}
		exchange := func() {
			for _, pair := range [][2]*fixture{{a, b}, {b, a}} {
				if r, ok := pair[0].Outgoing(); ok {
					pair[1].Merge(r)
				}
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			f := a
			if rapid.Bool().Draw(t, "b") {
				f = b
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				d := kcclock.Millis(rapid.IntRange(0, 3000).Draw(t, "ms"))
				a.clock.Advance(d)
				b.clock.Advance(d)
				clear(onTrial) // a trial of 5 s may have expired
				f.EndTrial(parts("p"))
			case 1:
				if f.admit(1, "p").Action == kcquarantine.Trial {
					onTrial[f] = true
				}
				if onTrial[a] && onTrial[b] {
					t.Fatal("two trials at once")
				}
			case 2:
				onTrial[f] = false
				f.EndTrial(parts("p"))
			case 3:
				f.crashes += 2
				onTrial[f] = false
				f.Crashed(kcquarantine.Evidence{
					Crash: f.crashes<<8 | uint64(len(f.blocked)), At: f.clock.Now(), Phase: kcquarantine.Answering, Parts: parts("p"),
				})
			}
			exchange()
		}
	})
}

// Guards against a stored block with an unknown phase that stops the process when
// it is logged.
func TestBlockOfUnknownPhaseIsLogged(t *testing.T) {
	b := kcquarantine.Block{Evidence: []kcquarantine.Evidence{{Upstream: "u", Phase: 7}}}
	if got := b.LogValue().String(); got != "u,-0ms,reading," {
		t.Errorf("%q", got)
	}
}
