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

// rolloutFleet is some instances that tell each other of sessions.
type rolloutFleet struct {
	clock     *kcclock.Manual
	instances []*Rollouts
	versions  versionCounts
}

func newRolloutFleet(n int) *rolloutFleet {
	f := &rolloutFleet{
		clock: kcclock.NewManual(1_000_000), versions: versionCounts{counts: map[string]int{"v1": 12, "v2": 12}, oldestVersion: "v1"},
	}
	for i := range n {
		o := newTestOrders(f.clock)
		o.opts.Deployment.Instance = fmt.Sprint("i", i)
		f.instances = append(f.instances, o)
	}
	return f
}

func (f *rolloutFleet) startRollout() {
	for _, o := range f.instances {
		o.ApplyOrder(kctable.Order{Service: "s", Target: "v2", SpanMs: 24_000, Offset: 3}, true)
		o.ApplyProgress(kctable.Progress{Service: "s", Target: "v2", Order: 3})
	}
}

// conclude lets an instance judge, and publishes what it concludes.
func (f *rolloutFleet) advance(judge int) {
	if p, _, ok := f.instances[judge].nextState("s", f.versions); ok {
		f.publish(p)
	}
}

func (f *rolloutFleet) publish(p kctable.Progress) {
	for _, o := range f.instances {
		o.ApplyProgress(p)
	}
}

