package kcclaim_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

var verdictNames = map[kcclaim.Verdict]string{
	kcclaim.Acquired: "won", kcclaim.InProgress: "running", kcclaim.HasOutcome: "done", kcclaim.KeyReused: "reused",
	kcclaim.Unavailable: "unavailable", kcclaim.KeyExpired: "expired", kcclaim.HolderLost: "lost",
}

// Guards against the faults that the comments in the data file describe per
// script.
func TestClaimScripts(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/claims.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range ar.Files {
		t.Run(strings.ReplaceAll(f.Name, " ", "_"), func(t *testing.T) {
			s := scriptRunner{testCluster: newTestCluster()}
			for n, line := range strings.Split(string(f.Data), "\n") {
				words := strings.Fields(line)
				if len(words) == 0 || words[0] == "#" {
					continue
				}
				if err := s.runCommand(words); err != nil {
					t.Fatalf("line %d: %s: %v", n+1, line, err)
				}
			}
		})
	}
}

type scriptRunner struct{ *testCluster }

// runCommand runs one line. The header of the data file explains the commands.
func (s scriptRunner) runCommand(words []string) error {
	var args [5]string
	copy(args[:], words[1:])
	i, _ := strconv.Atoi(args[0])
	switch words[0] {
	case "claim":
		return s.acquireAndCheck(args)
	case "gone":
		s.unlistedInstance = "i" + args[0]
	case "forward":
		s.enableForwarding()
		s.forwardFault = args[0]
	case "rival":
		s.log.BeforeAppend(func() { _ = s.acquireAndCheck(args) })
	case "send", "late":
		if sent := s.dispatch(args[0]); sent != (words[0] == "send") {
			return fmt.Errorf("sent: %v", sent)
		}
	case "finish":
		s.reportOutcome(args[0], kcapi.Execution(args[1]))
	case "effects":
		if got := fmt.Sprint(s.executions[keyOf(s.parseKey(args[0]))]); got != args[1] {
			return fmt.Errorf("%s executions", got)
		}
	case "faults":
		s.log.SetFaults(words[1:]...)
	case "flush":
		s.log.SetFaults()
		return s.flushOutcomes(i)
	case "advance":
		s.clock.Advance(kcclock.Millis(i))
		s.log.ApplyRetention()
	default:
		return s.runFaultCommand(words[0], i)
	}
	return nil
}

// runFaultCommand runs a command that cannot fail.
func (s scriptRunner) runFaultCommand(command string, i int) error {
	switch command {
	case "down", "up":
		s.log.SetDown(command == "down")
	case "deliver":
		s.log.ApplyDelayed()
	case "restart":
		s.restart(i)
	case "maintain":
		s.claimers[i].AppendCheckpoints(context.Background())
	default:
		return fmt.Errorf("unknown command %q", command)
	}
	return nil
}

// parseKey replaces time:N with a UUIDv7 whose timestamp is N ms after the
// start.
func (s scriptRunner) parseKey(name string) string {
	if at, timed := strings.CutPrefix(name, "time:"); timed {
		n, _ := strconv.Atoi(at)
		return uuidv7Key(1_000_000 + kcclock.Millis(n))
	}
	return name
}

func (s scriptRunner) acquireAndCheck(args [5]string) error {
	i, _ := strconv.Atoi(args[1])
	waitMs := kcclock.Second
	if strings.HasPrefix(args[0], "long") {
		waitMs = kcclock.Minute
	}
	d := s.acquire(args[0], i, s.parseKey(args[2]), args[3], waitMs)
	if got := verdictNames[d.Verdict]; got != args[4] {
		return fmt.Errorf("got %s, error %w, entry %+v", got, d.Err, d.Entry)
	}
	return nil
}
