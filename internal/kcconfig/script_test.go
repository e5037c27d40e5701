package kcconfig_test

import (
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

// Guards against the failures that the first line of each case names.
func TestScripts(t *testing.T) {
	for _, file := range []string{"testdata/fold.txtar", "testdata/log.txtar", "testdata/peers.txtar", "testdata/freshness.txtar"} {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range archive.Files {
			t.Run(f.Name, func(t *testing.T) {
				w := newCluster()
				for n, line := range strings.Split(strings.TrimSpace(string(f.Data)), "\n") {
					if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
						do, ok := steps[words[0]]
						if !ok {
							t.Fatalf("%s: %s line %d: unknown step %s", file, f.Name, n+1, words[0])
						}
						if err := do(w, t.Context(), words[1:]); err != nil {
							t.Fatalf("%s: %s line %d, %s: %v", file, f.Name, n+1, line, err)
						}
					}
				}
			})
		}
	}
}