// tell passes the messages of all instances on, as they travel.
func (f *rolloutFleet) exchangeSessions(all bool) {
	for _, from := range f.instances {
		for _, m := range from.SessionUpdates(all) {
			for _, raw := range kcload.EncodeSessions(m) {
				m, err := kcload.DecodeSessions(raw)
				for _, to := range f.instances {
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
func (f *rolloutFleet) serveRequest(n int, session string) string {
	o, version := f.instances[n], ""
	p := o.decideVersion("s", session, f.versions)
	for v := range f.versions.counts {
		if p.allows(v) {
			version = v
		}
	}
	if version == "" {
		return ""
	}
	o.pinSession(sessionKey{"s", session}, version, true)
	o.finishRequest(sessionKey{"s", session})
	return version
}

// targetSessionNames returns names of sessions that go to the target in the first step
// if they are new.
func targetSessionNames(n int) (list []string) {
	for i := 0; len(list) < n; i++ {
		if s := fmt.Sprint("s", i); hashFraction(s) < kcrollout.FirstShare(0.15) {
			list = append(list, s)
		}
	}
	return list
}

// Guards against a session that changes its version when its requests go round
// the instances, before, at and after the first step of an order.
func TestSessionsKeepVersionAcrossInstances(t *testing.T) {
	f := newRolloutFleet(5)
	was := make(map[string]string)
	ask := func(at int, session string) {
		if got := f.serveRequest(at, session); was[session] == "" {
			was[session] = got
		} else if was[session] != got {
			t.Fatalf("session %s moved from %s to %s", session, was[session], got)
		}
	}
	sessions := targetSessionNames(300)
	for step := range 100 {
		if step == 20 {
			f.startRollout()
		}
		// 30 sessions at a time, each with a request every 1.5 s for 6 s.
		for n := range 30 {
			if (step+n)%15 == 0 {
				ask((step/15+n)%len(f.instances), sessions[n+30*((step+n)/60)])
			}
		}
		f.clock.Advance(100)
		f.exchangeSessions(step%5 == 0)
		f.advance(step % len(f.instances))
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
func TestRemoteSessionsExpire(t *testing.T) {
	f := newRolloutFleet(2)
	session := targetSessionNames(1)[0]
	f.serveRequest(0, session)
	f.startRollout()
	f.clock.Advance(kcrollout.GatherMs)
	f.exchangeSessions(true)
	f.advance(0)
	if f.instances[1].decideVersion("s", session, f.versions).reason != versionReasonPeer {
		t.Error("a session of another instance is not known")
	}
	f.clock.Advance(5001 + peerSessionSlackMs)
	f.exchangeSessions(true)
	if got := f.serveRequest(1, session); got != "v2" {
		t.Errorf("a session that is over stays at %s", got)
	}
	// Nothing is told once the target gets all requests.
	f.serveRequest(0, "other")
	for _, o := range f.instances {
		o.ApplyProgress(kctable.Progress{Service: "s", Target: "v2", Order: 3, Step: 1})
		if got := o.SessionUpdates(true); len(got) != 0 {
			t.Errorf("%+v is told after the first step", got)
		}
	}
}

// Guards against an instance that starts during an order and keeps its sessions
// at the old version, because fewer upstreams of the target are left.
func TestInstanceStartedDuringRolloutServesTarget(t *testing.T) {
	f := newRolloutFleet(2)
	f.startRollout()
	f.clock.Advance(kcrollout.GatherMs)
	f.advance(0)
	session := targetSessionNames(1)[0]
	was := f.serveRequest(0, session)
	f.versions.counts["v2"] = 5
	f.clock.Advance(1000)
	late := newTestOrders(f.clock)
	late.ApplyOrder(kctable.Order{Service: "s", Target: "v2", SpanMs: 24_000, Offset: 3}, false)
	late.ApplyProgress(f.instances[0].services["s"].progress)
	f.instances[1] = late
	if got := f.serveRequest(1, session); got != was || was != "v2" {
		t.Errorf("a session of the target moved from %s to %s", was, got)
	}
}

// Guards against an instance that has just started and moves sessions that it
// served before, or that others serve, to the target.
func TestStartedInstanceLoadsSessions(t *testing.T) {
	f := newRolloutFleet(3)
	names := targetSessionNames(2)
	f.serveRequest(0, names[0])
	f.serveRequest(2, names[1])
	f.startRollout()
	f.clock.Advance(kcrollout.GatherMs)
	f.exchangeSessions(true)
	f.advance(1)
	started := newTestOrders(f.clock)
	started.ApplyOrder(kctable.Order{Service: "s", Target: "v2", SpanMs: 24_000, Offset: 3}, false)
	started.ApplyProgress(f.instances[1].services["s"].progress)
	if known, _ := started.awaitSessions(sessionKey{"s", names[0]}); known == nil || isClosed(known) {
		t.Error("a session of the share need not wait")
	}
	for _, order := range started.AwaitingSessions() {
		for _, m := range f.instances[1].SessionSnapshot(order) {
			started.MergeSessions(m)
		}
	}
	f.instances[0] = started
	for _, name := range names {
		if known, _ := started.awaitSessions(sessionKey{"s", name}); known != nil {
			t.Error("a session waits although all is known")
		}
		if got := f.serveRequest(0, name); got != "v1" {
			t.Errorf("session %s moved to %s", name, got)
		}
	}
}

// Guards against a session whose version was stopped by one order and that goes
// on with another version in the first step of the next, at any instance.
func TestSessionsOfStoppedVersionWait(t *testing.T) {
	f := newRolloutFleet(2)
	f.startRollout()
	f.clock.Advance(12_000)
	f.serveRequest(0, "s")
	f.publish(kctable.Progress{Service: "s", Target: "v2", Order: 3, Opened: true, Step: 1, Stage: kctable.Complete})
	f.versions.counts = map[string]int{"v1": 1, "v2": 12, "v3": 12}
	for _, o := range f.instances {
		o.ApplyOrder(kctable.Order{Service: "s", Target: "v3", SpanMs: 24_000, Offset: 4}, true)
	}
	f.clock.Advance(100)
	f.exchangeSessions(false)
	for n, o := range f.instances {
		if got := f.serveRequest(n, "s"); got != "" {
			t.Errorf("instance %d serves the session with %s", n, got)
		}
		if p := o.decideVersion("s", "s", f.versions); p.retryAfterMs < 4900 || p.retryAfterMs > 5100 {
			t.Errorf("instance %d proposes to wait for %d ms", n, p.retryAfterMs)
		}
	}
	// A new session does not go to an upstream that is still listed.
	if got := f.serveRequest(0, "new"); got != "v2" {
		t.Errorf("a new session runs on %q", got)
	}
	f.clock.Advance(5000 + peerSessionSlackMs)
	for n := range f.instances {
		if got := f.serveRequest(n, "s"); got != "v2" {
			t.Errorf("instance %d serves the session with %q after its end", n, got)
		}
	}
}

// Guards against a session that changes its version unseen.
func TestVersionChangeOfSessionIsLogged(t *testing.T) {
	f := newRolloutFleet(1)
	var log strings.Builder
	o := f.instances[0]
	o.opts.Log = slog.New(slog.NewTextHandler(&log, nil))
	f.startRollout()
	key := sessionKey{"s", "x"}
	for _, version := range []string{"v1", "v1", "v2"} {
		if strings.Contains(log.String(), "session moved") {
			t.Errorf("logged before it moved: %s", log.String())
		}
		o.pinSession(key, version, true)
		o.finishRequest(key)
	}
	if want := `msg="session moved" service=s session=x from=v1 to=v2`; !strings.Contains(log.String(), want) {
		t.Errorf("log %q, want %q", log.String(), want)
	}
}
