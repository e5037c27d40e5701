package kclease_test

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/kingcuprail/kingcuprail/internal/kclease"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against the faults that the comments in the data file describe per
// script.
func TestLeaseScripts(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/leases.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range ar.Files {
		t.Run(strings.ReplaceAll(f.Name, " ", "_"), func(t *testing.T) {
			w := newTestCluster()
			for n, line := range strings.Split(string(f.Data), "\n") {
				words := strings.Fields(line)
				if len(words) == 0 || words[0] == "#" {
					continue
				}
				if got, want := w.runCommand(t, words), expectedResult(words); got != want {
					t.Fatalf("line %d: %s: got %s", n+1, line, got)
				}
			}
		})
	}
}

// expectedResult returns the result that a line of the form "command instance
// result" expects.
func expectedResult(words []string) string {
	if len(words) == 3 && words[0] != "faults" && words[0] != "before" {
		return words[2]
	}
	return "ok"
}

// runCommand runs one line. The header of the data file explains the commands.
func (w *testCluster) runCommand(t *testing.T, words []string) string {
	t.Helper()
	i := 0
	if len(words) > 1 {
		i, _ = strconv.Atoi(words[1])
	}
	var err error
	switch words[0] {
	case "acquire":
		var l kclease.Lease
		if l, err = w.managers[i].Acquire(t.Context(), "r"); err == nil {
			w.leases[i] = l
		}
	case "renew":
		err = w.managers[i].Renew(t.Context(), &w.leases[i])
	case "release":
		err = w.managers[i].Release(t.Context(), &w.leases[i])
	case "snapshot":
		err = w.managers[i].AppendSnapshot(t.Context(), 0)
	case "holds":
		return fmt.Sprint(w.leases[i].MaySend(w.clockOf(i).Now(), false))
	default:
		w.runFaultCommand(t, words, i)
	}
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, kclease.ErrHeld):
		return "held"
	case errors.Is(err, kclease.ErrHistoryUnknown):
		return "history"
	default:
		return "failed"
	}
}

func (w *testCluster) runFaultCommand(t *testing.T, words []string, i int) {
	t.Helper()
	switch words[0] {
	case "faults":
		w.log.SetFaults(words[1:]...)
	case "before":
		w.log.BeforeAppend(func() {
			if got := w.runCommand(t, words[1:]); got != "ok" {
				t.Errorf("%v: %s", words, got)
			}
		})
	case "advance":
		w.clock.Advance(kcclock.Millis(i))
		w.log.ApplyRetention()
	case "deliver":
		w.log.SetFaults()
		w.log.ApplyDelayed()
	case "restart":
		w.restart(i)
	default:
		t.Fatalf("unknown command %q", words[0])
	}
}
