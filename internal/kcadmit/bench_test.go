package kcadmit

import (
	"fmt"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// benchController returns a controller under a shortage that holds requests of some
// workspaces.
func benchController(waiting, workspaces int) (*Controller, []Request, kcroom.Room) {
	c := New(Options{MaxWaiting: 20_000, MaxBytes: 1 << 30})
	c.SetSenders(80)
	room := kcroom.Room{Upstreams: 112, Slots: 1792, Busy: 7000, HoldMs: 2000, WaitMs: 3000, AgeMs: 100}
	requests := make([]Request, workspaces)
	for i := range requests {
		requests[i] = Request{
			Workspace: fmt.Sprint("w", i), Kind: "urgent", CostMs: 20, Prompt: true, ObjectiveAt: 90_000, DeadlineAt: 9_000_000,
		}
	}
	c.Enter(1000, requests[0], room)
	for i := 0; c.Waiting() < waiting; i++ {
		c.tokens = -1000 // not admitted
		r := requests[i%workspaces]
		r.Kind, r.Urgency = fmt.Sprint("k", i%3), 1+i%3
		r.ObjectiveAt += kcclock.Millis(i * 7919 % 30_000)
		c.Enter(1000, r, room)
	}
	for _, l := range c.lanes.list {
		l.kind.served = l.kind.arrived // no kind is below its minimum
	}
	return c, requests, room
}

// BenchmarkEnter measures the decision to admit a request by the number of held ones
// and of workspaces, and that to hold one.
func BenchmarkEnter(b *testing.B) {
	for _, workspaces := range []int{1, 24, 200} {
		for _, waiting := range []int{0, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("admit/workspaces=%d/waiting=%d", workspaces, waiting), func(b *testing.B) {
				c, requests, room := benchController(waiting, workspaces)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					c.tokens = 1
					if t := c.Enter(1000, requests[i%workspaces], room); t.Decision != Admitted {
						b.Fatal(t.Decision, t.Reason)
					}
				}
			})
		}
	}
	for _, waiting := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("hold/workspaces=24/waiting=%d", waiting), func(b *testing.B) {
			c, requests, room := benchController(waiting, 24)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.tokens = -1000
				t := c.Enter(1000, requests[i%24], room)
				if t.Decision != Held {
					b.Fatal(t.Decision, t.Reason)
				}
				c.Leave(1000, t)
			}
		})
	}
}

// BenchmarkRelease measures a call while nothing can be released.
func BenchmarkRelease(b *testing.B) {
	for _, waiting := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c, _, room := benchController(waiting, 24)
			b.ReportAllocs()
			for b.Loop() {
				c.tokens = -1000
				c.Release(1000, room)
			}
		})
	}
}

// Guards against allocations on the path that admits, in calm and under a shortage.
func TestAdmittingDoesNotAllocate(t *testing.T) {
	for _, busy := range []int{100, 7000} {
		c, requests, room := benchController(10_000, 24)
		if busy < room.Slots {
			c = New(Options{})
		}
		i := 0
		room.Busy = busy
		if n := testing.AllocsPerRun(1000, func() {
			i++
			c.tokens = 1
			if x := c.Enter(1000, requests[i%24], room); x.Decision != Admitted {
				t.Fatalf("%v: %s", x.Decision, x.Reason)
			}
		}); n > 0 {
			t.Errorf("%d requests at the upstreams: %v allocations for each admitted request", busy, n)
		}
	}
}
