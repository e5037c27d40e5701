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
	window    = 10_000
	retention = 2 * window
	instances = 3
)

// held is a claim that won its key and has not been dispatched or finished.
type held struct {
	claim    kcclaim.Claim
	instance int
	sent     bool
}

// world is a few instances before one log and one upstream that counts.
type world struct {
	clock    *kcclock.Manual
	log      *kcstandin.ScriptedLog
	claimers [instances]*kcclaim.Claimer
	held     map[string]*held
	// orphans are attempts whose instance was lost.
	orphans map[string]bool
	// second are attempts that were refused because another held the key.
	second  map[string]bool
	effects map[kcclaim.Key]int
	ran     map[string]bool
	tries   int
	// joined claimers send claims to the owner of the shard, which forward
	// reaches ("ok"), does not reach ("refuse") or whose answer it loses ("lose").
	joined  bool
	forward string
	// gone is an instance that the list no longer has.
	gone string
}

func newWorld() *world {
	w := &world{
		clock: kcclock.NewManual(1_000_000), held: make(map[string]*held), orphans: make(map[string]bool),
		second:  make(map[string]bool),
		effects: make(map[kcclaim.Key]int), ran: make(map[string]bool),
	}
	w.log = kcstandin.NewScriptedLog(w.clock, retention)
	for i := range w.claimers {
		w.restart(i)
	}
	return w
}

// restart replaces an instance. What it had in memory is lost.
func (w *world) restart(i int) {
	for name, h := range w.held {
		if h.instance == i {
			delete(w.held, name)
		}
	}
	if w.claimers[i] != nil {
		for n := range w.tries {
			w.orphans[attempt(i, n+1)] = true
		}
	}
	w.claimers[i] = kcclaim.NewClaimer(kcclaim.ClaimerOptions{
		Log: w.log, Clock: w.clock, Instance: fmt.Sprint("i", i), Shards: 1, WindowMs: window,
		BackoffMs: -1, IsListed: func(id string) bool { return id != w.gone },
	})
	if w.joined {
		w.claimers[i].SetPeers(fakePeers{w: w, self: i})
	}
}

func (w *world) join() {
	w.joined = true
	for i := range w.claimers {
		w.restart(i)
	}
}

func attempt(instance, n int) string { return fmt.Sprintf("i%d-%d", instance, n) }

func keyOf(name string) kcclaim.Key {
	return kcclaim.Key{Workspace: "w", Service: "orders", Operation: "place", IdempotencyKey: name}
}

// timedKey is a UUIDv7 that was made at the given time.
func timedKey(at kcclock.Millis) string {
	h := fmt.Sprintf("%012x", int64(at))
	return h[:8] + "-" + h[8:] + "-7000-8000-000000000000"
}

func (w *world) acquire(name string, i int, key, body string, patience kcclock.Millis) kcclaim.Decision {
	w.tries++
	claim := kcclaim.Claim{
		Key: keyOf(key), Attempt: attempt(i, w.tries), Fingerprint: body, Instance: fmt.Sprint("i", i),
		Deadline: w.clock.Now() + patience,
	}
	left, leave := context.WithCancel(context.Background())
	leave() // a caller that does not wait for another attempt
	d := w.claimers[i].Acquire(left, claim)
	if d.Entry.Holder.Attempt != "" && d.Entry.Holder.Attempt != claim.Attempt {
		w.second[claim.Attempt] = true
	}
	if d.Verdict == kcclaim.Acquired {
		w.held[name] = &held{claim: claim, instance: i}
	}
	return d
}

// send does what the entry does after Won: it checks the deadline and sends
// once. It returns whether the request was sent.
func (w *world) send(name string) bool {
	h := w.held[name]
	if w.clock.Now() > h.claim.Deadline {
		w.finish(name, kcapi.NotRun)
		return false
	}
	h.sent = true
	w.effects[h.claim.Key]++
	w.ran[h.claim.Attempt] = true
	return true
}

func (w *world) finish(name string, e kcapi.Execution) {
	h := w.held[name]
	delete(w.held, name)
	_ = w.claimers[h.instance].ReportOutcome(context.Background(), kcclaim.Outcome{
		Key: h.claim.Key, Attempt: h.claim.Attempt, Deadline: h.claim.Deadline, Execution: e, Status: 200, Body: []byte(name),
	})
}

// flush writes the outcomes that wait at an instance; the log must be up.
func (w *world) flush(i int) error { return w.claimers[i].FlushOutcomes(context.Background()) }
