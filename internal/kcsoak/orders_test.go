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

// sessionPinMs is the time in which requests of a session belong together.
const sessionPinMs = 5000 * kcclock.Millisecond

// TestSoakOfAnOrder plays days with an order that stays in its first step, while
// instances are stopped, started and told to read their settings again. Sessions
// go round all instances and must not change their version. Seeds of
// testdata/orderSeeds.txt failed once.
func TestSoakOfAnOrder(t *testing.T) {
	for _, seed := range seedsToRun(t, "testdata/orderSeeds.txt") {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runRolloutOrder(t, seed) })
	}
}

func runRolloutOrder(t *testing.T, seed uint64) {
	t.Helper()
	const sessionCallers = 12
	d := newSoakRun(t, seed)
	d.checkAllInstancesServe("at the start")
	ctx, stop := context.WithCancel(d.ctx)
	var wg sync.WaitGroup
	counts := make([]sessionCounts, sessionCallers)
	for n := range sessionCallers {
		wg.Go(func() { counts[n] = d.sendSessions(ctx, n) })
	}
	_ = kcclock.Wait(d.ctx, d.clock, 500)
	d.store.Put("keyed.op", "rollout/engine", `{"service":"engine","target":"v2","deadline_s":300}`)
	for n, zone := range []string{"za", "zb", "zc"} {
		kcplatformtest.NewRunner(t, "engine", fmt.Sprintf("target%d", n), zone, "v2").Publish(d.store, nil)
	}
	d.restartInstances()
	stop()
	wg.Wait()
	var sum sessionCounts
	for _, m := range counts {
		sum.sessions, sum.startedAtTarget = sum.sessions+m.sessions, sum.startedAtTarget+m.startedAtTarget
	}
	t.Logf("seed %d: %d sessions, %d at the target", seed, sum.sessions, sum.startedAtTarget)
	if sum.startedAtTarget == 0 {
		d.errorf("no session went to the target")
	}
	d.saveLogsIfFailed()
}

// restart stops instances one after the other, as planned work does, and
// changes other things meanwhile.
func (d *soakRun) restartInstances() {
	rnd := rand.New(rand.NewPCG(d.seed, 2))
	for until := d.clock.Now() + kcclock.Millis(*faultPhaseMs); d.clock.Now() < until; {
		restartStopped := d.stopInstance(rnd)
		d.reloadInstance(rnd)
		d.changeConfig(rnd)
		_ = kcclock.Wait(d.ctx, d.clock, kcclock.Millis(300+rnd.IntN(700)))
		if restartStopped != nil {
			restartStopped()
		}
	}
}

// walk is what a caller saw that sends sessions round the instances.
type sessionCounts struct{ sessions, startedAtTarget int }

func (d *soakRun) sendSessions(ctx context.Context, n int) (seen sessionCounts) {
	rnd := rand.New(rand.NewPCG(d.seed, uint64(n)+200))
	for ; ctx.Err() == nil; seen.sessions++ {
		session := fmt.Sprintf("%d-%d-%d", d.seed, n, seen.sessions)
		previous := kcplatformtest.Attempt{}
		for i := range 1 + rnd.IntN(12) {
			entry := d.instances[rnd.IntN(len(d.instances))]
			c := kcplatformtest.NewCaller(callerTimeoutMs)
			c.Session = session
			a := c.Ask(d.ctx, entry.name, entry.frontAddr, kcplatformtest.KindStream, "long", session+"-"+strconv.Itoa(i))
			c.Leave()
			if a.Status == http.StatusOK && a.Err == nil {
				atTarget := strings.HasPrefix(a.Upstream, "target")
				if atTarget && previous.Upstream == "" {
					seen.startedAtTarget++
				}
				if previous.Upstream != "" && a.Start.Sub(previous.End) < sessionPinMs.Duration() &&
					atTarget != strings.HasPrefix(previous.Upstream, "target") {
					d.errorf("session %s moved from %s at %s to %s at %s, %v after its last answer, request %s",
						session, previous.Upstream, previous.Instance, a.Upstream, a.Instance, a.Start.Sub(previous.End).Round(time.Millisecond), a.ID)
				}
				previous = a
			}
			_ = kcclock.Wait(ctx, d.clock, kcclock.Millis(rnd.IntN(600)))
		}
	}
	return seen
}
