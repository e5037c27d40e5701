package kcclaim_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

var logFaults = rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "ok", "ok", "refuse", "lose", "delay", "duplicate"}), 0, 6)

// Guards against a second execution of a key, against a refusal with notRun of
// a request that ran, and against a key that stays held by an abandoned
// attempt. Covers any sequence of lost responses, delays, duplicates, trims,
// outages, pauses and restarts.
func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster()
		if rapid.Bool().Draw(t, "join") {
			w.enableForwarding()
		}
		keys := []string{"a", "b", uuidv7Key(w.clock.Now()), uuidv7Key(w.clock.Now() + windowMs), uuidv7Key(w.clock.Now() + 7*windowMs)}
		n := 0
		pick := func(sent bool) string {
			names := slices.DeleteFunc(slices.Sorted(maps.Keys(w.heldClaims)), func(h string) bool { return w.heldClaims[h].sent != sent })
			if len(names) == 0 {
				t.Skip("nothing is held")
			}
			return rapid.SampledFrom(names).Draw(t, "held")
		}
		instance := rapid.IntRange(0, instanceCount-1)
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				w.log.SetFaults(logFaults.Draw(t, "faults")...)
				key := rapid.SampledFrom(keys).Draw(t, "key")
				n++
				i := instance.Draw(t, "instance")
				w.forwardFault = rapid.SampledFrom([]string{"ok", "refuse", "lose"}).Draw(t, "forward")
				rival := rapid.Bool().Draw(t, "rival")
				pauseAt := rapid.SampledFrom([]string{"", "", "before", "after"}).Draw(t, "pause")
				// The pause is long enough for the claim of the rival to be trimmed.
				pause := func() {
					w.clock.Advance(retentionMs + 1)
					w.log.ApplyRetention()
				}
				w.log.BeforeAppend(func() {
					name := fmt.Sprint(n, "-rival")
					if rival && w.acquire(name, (i+1)%instanceCount, key, "body", 1000).Verdict == kcclaim.Acquired {
						w.dispatch(name)
					}
					switch pauseAt {
					case "before":
						pause()
					case "after":
						w.log.AfterAppend(pause)
					}
				})
				d := w.acquire(fmt.Sprint(n), i, key, "body",
					rapid.SampledFrom([]kcclock.Millis{50, 5000, 5 * retentionMs}).Draw(t, "patience"))
				w.log.SetFaults()
				w.log.BeforeAppend(nil)
				w.log.AfterAppend(nil)
				if d.Verdict == kcclaim.HasOutcome && d.Entry.Outcome.Execution == kcapi.Completed && w.executions[keyOf(key)] != 1 {
					t.Fatalf("key %s is completed after %d executions, want 1", key, w.executions[keyOf(key)])
				}
			},
			"send": func(*rapid.T) { w.dispatch(pick(false)) },
			"finish": func(t *rapid.T) {
				name := pick(true)
				w.log.SetFaults(logFaults.Draw(t, "faults")...)
				w.reportOutcome(name, kcapi.Completed)
				w.log.SetFaults()
			},
			"restart":  func(t *rapid.T) { w.restart(instance.Draw(t, "instance")) },
			"deliver":  func(*rapid.T) { w.log.ApplyDelayed() },
			"outage":   func(t *rapid.T) { w.log.SetDown(rapid.Bool().Draw(t, "down")) },
			"maintain": func(t *rapid.T) { w.claimers[instance.Draw(t, "instance")].AppendCheckpoints(context.Background()) },
			"advance": func(t *rapid.T) {
				w.clock.Advance(rapid.SampledFrom([]kcclock.Millis{10, 100, 6000, windowMs + 1}).Draw(t, "time"))
				w.log.ApplyRetention()
			},
			"": func(t *rapid.T) {
				for key, count := range w.executions {
					if count > 1 {
						t.Fatalf("key %s ran %d times", key.IdempotencyKey, count)
					}
				}
			},
		})
		checkNoClosedHolder(t, w, keys)
	})
}

// checkNoClosedHolder delivers all pending outcomes and delayed records, and
// then reads every key through a new instance.
func checkNoClosedHolder(t *rapid.T, w *testCluster, keys []string) {
	w.log.SetDown(false)
	for i := range instanceCount {
		if err := w.flushOutcomes(i); err != nil {
			t.Fatal(err)
		}
	}
	w.log.ApplyDelayed()
	active := make(map[string]bool)
	for _, h := range w.heldClaims {
		active[h.claim.Attempt] = true
	}
	w.restart(0)
	for _, key := range keys {
		d := w.acquire("last", 0, key, "body", 1000)
		holder := d.Entry.Holder.Attempt
		if w.log.FirstOffset() > 0 && w.refusedAttempts[holder] {
			// The first claim record was trimmed, and a duplicate of the second one is
			// the first that the new instance reads. Without that duplicate the new
			// instance would refuse the key as well.
			continue
		}
		if (d.Verdict == kcclaim.InProgress || d.Verdict == kcclaim.HolderLost) &&
			!active[holder] && !w.orphanedAttempts[holder] && !w.executedAttempts[holder] {
			t.Fatalf("key %s is held by the abandoned attempt %s", key, holder)
		}
		if d.Verdict == kcclaim.Acquired && w.executions[keyOf(key)] > 0 {
			t.Fatalf("key %s was acquired again after its execution", key)
		}
	}
}
