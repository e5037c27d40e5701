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

// sessionMs is the time in which requests of a session belong together.
const sessionMs = 5000 * kcclock.Millisecond

// TestSoakOfAnOrder plays days with an order that stays in its first step, while
// instances are stopped, started and told to read their settings again. Sessions
// go round all instances and must not change their version. Seeds of
// testdata/orderSeeds.txt failed once.
func TestSoakOfAnOrder(t *testing.T) {
	for _, seed := range daySeeds(t, "testdata/orderSeeds.txt") {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playOrder(t, seed) })
	}
}

func playOrder(t *testing.T, seed uint64) {
	t.Helper()
	const walkers = 12
	d := newDay(t, seed)
	d.recovered("at the start")
	ctx, stop := context.WithCancel(d.ctx)
	var wg sync.WaitGroup
	moves := make([]walk, walkers)
	for n := range walkers {
		wg.Go(func() { moves[n] = d.walk(ctx, n) })
	}
	_ = kcclock.Wait(d.ctx, d.clock, 500)
	d.store.Put("keyed.op", "rollout/engine", `{"service":"engine","target":"v2","deadline_s":300}`)
	for n, zone := range []string{"za", "zb", "zc"} {
		kcplatformtest.NewUpstream(t, "engine", fmt.Sprintf("target%d", n), zone, "v2").Publish(d.store, nil)
	}
	d.restart()
	stop()
	wg.Wait()
	var sum walk
	for _, m := range moves {
		sum.sessions, sum.atTarget = sum.sessions+m.sessions, sum.atTarget+m.atTarget
	}
	t.Logf("seed %d: %d sessions, %d at the target", seed, sum.sessions, sum.atTarget)
	if sum.atTarget == 0 {
		d.errorf("no session went to the target")
	}
	d.keepLogs()
}

// restart stops instances one after the other, as planned work does, and
// changes other things meanwhile.
func (d *day) restart() {
	rnd := rand.New(rand.NewPCG(d.seed, 2))
	for until := d.clock.Now() + kcclock.Millis(*dayMs); d.clock.Now() < until; {
		end := d.stop(rnd)
		d.reload(rnd)
		d.change(rnd)
		_ = kcclock.Wait(d.ctx, d.clock, kcclock.Millis(300+rnd.IntN(700)))
		if end != nil {
			end()
		}
	}
}

// walk is what a caller saw that sends sessions round the instances.
type walk struct{ sessions, atTarget int }

func (d *day) walk(ctx context.Context, n int) (seen walk) {
	rnd := rand.New(rand.NewPCG(d.seed, uint64(n)+200))
	for ; ctx.Err() == nil; seen.sessions++ {
		session := fmt.Sprintf("%d-%d-%d", d.seed, n, seen.sessions)
		was := kcplatformtest.Attempt{}
		for i := range 1 + rnd.IntN(12) {
			at := d.all[rnd.IntN(len(d.all))]
			c := kcplatformtest.NewCaller(patienceMs)
			c.Session = session
			a := c.Send(d.ctx, at.name, at.front, kcplatformtest.KindStreaming, "long", session+"-"+strconv.Itoa(i))
			c.Close()
			if a.Status == http.StatusOK && a.Err == nil {
				target := strings.HasPrefix(a.Upstream, "target")
				if target && was.Upstream == "" {
					seen.atTarget++
				}
				if was.Upstream != "" && a.Start.Sub(was.End) < sessionMs.Duration() && target != strings.HasPrefix(was.Upstream, "target") {
					d.errorf("session %s moved from %s at %s to %s at %s, %v after its last answer, request %s",
						session, was.Upstream, was.Instance, a.Upstream, a.Instance, a.Start.Sub(was.End).Round(time.Millisecond), a.ID)
				}
				was = a
			}
			_ = kcclock.Wait(ctx, d.clock, kcclock.Millis(rnd.IntN(600)))
		}
	}
	return seen
}
