package kcbill

import (
	"context"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against the failures that the header of each file in testdata
// describes.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			w := newCluster(1)
			for i, line := range strings.Split(string(archive.Files[0].Data), "\n") {
				if args := strings.Fields(line); len(args) > 0 {
					if got := w.runLine(args); got != "" {
						t.Fatalf("%s line %d: %s: %s", file, i+1, line, got)
					}
				}
			}
		})
	}
}

// runLine runs one line of a script. It returns the difference from the
// expected result, or "".
func (w *cluster) runLine(args []string) string {
	args = append(args, "", "", "", "")
	if check, ok := checks[args[0]]; ok {
		got, want := check(w, args[1]), strings.TrimSpace(args[2]+" "+args[3])
		return mismatch(got, want)
	}
	if step, ok := steps[args[0]]; ok {
		return mismatch(refusedText(step(w, args[1])), args[2])
	}
	return w.runCommand(args)
}

// checks return a value that must equal the rest of the line.
var checks = map[string]func(*cluster, string) string{
	"safe": func(w *cluster, id string) string {
		w.observeDurable()
		return strconv.FormatBool(w.nodes[w.requests[id].sender].ledger.IsDurable(id))
	},
	"held":    func(w *cluster, id string) string { return strconv.Itoa(w.nodes[id].holder.CopyCount()) },
	"pending": func(w *cluster, id string) string { return strconv.Itoa(w.nodes[id].ledger.Pending()) },
	"bill": func(w *cluster, id string) string {
		b, _ := w.readIndex().Lookup(id)
		return string(b.State) + " " + strconv.FormatInt(b.Amount, 10)
	},
	"repeated": func(w *cluster, n string) string { return mismatch(strconv.Itoa(w.readIndex().Repeated), n) },
}

// steps are actions of one instance. The line ends with "refused" if the action
// must fail.
var steps = map[string]func(*cluster, string) error{
	"copy":  func(w *cluster, id string) error { return w.nodes[id].ledger.CopyToPeers(context.Background()) },
	"flush": func(w *cluster, id string) error { return w.nodes[id].ledger.Flush(context.Background()) },
	"sweep": func(w *cluster, id string) error { return w.nodes[id].holder.Sweep(context.Background()) },
	"stop": func(w *cluster, id string) error {
		n := w.nodes[id]
		delete(w.nodes, id)
		if err := n.ledger.Drain(canceled()); err != nil {
			return err
		}
		return n.holder.HandOver(context.Background(), simPeers{w, id})
	},
}

func (w *cluster) runCommand(args []string) string {
	switch args[0] {
	case "start":
		w.start(args[1], args[2])
		w.refreshList()
	case "kill":
		delete(w.nodes, args[1])
	case "list":
		w.refreshList()
	case "open":
		price, _ := strconv.ParseInt(args[3], 10, 64)
		id, err := w.open(args[1], args[2] == "repeatable", price)
		return mismatch(id+refusedText(err), args[4])
	case "close":
		w.close(args[1], args[2] == "delivered")
	case "log":
		w.log.SetFaults(map[string]kcstandin.LogFaults{
			"up": {}, "down": {Down: true}, "losesAnswers": {LostShare: 1},
		}[args[1]])
	case "links":
		w.linksDown, w.answersLost = args[1] == "cut", args[1] == "losesAnswers"
	case "void":
		w.voidUnreleased()
	case "late":
		w.deliverDelayed()
	case "advance":
		ms, _ := strconv.ParseInt(args[1], 10, 64)
		w.clock.Advance(kcclock.Millis(ms))
	default:
		return "unknown command"
	}
	return ""
}

func mismatch(got, want string) string {
	if got == want {
		return ""
	}
	return "got " + strconv.Quote(got) + ", want " + strconv.Quote(want)
}

func refusedText(err error) string {
	if err != nil {
		return "refused"
	}
	return ""
}
