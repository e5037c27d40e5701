package kcjob

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const shardCount = 2

type testInstance struct {
	id     string
	queue  *Queue
	ledger *kcbill.Ledger
	// pendingAttempts are the attempts that were launched and have not run yet.
	pendingAttempts []func()
}

// testCluster runs several instances against one log on a manual clock. It is
// the executor of all of them.
type testCluster struct {
	clock     *kcclock.Manual
	log       *kcstandin.Log
	instances map[string]*testInstance
	// listed is the instance list, which lags behind instances.
	listed []string
	// claims holds the jobs claimed because they must not be repeated; finished
	// holds those of them with an outcome.
	claims     kcset.Set[string]
	finished   kcset.Set[string]
	executions map[string]int
	accepted   map[string]Job
	// uncertain holds the jobs whose submission failed without notRun.
	uncertain kcset.Set[string]
	idCounter int
	// refuseRuns makes runs end as notRun. crashInRun kills the instance during a
	// run.
	refuseRuns, crashInRun bool
	// beforeAppend is called once before the next append of a queue.
	beforeAppend func()
}

// interleavingLog lets another instance act between a decision and its append.
type interleavingLog struct {
	kclog.Log
	w *testCluster
}

func (l interleavingLog) Append(ctx context.Context, stream string, recs []kclog.NewRecord) (int64, error) {
	if hook := l.w.beforeAppend; hook != nil {
		l.w.beforeAppend = nil
		hook()
	}
	return l.Log.Append(ctx, stream, recs)
}

type crashPanic struct{}

type noPeers struct{}

func (noPeers) Live() []kcmember.Member { return nil }
func (noPeers) Hold(context.Context, kcmember.Member, string, []kcbill.Bill) error {
	return kcbill.ErrHolderFull
}
func (noPeers) Release(context.Context, kcmember.Member, string, []string) error { return nil }

func newTestCluster(seed uint64, retention kcclock.Millis) *testCluster {
	w := &testCluster{
		clock: kcclock.NewManual(1_000_000), instances: map[string]*testInstance{}, claims: kcset.New[string](),
		finished: kcset.New[string](), executions: map[string]int{}, accepted: map[string]Job{}, uncertain: kcset.New[string](),
	}
	w.log = kcstandin.NewLog(kcstandin.LogOptions{Clock: w.clock, Seed: seed, RetentionMs: retention})
	return w
}

func (w *testCluster) startInstance(id string) {
	n := &testInstance{id: id}
	n.ledger = kcbill.NewLedger(kcbill.LedgerOptions{
		Instance: id, Log: w.log, Clock: w.clock, Peers: noPeers{}, Shards: shardCount, FlushIntervalMs: 200, MaxPending: 50,
	})
	w.idCounter++
	n.queue = NewQueue(Options{
		Instance: id, Process: fmt.Sprintf("%s-%d", id, w.idCounter), Log: interleavingLog{w.log, w}, Clock: w.clock,
		Shards: shardCount, Ledger: n.ledger, Executor: w, MaxRunning: 3, MaxQueued: 100, ResultRetentionMs: kcclock.Hour,
		AttemptTimeoutMs: 10 * kcclock.Minute, RunnerGoneMs: 5000, ReconcileIntervalMs: 200,
		LiveInstanceIDs:   func() []string { return append([]string{id}, w.listed...) },
		ListedInstanceIDs: func() []string { return w.listed },
	})
	n.queue.goAttempt = func(f func()) { n.pendingAttempts = append(n.pendingAttempts, f) }
	w.instances[id] = n
}

func (w *testCluster) refreshList() { w.listed = slices.Sorted(maps.Keys(w.instances)) }

// Execute counts the executions of a job. As in the pipeline, a claim protects
// jobs that must not be repeated.
func (w *testCluster) Execute(ctx context.Context, j Job) Outcome {
	switch {
	case w.refuseRuns:
		return Outcome{Execution: kcapi.NotRun, Error: kcapi.NewError(503, kcapi.CodeNoUpstream, kcapi.NotRun, "none")}
	case j.Repeatable:
	case w.claims.Has(j.ID) && !w.finished.Has(j.ID):
		return Outcome{Execution: kcapi.Unknown, Error: kcapi.NewError(409, kcapi.CodeRequestRunning, kcapi.Unknown, "held")}
	case w.claims.Has(j.ID):
		return Outcome{Execution: kcapi.Completed, Answer: &kcapi.JobAnswer{Status: 200, Version: j.Version}}
	}
	w.claims.Add(j.ID)
	w.executions[j.ID]++
	if ctx.Err() != nil {
		return Outcome{Execution: kcapi.Unknown, Error: kcapi.NewError(502, kcapi.CodeUpstreamFailed, kcapi.Unknown, "cut")}
	}
	if w.crashInRun {
		panic(crashPanic{})
	}
	w.finished.Add(j.ID)
	return Outcome{Execution: kcapi.Completed, Answer: &kcapi.JobAnswer{Status: 200, Version: j.Version}}
}

