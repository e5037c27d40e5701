package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// silentLinger is the "little longer" for which a runner serves beyond drain_ms.
	silentLinger = 1500 * time.Millisecond
	// silentMargin is left out after the moment from which a rule holds.
	silentMargin = 50 * time.Millisecond
	// pollBegun is how long the first instance has waited for changes of the list
	// when its connections go silent.
	pollBegun = 100 * time.Millisecond
)

// playSilent has the open connections of one instance to the store go silent, and
// then a runner leave without draining. It does so twice.
func playSilent(b *bed) int {
	var runners []*runner
	zones := []string{"rosetown", "provost", "kindersley"}
	for n := range 6 {
		runners = append(runners, b.startRunner("desk", zones[n%3], fmt.Sprintf("i-desk-%d", n), 6, "-work", "120ms"))
	}
	b.configure(
		map[string]any{"name": "r-order", "host": "crew.example", "path_prefix": "/order/", "type": "nonidempotent", "service": "desk", "timeout_ms": 2500, "slo_ms": 300, "priority": 2, "max_attempts": 1},
		map[string]any{"name": "r-lookup", "host": "crew.example", "path_prefix": "/lookup/", "type": "idempotent", "service": "desk", "timeout_ms": 2500, "slo_ms": 300, "priority": 2, "max_attempts": 2},
	)
	var edges []*edge
	var links []*proxy
	for _, zone := range zones {
		p := newProxy(b.store.addr)
		links = append(links, p)
		edges = append(edges, b.startEdge(zone, 1, p.addr))
	}
	b.waitReady(edges...)

	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := make(map[string]answer)
	for n := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := b.newClient()
			for i := 0; ctx.Err() == nil; i++ {
				path, method := "/lookup/x", "GET"
				if n%3 == 0 {
					path, method = "/order/x", "POST"
				}
				id := fmt.Sprintf("%s-%d-%d", path[1:4], n, i)
				body := ""
				if method == "POST" {
					body = "body of " + id
				}
				a := c.send(context.Background(), edges[(n+i)%3], method, path, id, 5*time.Second, body, nil)
				mu.Lock()
				sent[id] = a
				mu.Unlock()
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	type leaving struct {
		runner           *runner
		silentAt, goneAt time.Time
		exitAt           time.Time
		late, lost       int
		lastLate         time.Duration
	}
	var list []*leaving
	for k := range 2 {
		l := &leaving{runner: runners[k*3]}
		list = append(list, l)
		// Some part of each wait of two seconds for changes is always left when the
		// connections go silent. Here it is most of it, at the first instance.
		links[0].awaitPoll()
		time.Sleep(pollBegun)
		l.silentAt = time.Now()
		if b.trouble {
			n := links[0].silence()
			b.noteAt(l.silentAt, "%d open connections from %s to the store go silent, new ones work", n, edges[0].name)
		}
		time.Sleep(300 * time.Millisecond)
		l.goneAt = b.remove(l.runner)
		time.Sleep(time.Until(l.goneAt.Add(drainBound + silentLinger)))
		l.exitAt = time.Now()
		l.runner.signal(syscall.SIGTERM)
		b.note("%s exits", l.runner.id)
		time.Sleep(6 * time.Second)
	}
	stop()
	wg.Wait()

	broken := 0
	for _, l := range list {
		from := l.goneAt.Add(drainBound)
		if touch := l.silentAt.Add(contact); b.trouble && touch.After(from) {
			from = touch
		}
		from = from.Add(silentMargin)
		for _, r := range b.started() {
			a := sent[r.id]
			if r.runner != l.runner.id || r.at.Before(from) || a.sentAt.Before(from) {
				continue
			}
			l.late++
			if a.status != 200 {
				l.lost++
			}
			l.lastLate = r.at.Sub(l.goneAt)
			b.note("%s, sent to %s, reaches %s %.3f s after the store has accepted that it is gone, %.3f s after the connections went silent",
				r.id, a.edge.name, r.runner, r.at.Sub(l.goneAt).Seconds(), r.at.Sub(l.silentAt).Seconds())
		}
		broken += l.late
	}
	return b.verdict("DRAIN", broken, "%d and %d requests reached a runner that was gone for longer than drain_ms, from instances in touch; the last %v and %v after the acknowledgement; %d of them ran when the runner exited and ended without an answer of a runner",
		list[0].late, list[1].late, list[0].lastLate, list[1].lastLate, list[0].lost+list[1].lost)
}
