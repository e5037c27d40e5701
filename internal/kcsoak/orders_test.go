package kcsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

// sessionPinMs is the longest pause after which a session must still be served
// by the same version. It equals session_s in settingsTemplate.
const sessionPinMs = 5000 * kcclock.Millisecond

// Guards against sessions that change their version while a rollout order stays
// in its first step. The requests of a session go to random instances, and
// instances are restarted and reload their settings meanwhile.
// testdata/orderSeeds.txt lists seeds that failed before.
func TestSoakOfAnOrder(t *testing.T) {
	for _, seed := range seedsToRun(t, "testdata/orderSeeds.txt") {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runRolloutOrder(t, seed) })
	}
}

func runRolloutOrder(t *testing.T, seed uint64) {
	t.Helper()
	const sessionCallers = 12
	s := newSoakRun(t, seed)
	s.checkAllInstancesServe("at the start")
	ctx, stop := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	counts := make([]sessionCounts, sessionCallers)
	for n := range sessionCallers {
		wg.Go(func() { counts[n] = s.sendSessions(ctx, n) })
	}
	_ = kcclock.Wait(s.ctx, s.clock, 500)
	s.store.Put("keyed.op", "rollout/engine", `{"service":"engine","target":"v2","deadline_s":300}`)
	for n, zone := range []string{"za", "zb", "zc"} {
		kcplatformtest.NewUpstream(t, "engine", fmt.Sprintf("target%d", n), zone, "v2").Publish(s.store, nil)
	}
	s.restartInstances()
	stop()
	wg.Wait()
	var sum sessionCounts
	for _, m := range counts {
		sum.sessions, sum.startedAtTarget = sum.sessions+m.sessions, sum.startedAtTarget+m.startedAtTarget
	}
	t.Logf("seed %d: %d sessions, %d started at the rollout target", seed, sum.sessions, sum.startedAtTarget)
	if sum.startedAtTarget == 0 {
		s.errorf("no session started at the rollout target")
	}
	s.saveLogsIfFailed()
}

// restartInstances restarts random instances one after the other for
// faultPhaseMs, as maintenance does. Meanwhile it reloads the settings of
// instances and changes the configuration.
func (s *soakRun) restartInstances() {
	rnd := rand.New(rand.NewPCG(s.seed, 2))
	for until := s.clock.Now() + kcclock.Millis(*faultPhaseMs); s.clock.Now() < until; {
		restartStopped := s.stopInstance(rnd)
		s.reloadInstance(rnd)
		s.changeConfig(rnd)
		_ = kcclock.Wait(s.ctx, s.clock, kcclock.Millis(300+rnd.IntN(700)))
		if restartStopped != nil {
			restartStopped()
		}
	}
}

// sessionCounts holds the number of sessions of a caller and how many of them
// started at the rollout target.
type sessionCounts struct{ sessions, startedAtTarget int }

// sendSessions sends sessions of 1 to 12 requests, each request to a random
// instance, until ctx ends. It reports an error if a session changes between the
// rollout target and other upstreams within sessionPinMs.
func (s *soakRun) sendSessions(ctx context.Context, n int) (seen sessionCounts) {
	rnd := rand.New(rand.NewPCG(s.seed, uint64(n)+200))
	for ; ctx.Err() == nil; seen.sessions++ {
		session := fmt.Sprintf("%d-%d-%d", s.seed, n, seen.sessions)
		previous := kcplatformtest.Attempt{}
		for i := range 1 + rnd.IntN(12) {
			entry := s.instances[rnd.IntN(len(s.instances))]
			c := kcplatformtest.NewCaller(callerTimeoutMs)
			c.Session = session
			a := c.Send(s.ctx, entry.name, entry.frontAddr, kcplatformtest.KindStreaming, "long", session+"-"+strconv.Itoa(i))
			c.Close()
			if a.Status == http.StatusOK && a.Err == nil {
				atTarget := strings.HasPrefix(a.Upstream, "target")
				if atTarget && previous.Upstream == "" {
					seen.startedAtTarget++
				}
				if previous.Upstream != "" && a.Start.Sub(previous.End) < sessionPinMs.Duration() &&
					atTarget != strings.HasPrefix(previous.Upstream, "target") {
					s.errorf("session %s moved from %s at %s to %s at %s, %v after its last response, request %s",
						session, previous.Upstream, previous.Instance, a.Upstream, a.Instance,
						a.Start.Sub(previous.End).Round(time.Millisecond), a.ID)
				}
				previous = a
			}
			_ = kcclock.Wait(ctx, s.clock, kcclock.Millis(rnd.IntN(600)))
		}
	}
	return seen
}