func (w *testCluster) submit(n *testInstance, key, body string, repeatable bool, wait kcclock.Millis) {
	w.idCounter++
	j := Job{
		ID: NewID("acme", key, fmt.Sprint(w.idCounter)), RequestID: fmt.Sprintf("q%d", w.idCounter), Workspace: "acme",
		Fingerprint: body, Version: "v", Price: 5, Repeatable: repeatable, Deadline: w.clock.Now() + wait,
	}
	st, err := n.queue.Submit(canceledContext(), j, key != "")
	switch {
	case err == nil && st.RequestID == j.RequestID:
		w.accepted[j.ID] = j
	case err != nil && err.Execution != kcapi.NotRun:
		w.uncertain.Add(j.ID)
	}
}

// runPending runs the next launched attempt. If crash is set, the instance is
// lost during the run.
func (w *testCluster) runPending(n *testInstance, crash bool) {
	if len(n.pendingAttempts) == 0 {
		return
	}
	w.crashInRun = crash
	defer func() {
		w.crashInRun = false
		if r := recover(); r != nil {
			if _, ok := r.(crashPanic); !ok {
				panic(r)
			}
			delete(w.instances, n.id)
		}
	}()
	f := n.pendingAttempts[0]
	n.pendingAttempts = n.pendingAttempts[1:]
	f()
}

// stopInstance shuts an instance down. Attempts that do not end at once are
// canceled.
func (w *testCluster) stopInstance(n *testInstance) {
	n.queue.Stop(canceledContext())
	for len(n.pendingAttempts) > 0 {
		w.runPending(n, false)
	}
	n.queue.Stop(canceledContext())
	delete(w.instances, n.id)
}

func (w *testCluster) reconcile(n *testInstance) { n.queue.Reconcile(context.Background()) }

func (w *testCluster) flushBills(n *testInstance) {
	_ = n.ledger.CopyToPeers(context.Background())
	_ = n.ledger.Flush(context.Background())
}

// recoverAndFinish clears every fault and runs until all jobs have ended and
// are billed.
func (w *testCluster) recoverAndFinish() {
	w.log.SetFaults(kcstandin.LogFaults{})
	w.refuseRuns, w.beforeAppend = false, nil
	if len(w.instances) == 0 {
		w.startInstance("last")
	}
	w.refreshList()
	for range 40 {
		w.clock.Advance(10_000)
		for _, id := range slices.Sorted(maps.Keys(w.instances)) {
			n := w.instances[id]
			w.reconcile(n)
			for len(n.pendingAttempts) > 0 {
				w.runPending(n, false)
			}
			w.reconcile(n)
			w.flushBills(n)
		}
	}
}

// verifyJobs checks the state, the executions and the bill of every accepted
// job.
func (w *testCluster) verifyJobs(t *rapid.T) {
	bills := kcbill.NewIndex()
	for i := range shardCount {
		stream := fmt.Sprintf("bills-%02d", i)
		fold := func(r kclog.Record) { bills.Fold(stream, r) }
		if _, err := kcbill.ReadStream(context.Background(), w.log, stream, fold); err != nil {
			t.Fatal(err)
		}
	}
	n := w.instances[slices.Sorted(maps.Keys(w.instances))[0]]
	for id, j := range w.accepted {
		st, err := n.queue.Status(context.Background(), "acme", id)
		if err != nil {
			t.Fatalf("accepted job %s is lost: %v", id, err)
		}
		if fault := w.findFault(j, st, bills); fault != "" {
			t.Fatalf("job %s in state %s, repeatable %t: %s", id, st.State, j.Repeatable, fault)
		}
	}
	for id, count := range w.executions {
		if _, ok := w.accepted[id]; !ok && !w.uncertain.Has(id) {
			t.Fatalf("job %s was refused but ran %d times", id, count)
		}
	}
	for _, c := range bills.All() {
		if c.Conflict != "" {
			t.Fatalf("bill of %s: %s", c.RequestID, c.Conflict)
		}
	}
}

