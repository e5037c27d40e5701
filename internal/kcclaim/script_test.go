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

var verdicts = map[kcclaim.Verdict]string{
	kcclaim.Acquired: "won", kcclaim.InProgress: "running", kcclaim.HasOutcome: "done", kcclaim.KeyReused: "reused",
	kcclaim.Unavailable: "unavailable", kcclaim.KeyExpired: "expired", kcclaim.HolderLost: "lost",
}

// Guards against the faults that stand above each script of the data file.
func TestClaimScripts(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/claims.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range ar.Files {
		t.Run(strings.ReplaceAll(f.Name, " ", "_"), func(t *testing.T) {
			s := script{world: newWorld()}
			for n, line := range strings.Split(string(f.Data), "\n") {
				words := strings.Fields(line)
				if len(words) == 0 || words[0] == "#" {
					continue
				}
				if err := s.run(words); err != nil {
					t.Fatalf("line %d: %s: %v", n+1, line, err)
				}
			}
		})
	}
}

type script struct{ *world }

// run runs one line. The lines are explained at the top of the data file.
func (s script) run(words []string) error {
	var args [5]string
	copy(args[:], words[1:])
	i, _ := strconv.Atoi(args[0])
	switch words[0] {
	case "claim":
		return s.claim(args)
	case "gone":
		s.gone = "i" + args[0]
	case "forward":
		s.join()
		s.forward = args[0]
	case "rival":
		s.log.BeforeAppend(func() { _ = s.claim(args) })
	case "send", "late":
		if sent := s.send(args[0]); sent != (words[0] == "send") {
			return fmt.Errorf("sent: %v", sent)
		}
	case "finish":
		s.finish(args[0], kcapi.Execution(args[1]))
	case "effects":
		if got := fmt.Sprint(s.effects[keyOf(s.key(args[0]))]); got != args[1] {
			return fmt.Errorf("%s effects", got)
		}
	case "faults":
		s.log.Script(words[1:]...)
	case "flush":
		s.log.Script()
		return s.flush(i)
	case "advance":
		s.clock.Advance(kcclock.Millis(i))
		s.log.Trim()
	default:
		return s.runPlain(words[0], i)
	}
	return nil
}

// runPlain runs a line that cannot fail.
func (s script) runPlain(command string, i int) error {
	switch command {
	case "down", "up":
		s.log.SetDown(command == "down")
	case "deliver":
		s.log.Deliver()
	case "restart":
		s.restart(i)
	case "maintain":
		s.claimers[i].AppendCheckpoints(context.Background())
	default:
		return fmt.Errorf("unknown command %q", command)
	}
	return nil
}

// key replaces time:N by a UUIDv7 made N ms after the start.
func (s script) key(name string) string {
	if at, timed := strings.CutPrefix(name, "time:"); timed {
		n, _ := strconv.Atoi(at)
		return timedKey(1_000_000 + kcclock.Millis(n))
	}
	return name
}

func (s script) claim(args [5]string) error {
	i, _ := strconv.Atoi(args[1])
	patience := kcclock.Second
	if strings.HasPrefix(args[0], "long") {
		patience = kcclock.Minute
	}
	d := s.acquire(args[0], i, s.key(args[2]), args[3], patience)
	if got := verdicts[d.Verdict]; got != args[4] {
		return fmt.Errorf("got %s, error %w, entry %+v", got, d.Err, d.Entry)
	}
	return nil
}
