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

// Guards against the faults that the comment of each file in testdata names.
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
			w := newWorld(1)
			for i, line := range strings.Split(string(archive.Files[0].Data), "\n") {
				if args := strings.Fields(line); len(args) > 0 {
					if got := w.do(args); got != "" {
						t.Fatalf("%s line %d: %s: %s", file, i+1, line, got)
					}
				}
			}
		})
	}
}

// do runs one line of a script and returns what differs from it, or "".
func (w *world) do(args []string) string {
	args = append(args, "", "", "", "")
	if check, ok := checks[args[0]]; ok {
		got, want := check(w, args[1]), strings.TrimSpace(args[2]+" "+args[3])
		return differ(got, want)
	}
	if step, ok := steps[args[0]]; ok {
		return differ(errText(step(w, args[1])), args[2])
	}
	return w.change(args)
}

// checks return a value that the rest of the line states.
var checks = map[string]func(*world, string) string{
	"safe": func(w *world, id string) string {
		w.observe()
		return strconv.FormatBool(w.nodes[w.requests[id].sender].ledger.Safe(id))
	},
	"held":    func(w *world, id string) string { return strconv.Itoa(w.nodes[id].holder.Held()) },
	"pending": func(w *world, id string) string { return strconv.Itoa(w.nodes[id].ledger.Pending()) },
	"bill": func(w *world, id string) string {
		b, _ := w.book().Lookup(id)
		return string(b.State) + " " + strconv.FormatInt(b.Amount, 10)
	},
	"repeated": func(w *world, n string) string { return differ(strconv.Itoa(w.book().Repeated), n) },
}

// steps are done by an instance; the line ends with "refused" if they fail.
var steps = map[string]func(*world, string) error{
	"copy":  func(w *world, id string) error { return w.nodes[id].ledger.Copy(context.Background()) },
	"flush": func(w *world, id string) error { return w.nodes[id].ledger.Flush(context.Background()) },
	"sweep": func(w *world, id string) error { return w.nodes[id].holder.Sweep(context.Background()) },
	"stop": func(w *world, id string) error {
		n := w.nodes[id]
		delete(w.nodes, id)
		if err := n.ledger.Drain(canceled()); err != nil {
			return err
		}
		return n.holder.HandOver(context.Background(), simPeers{w, id})
	},
}

func (w *world) change(args []string) string {
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
		return differ(id+errText(err), args[4])
	case "close":
		w.close(args[1], args[2] == "delivered")
	case "log":
		w.log.SetFaults(map[string]kcstandin.LogFaults{
			"up": {}, "down": {Down: true}, "losesAnswers": {LostShare: 1},
		}[args[1]])
	case "links":
		w.cut, w.lossy = args[1] == "cut", args[1] == "losesAnswers"
	case "void":
		w.void()
	case "late":
		w.deliverLate()
	case "advance":
		ms, _ := strconv.ParseInt(args[1], 10, 64)
		w.clock.Advance(kcclock.Millis(ms))
	default:
		return "unknown command"
	}
	return ""
}

func differ(got, want string) string {
	if got == want {
		return ""
	}
	return "got " + strconv.Quote(got) + ", want " + strconv.Quote(want)
}

func errText(err error) string {
	if err != nil {
		return "refused"
	}
	return ""
}
