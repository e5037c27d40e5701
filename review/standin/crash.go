package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// crashDown is how long a crashed runner is down.
const crashDown = 2 * time.Second

// playCrash kills three of four runners, one after the other, while streams without
// a length run there. Each is back before the next one crashes.
// VARIANT=chunks sends them in chunks, for comparison.
func playCrash(b *bed) int {
	args := []string{"-events", fmt.Sprint(leaveEvents), "-gap", leaveGap.String()}
	if os.Getenv("VARIANT") != "chunks" {
		args = append(args, "-unframed")
	}
	var runners []*runner
	for n, zone := range []string{"rosetown", "rosetown", "kindersley", "kindersley"} {
		runners = append(runners, b.startRunner("planner", zone, fmt.Sprintf("i-engine-%d", n), 64, args...))
	}
	b.configure(map[string]any{
		"name": "r-menu", "host": "crew.example", "path_prefix": "/stream/", "type": "streaming", "service": "planner", "timeout_ms": 25000,
		"slo_ms": 4000, "priority": 0, "max_attempts": 3, "resumable": true, "gap_slo_ms": 1000, "sticky": true,
	})
	edges := []*edge{b.startEdge("rosetown", 1, b.store.addr), b.startEdge("kindersley", 1, b.store.addr)}
	b.waitReady(edges...)

	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	c := b.newClient()
	for n := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 60 * time.Millisecond)
			id := fmt.Sprintf("menu-%03d", n)
			a := c.send(context.Background(), edges[n%2], "POST", "/stream/x", id, 25*time.Second, "body of "+id, nil)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}()
	}
	if b.trouble {
		time.Sleep(5 * time.Second)
		for _, r := range runners[:3] {
			time.Sleep(2 * time.Second)
			r.signal(syscall.SIGKILL)
			b.note("%s crashes", r.id)
			time.Sleep(crashDown)
			b.startRunnerAt(r.addr, r.service, r.zone, r.id, r.slots, args...)
		}
	}
	wg.Wait()
	return b.judgeStreams(answers)
}
