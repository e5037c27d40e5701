package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	// backlogCut is how long the instance is cut from the store, backlogRoutes the
	// number of routes that the configuration has grown by.
	backlogCut    = 8 * time.Second
	backlogRoutes = 380
	// revokeBound is revoke_ms.
	revokeBound = 5000 * time.Millisecond
	// regionLink is 30 Mbit/s in bytes a second.
	regionLink = 30_000_000 / 8
)

// backlogConfig returns a configuration with many routes, with or without the key
// that is taken away.
func backlogConfig(version int, withKey bool) string {
	route := func(n int) map[string]any {
		return map[string]any{
			"name": fmt.Sprintf("r-%07d", n), "host": "crew.example", "path_prefix": fmt.Sprintf("/added%04d/", n), "type": "idempotent",
			"timeout_ms": 2500, "slo_ms": 300, "priority": 2, "service": "desk", "max_attempts": 2, "public": false, "sticky": false,
			"resumable": false,
		}
	}
	routes := []map[string]any{{
		"name": "r-lookup", "host": "crew.example", "path_prefix": "/lookup/", "type": "idempotent", "service": "desk",
		"timeout_ms": 2500, "slo_ms": 300, "priority": 2, "max_attempts": 2,
	}}
	for n := range backlogRoutes {
		routes = append(routes, route(n))
	}
	keys := []string{"key-of-acme"}
	if withKey {
		keys = append(keys, "key-taken-away")
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "desk", "health_path": "/healthz", "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "acme", "api_keys": keys}},
	})
	must(err)
	return string(raw)
}

// playBacklog cuts one of three instances, the only one of its region, from the store while many
// configurations come and a key is taken away, and heals the cut.
func playBacklog(b *bed) int {
	for n, zone := range []string{"provost", "provost", "rosetown"} {
		b.startRunner("desk", zone, fmt.Sprintf("i-desk-%d", n), 6)
	}
	version := 10
	change := func(withKey bool) time.Time {
		version++
		return b.store.put("keyed.op", "config", backlogConfig(version, withKey))
	}
	change(true)
	link := newProxy(b.store.addr)
	link.perSecond = regionLink
	e := b.startEdge("provost", 1, link.addr)
	b.waitReady(e, b.startEdge("rosetown", 1, b.store.addr), b.startEdge("kindersley", 1, b.store.addr))

	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := make(map[string]answer)
	c := b.newClient()
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("loo-%d-%d", n, i)
				a := c.send(context.Background(), e, "GET", "/lookup/x", id, 5*time.Second, "", map[string]string{"Api-Key": "key-taken-away"})
				mu.Lock()
				sent[id] = a
				mu.Unlock()
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	time.Sleep(4500 * time.Millisecond)
	if b.trouble {
		link.setCut(true)
		b.note("%s is cut from the store", e.name)
	}
	cutAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	for range 25 { // config_storm: a change each 80 ms for 2 s
		change(true)
		time.Sleep(80 * time.Millisecond)
	}
	b.note("25 changes of the configuration have been accepted, %d KB each", len(backlogConfig(version, true))>>10)
	goneAt := change(false)
	b.noteAt(goneAt, "the store has accepted: the key is taken away")
	time.Sleep(time.Until(cutAt.Add(backlogCut)))
	link.setCut(false)
	healedAt := time.Now()
	b.noteAt(healedAt, "the cut is over")
	time.Sleep(6 * time.Second)
	stop()
	wg.Wait()

	late, last := 0, time.Duration(0)
	for _, r := range b.started() {
		a := sent[r.id]
		if a.sentAt.After(goneAt.Add(revokeBound)) {
			late++
			last = max(last, a.sentAt.Sub(goneAt))
			b.note("%s, sent %.3f s after the key was taken away, runs at %s", r.id, a.sentAt.Sub(goneAt).Seconds(), r.runner)
		}
	}
	return b.verdict("CONFIG", late, "%d requests ran that were sent later than revoke_ms after their key was taken away, the last %v after", late, last)
}
