package kcclaim_test

import (
	"context"
	"fmt"

	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	windowMs      = 10_000
	retentionMs   = 2 * windowMs
	instanceCount = 3
)

// heldClaim is a claim that acquired its key and whose outcome is not reported
// yet.
type heldClaim struct {
	claim    kcclaim.Claim
	instance int
	sent     bool
}

// testCluster is several instances sharing one log and one upstream that counts
// executions.
type testCluster struct {
	clock      *kcclock.Manual
	log        *kcstandin.ScriptedLog
	claimers   [instanceCount]*kcclaim.Claimer
	heldClaims map[string]*heldClaim
	// orphanedAttempts are attempts whose instance was lost.
	orphanedAttempts map[string]bool
	// refusedAttempts are attempts that found the key held by another attempt.
	refusedAttempts  map[string]bool
	executions       map[kcclaim.Key]int
	executedAttempts map[string]bool
	attemptCount     int
	// forwarding makes claimers forward claims to the owner of the shard.
	// forwardFault selects whether the call works ("ok"), does not reach the owner
	// ("refuse") or loses its response ("lose").
	forwarding   bool
	forwardFault string
	// unlistedInstance is the id of an instance that was removed from the list.
	unlistedInstance string
}

func newTestCluster() *testCluster {
	w := &testCluster{
		clock: kcclock.NewManual(1_000_000), heldClaims: make(map[string]*heldClaim), orphanedAttempts: make(map[string]bool),
		refusedAttempts: make(map[string]bool),
		executions:      make(map[kcclaim.Key]int), executedAttempts: make(map[string]bool),
	}
	w.log = kcstandin.NewScriptedLog(w.clock, retentionMs)
	for i := range w.claimers {
		w.restart(i)
	}
	return w
}

// restart replaces an instance, which loses its memory.
func (w *testCluster) restart(i int) {
	for name, h := range w.heldClaims {
		if h.instance == i {
			delete(w.heldClaims, name)
		}
	}
	if w.claimers[i] != nil {
		for n := range w.attemptCount {
			w.orphanedAttempts[attemptID(i, n+1)] = true
		}
	}
	w.claimers[i] = kcclaim.NewClaimer(kcclaim.ClaimerOptions{
		Log: w.log, Clock: w.clock, Instance: fmt.Sprint("i", i), Shards: 1, WindowMs: windowMs,
		BackoffMs: -1, IsListed: func(id string) bool { return id != w.unlistedInstance },
	})
	if w.forwarding {
		w.claimers[i].SetPeers(fakePeers{w: w, self: i})
	}
}

func (w *testCluster) enableForwarding() {
	w.forwarding = true
	for i := range w.claimers {
		w.restart(i)
	}
}

func attemptID(instance, n int) string { return fmt.Sprintf("i%d-%d", instance, n) }

func keyOf(name string) kcclaim.Key {
	return kcclaim.Key{Workspace: "w", Service: "orders", Operation: "place", IdempotencyKey: name}
}

// uuidv7Key returns a UUIDv7 with the given timestamp.
func uuidv7Key(at kcclock.Millis) string {
	h := fmt.Sprintf("%012x", int64(at))
	return h[:8] + "-" + h[8:] + "-7000-8000-000000000000"
}

func (w *testCluster) acquire(name string, i int, key, body string, waitMs kcclock.Millis) kcclaim.Decision {
	w.attemptCount++
	claim := kcclaim.Claim{
		Key: keyOf(key), Attempt: attemptID(i, w.attemptCount), Fingerprint: body, Instance: fmt.Sprint("i", i),
		Deadline: w.clock.Now() + waitMs,
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the caller does not wait for the outcome of another attempt
	d := w.claimers[i].Acquire(ctx, claim)
	if d.Entry.Holder.Attempt != "" && d.Entry.Holder.Attempt != claim.Attempt {
		w.refusedAttempts[claim.Attempt] = true
	}
	if d.Verdict == kcclaim.Acquired {
		w.heldClaims[name] = &heldClaim{claim: claim, instance: i}
	}
	return d
}

// dispatch does what the entry does after Acquired: it checks the deadline and
// sends the request once. It returns whether the request was sent.
func (w *testCluster) dispatch(name string) bool {
	h := w.heldClaims[name]
	if w.clock.Now() > h.claim.Deadline {
		w.reportOutcome(name, kcapi.NotRun)
		return false
	}
	h.sent = true
	w.executions[h.claim.Key]++
	w.executedAttempts[h.claim.Attempt] = true
	return true
}

func (w *testCluster) reportOutcome(name string, e kcapi.Execution) {
	h := w.heldClaims[name]
	delete(w.heldClaims, name)
	_ = w.claimers[h.instance].ReportOutcome(context.Background(), kcclaim.Outcome{
		Key: h.claim.Key, Attempt: h.claim.Attempt, Deadline: h.claim.Deadline, Execution: e, Status: 200, Body: []byte(name),
	})
}

// flushOutcomes appends the pending outcomes of an instance; the log must be
// up.
func (w *testCluster) flushOutcomes(i int) error {
	return w.claimers[i].FlushOutcomes(context.Background())
}