func (w *testCluster) findFault(j Job, st kcapi.JobStatus, bills *kcbill.Index) string {
	bill, billed := bills.Lookup(j.RequestID)
	executions := w.executions[j.ID]
	done := st.State == kcapi.JobDone
	notRun := st.Error != nil && st.Error.Execution == kcapi.NotRun
	price := map[bool]int64{true: j.Price}[done || !j.Repeatable && !notRun]
	if !done && st.Error == nil {
		return "it has not ended"
	}
	switch {
	case !j.Repeatable && executions > 1:
		return fmt.Sprintf("it ran %d times", executions)
	case st.Error != nil && st.Error.Code == kcapi.CodeUpstreamFailed:
		return "it failed because of a shutdown"
	case done == (executions == 0) && (done || notRun):
		return fmt.Sprintf("it ran %d times: %+v", executions, st.Error)
	case !billed:
		return "it has no bill"
	case bill.Amount != price:
		return fmt.Sprintf("its bill amounts to %d, want %d", bill.Amount, price)
	}
	return ""
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against accepted jobs that are lost, jobs that run twice although they
// must not, notRun errors of jobs that ran, and jobs without a bill or with a
// wrong one. Instances are killed during a run, shut down or restarted; the log
// is down, loses responses or refuses appends; and the instance list lags.
func TestAcceptedJobsEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster(rapid.Uint64().Draw(t, "seed"), 0)
		for i := range 3 {
			w.startInstance(fmt.Sprintf("i%d", i))
		}
		w.refreshList()
		node := func(t *rapid.T) *testInstance {
			if len(w.instances) == 0 {
				t.Skip()
			}
			return w.instances[rapid.SampledFrom(slices.Sorted(maps.Keys(w.instances))).Draw(t, "node")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"", "", "k1", "k2"}).Draw(t, "key")
				wait := rapid.SampledFrom([]kcclock.Millis{10, 30_000, kcclock.Hour}).Draw(t, "wait")
				w.submit(node(t), key, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "body"), rapid.Bool().Draw(t, "repeatable"), wait)
			},
			"step": func(t *rapid.T) { w.reconcile(node(t)) },
			"raceOfSteps": func(t *rapid.T) {
				n, other := node(t), node(t)
				if n != other {
					w.beforeAppend = func() { w.clock.Advance(20); w.reconcile(other) }
				}
				w.reconcile(n)
				w.beforeAppend = nil
			},
			"raceOfPosts": func(t *rapid.T) {
				n, other, body := node(t), node(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "body")
				w.beforeAppend = func() { w.submit(other, "k3", body, true, kcclock.Hour) }
				w.submit(n, "k3", "a", true, kcclock.Hour)
				w.beforeAppend = nil
			},
			"flush": func(t *rapid.T) { w.flushBills(node(t)) },
			"run": func(t *rapid.T) {
				w.refuseRuns = rapid.IntRange(0, 4).Draw(t, "refuse") == 0
				w.runPending(node(t), rapid.IntRange(0, 4).Draw(t, "crash") == 0)
			},
			"kill": func(t *rapid.T) { delete(w.instances, node(t).id) },
			"restart": func(t *rapid.T) {
				w.startInstance(fmt.Sprintf("i%d", rapid.IntRange(0, 4).Draw(t, "id")))
			},
			"stop": func(t *rapid.T) {
				n := node(t)
				w.refuseRuns = rapid.Bool().Draw(t, "refuse")
				w.stopInstance(n)
			},
			"list": func(*rapid.T) { w.refreshList() },
			"log": func(t *rapid.T) {
				share := rapid.SampledFrom([]float64{0, 0.5})
				w.log.SetFaults(kcstandin.LogFaults{
					Down:      rapid.IntRange(0, 3).Draw(t, "down") == 0,
					LostShare: share.Draw(t, "lose"), RefusedShare: share.Draw(t, "refuse"),
				})
			},
			"advance": func(t *rapid.T) {
				w.clock.Advance(rapid.SampledFrom([]kcclock.Millis{10, 2000, 40_000}).Draw(t, "ms"))
			},
		})
		w.recoverAndFinish()
		w.verifyJobs(t)
	})
}
