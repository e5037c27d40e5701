package kcjob

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Guards against the faults that the comment of each file in testdata
// describes. A line is a record kind with a body, or "want" with the expected
// state, the process of the newest start and the execution of the end of job j.
func TestFoldIsDecidedByLogOrder(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files: %v", err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		shardState := NewShardState(kcclock.Hour)
		for n, line := range strings.Split(strings.TrimSpace(string(archive.Files[0].Data)), "\n") {
			kind, rest, _ := strings.Cut(line, " ")
			if kind != "want" {
				shardState.Fold(kclog.Record{Offset: int64(n), NewRecord: kclog.NewRecord{Kind: kind, Body: json.RawMessage(rest)}})
				continue
			}
			e := shardState.Lookup("j")
			got := fmt.Sprintf("%s %s", e.State(), e.Start.Process)
			if e.End != nil {
				got += " " + string(e.End.Execution)
			}
			if got != rest {
				t.Errorf("%s line %d: %s, want %s", file, n+1, got, rest)
			}
		}
	}
}

// Guards against a job that another workspace can read, a late job that is not
// reported as late, a result that is dropped too early or kept forever, and a
// state that is lost when the log trims its records.
func TestStatusOfJobOverItsLifetime(t *testing.T) {
	w := newTestCluster(1, 2*kcclock.Hour)
	w.startInstance("a")
	w.refreshList()
	a := w.instances["a"]
	ctx := context.Background()
	w.submit(a, "k1", "x", true, kcclock.Minute)
	id := NewID("acme", "k1", "")
	state := func(workspace string) kcapi.JobState {
		st, err := a.queue.Status(ctx, workspace, id)
		if err != nil {
			return kcapi.JobState(err.Code)
		}
		if st.LateExpected {
			return "late"
		}
		return st.State
	}
	check := func(workspace string, want kcapi.JobState) {
		t.Helper()
		if got := state(workspace); got != want {
			t.Errorf("state %q, want %q", got, want)
		}
	}
	check("acme", kcapi.JobQueued)
	check("other", kcapi.JobState(kcapi.CodeNotFound))
	w.reconcile(a)
	w.clock.Advance(kcclock.Minute - 1)
	check("acme", kcapi.JobRunning)
	w.clock.Advance(2)
	check("acme", "late")
	a.pendingAttempts = nil // the attempt never ends
	w.submit(a, "k2", "x", true, 5*kcclock.Minute)
	id = NewID("acme", "k2", "")
	w.reconcile(a)
	w.clock.Advance(2 * kcclock.Minute)
	w.runPending(a, false)
	for range 3 {
		w.reconcile(a)
		w.flushBills(a)
	}
	check("acme", kcapi.JobDone)
	// The mean duration in this shard is now 2 minutes.
	key := "k3"
	for shardIndex(NewID("acme", key, ""), shardCount) != shardIndex(id, shardCount) {
		key += "3"
	}
	w.submit(a, key, "x", true, kcclock.Minute)
	id = NewID("acme", key, "")
	check("acme", "late")
	id = NewID("acme", "k2", "")
	w.clock.Advance(kcclock.Hour - 2)
	check("acme", kcapi.JobDone)
	w.clock.Advance(3)
	check("acme", kcapi.JobState(kcapi.CodeNotFound))
	w.clock.Advance(2 * kcclock.Hour) // past the retention of the log
	w.startInstance("b")
	if _, err := w.instances["b"].queue.Status(ctx, "acme", id); err == nil || err.Status != http.StatusNotFound {
		t.Errorf("status after the retention of the log: %v", err)
	}
}
