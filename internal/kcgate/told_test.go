package kcgate

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// orderFleet is some instances that tell each other of sessions.
type orderFleet struct {
	clock *kcclock.Manual
	all   []*Rollouts
	have  versions
}

func newOrderFleet(n int) *orderFleet {
	f := &orderFleet{
		clock: kcclock.NewManual(1_000_000), have: versions{counts: map[string]int{"v1": 12, "v2": 12}, first: "v1"},
	}
	for i := range n {
		o := newTestOrders(f.clock)
		o.opts.Deployment.Instance = fmt.Sprint("i", i)
		f.all = append(f.all, o)
	}
	return f
}

func (f *orderFleet) order() {
	for _, o := range f.all {
		o.ApplyOrder(kctable.Order{Service: "s", Target: "v2", SpanMs: 24_000, Offset: 3}, true)
		o.ApplyProgress(kctable.Progress{Service: "s", Target: "v2", Order: 3})
	}
}

// conclude lets an instance judge, and publishes what it concludes.
func (f *orderFleet) conclude(judge int) {
	if p, _, ok := f.all[judge].conclude("s", f.have); ok {
		f.publish(p)
	}
}

func (f *orderFleet) publish(p kctable.Progress) {
	for _, o := range f.all {
		o.ApplyProgress(p)
	}
}

// tell passes the messages of all instances on, as they travel.
func (f *orderFleet) tell(all bool) {
	for _, from := range f.all {
		for _, m := range from.SessionUpdates(all) {
			for _, raw := range kcload.EncodeSessions(m) {
				m, err := kcload.DecodeSessions(raw)
				for _, to := range f.all {
					if err == nil && to != from {
						to.MergeSessions(m)
					}
				}
			}
		}
	}
}

// ask lets an instance serve a request and returns its version, which is empty
// if the request is refused.
func (f *orderFleet) ask(n int, session string) string {
	o, version := f.all[n], ""
	p := o.allow("s", session, f.have)
	for v := range f.have.counts {
		if p.allows(v) {
			version = v
		}
	}
	if version == "" {
		return ""
	}
	o.enter(sessionKey{"s", session}, version, true)
	o.leave(sessionKey{"s", session})
	return version
}

// targetNames returns names of sessions that go to the target in the first step
// if they are new.
func targetNames(n int) (list []string) {
	for i := 0; len(list) < n; i++ {
		if s := fmt.Sprint("s", i); point(s) < kcrollout.FirstShare(0.15) {
			list = append(list, s)
		}
	}
	return list
}

// Guards against a session that changes its version when its requests go round
// the instances, before, at and after the first step of an order.
func TestSessionsKeepTheirVersionAtAllInstances(t *testing.T) {
	f := newOrderFleet(5)
	was := make(map[string]string)
	ask := func(at int, session string) {
		if got := f.ask(at, session); was[session] == "" {
			was[session] = got
		} else if was[session] != got {
			t.Fatalf("session %s moved from %s to %s", session, was[session], got)
		}
	}
	sessions := targetNames(300)
	for step := range 100 {
		if step == 20 {
			f.order()
		}
		// 30 sessions at a time, each with a request every 1.5 s for 6 s.
		for n := range 30 {
			if (step+n)%15 == 0 {
				ask((step/15+n)%len(f.all), sessions[n+30*((step+n)/60)])
			}
		}
		f.clock.Advance(100)
		f.tell(step%5 == 0)
		f.conclude(step % len(f.all))
	}
	moved := 0
	for _, v := range was {
		if v == "v2" {
			moved++
		}
	}
	if moved == 0 {
		t.Error("no new session went to the target")
	}
}

// Guards against sessions that are held at the old version after they are over.
func TestToldSessionsEnd(t *testing.T) {
	f := newOrderFleet(2)
	session := targetNames(1)[0]
	f.ask(0, session)
	f.order()
	f.clock.Advance(kcrollout.GatherMs)
	f.tell(true)
	f.conclude(0)
	if f.all[1].allow("s", session, f.have).reason != byPeer {
		t.Error("a session of another instance is not known")
	}
	f.clock.Advance(5001 + toldSlackMs)
	f.tell(true)
	if got := f.ask(1, session); got != "v2" {
		t.Errorf("a session that is over stays at %s", got)
	}
	// Nothing is told once the target gets all requests.
	f.ask(0, "other")
	for _, o := range f.all {
		o.ApplyProgress(kctable.Progress{Service: "s", Target: "v2", Order: 3, Step: 1})
		if got := o.SessionUpdates(true); len(got) != 0 {
			t.Errorf("%+v is told after the first step", got)
		}
	}
}

// Guards against an instance that starts during an order and keeps its sessions
// at the old version, because fewer upstreams of the target are left.
func TestLateInstanceTakesTheFirstStep(t *testing.T) {
	f := newOrderFleet(2)
	f.order()
	f.clock.Advance(kcrollout.GatherMs)
	f.conclude(0)
	session := targetNames(1)[0]
	was := f.ask(0, session)
	f.have.counts["v2"] = 5
	f.clock.Advance(1000)
	late := newTestOrders(f.clock)
	late.ApplyOrder(kctable.Order{Service: "s", Target: "v2", SpanMs: 24_000, Offset: 3}, false)
	late.ApplyProgress(f.all[0].services["s"].progress)
	f.all[1] = late
	if got := f.ask(1, session); got != was || was != "v2" {
		t.Errorf("a session of the target moved from %s to %s", was, got)
	}
}

// Guards against an instance that has just started and moves sessions that it
// served before, or that others serve, to the target.
func TestStartedInstanceCatchesUp(t *testing.T) {
	f := newOrderFleet(3)
	names := targetNames(2)
	f.ask(0, names[0])
	f.ask(2, names[1])
	f.order()
	f.clock.Advance(kcrollout.GatherMs)
	f.tell(true)
	f.conclude(1)
	started := newTestOrders(f.clock)
	started.ApplyOrder(kctable.Order{Service: "s", Target: "v2", SpanMs: 24_000, Offset: 3}, false)
	started.ApplyProgress(f.all[1].services["s"].progress)
	if known, _ := started.await(sessionKey{"s", names[0]}); known == nil || isClosed(known) {
		t.Error("a session of the share need not wait")
	}
	for _, order := range started.AwaitingSessions() {
		for _, m := range f.all[1].SessionSnapshot(order) {
			started.MergeSessions(m)
		}
	}
	f.all[0] = started
	for _, name := range names {
		if known, _ := started.await(sessionKey{"s", name}); known != nil {
			t.Error("a session waits although all is known")
		}
		if got := f.ask(0, name); got != "v1" {
			t.Errorf("session %s moved to %s", name, got)
		}
	}
}

// Guards against a session whose version was stopped by one order and that goes
// on with another version in the first step of the next, at any instance.
func TestSessionsOfAStoppedVersionWait(t *testing.T) {
	f := newOrderFleet(2)
	f.order()
	f.clock.Advance(12_000)
	f.ask(0, "s")
	f.publish(kctable.Progress{Service: "s", Target: "v2", Order: 3, Opened: true, Step: 1, Stage: kctable.Complete})
	f.have.counts = map[string]int{"v1": 1, "v2": 12, "v3": 12}
	for _, o := range f.all {
		o.ApplyOrder(kctable.Order{Service: "s", Target: "v3", SpanMs: 24_000, Offset: 4}, true)
	}
	f.clock.Advance(100)
	f.tell(false)
	for n, o := range f.all {
		if got := f.ask(n, "s"); got != "" {
			t.Errorf("instance %d serves the session with %s", n, got)
		}
		if p := o.allow("s", "s", f.have); p.waitMs < 4900 || p.waitMs > 5100 {
			t.Errorf("instance %d proposes to wait for %d ms", n, p.waitMs)
		}
	}
	// A new session does not go to an upstream that is still listed.
	if got := f.ask(0, "new"); got != "v2" {
		t.Errorf("a new session runs on %q", got)
	}
	f.clock.Advance(5000 + toldSlackMs)
	for n := range f.all {
		if got := f.ask(n, "s"); got != "v2" {
			t.Errorf("instance %d serves the session with %q after its end", n, got)
		}
	}
}

// Guards against a session that changes its version unseen.
func TestMoveOfASessionIsLogged(t *testing.T) {
	f := newOrderFleet(1)
	var log strings.Builder
	o := f.all[0]
	o.opts.Log = slog.New(slog.NewTextHandler(&log, nil))
	f.order()
	key := sessionKey{"s", "x"}
	for _, version := range []string{"v1", "v1", "v2"} {
		if strings.Contains(log.String(), "session moved") {
			t.Errorf("logged before it moved: %s", log.String())
		}
		o.enter(key, version, true)
		o.leave(key)
	}
	if want := `msg="session moved" service=s session=x from=v1 to=v2`; !strings.Contains(log.String(), want) {
		t.Errorf("log %q, want %q", log.String(), want)
	}
}
