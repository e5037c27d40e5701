package commands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcreplay"
)

type replayCommand struct {
	Path     string `arg:"" optional:"" help:"Trace file; the stated outcomes are in the file beside it."`
	Report   string `type:"path" help:"Write the report as JSON to this file."`
	Plot     string `type:"path" help:"Write a plot as SVG to this file."`
	Generate string `help:"Write the generated trace NAME to PATH instead, such as harvest/plain or registry/flood/short."`
	Table    string `type:"path" help:"Run all scenarios and baselines and write the table to this file."`
	Seed     uint64 `default:"1" help:"Seed of generated traces."`
	Policy   string `default:"router" help:"Policy to run: router, or the name of a baseline."`
}

// Run replays a trace, or generates one.
func (c *replayCommand) Run(e *commandEnv) error {
	switch {
	case c.Table != "":
		return writeFile(c.Table, func(w io.Writer) error { return kcreplay.WriteTable(w, c.Seed) })
	case c.Path == "":
		return errs.New("name a trace file, or use --table FILE")
	case c.Generate != "":
		t, err := kcreplay.Generate(c.Generate, c.Seed)
		if err != nil {
			return err
		}
		return writeFile(c.Path, func(w io.Writer) error { return kcreplay.WriteTrace(w, t) })
	}
	return c.replayTrace(e)
}

func (c *replayCommand) replayTrace(e *commandEnv) error {
	policy, err := findPolicy(c.Policy)
	if err != nil {
		return err
	}
	trace, err := kcreplay.ReadTrace(c.Path)
	if err != nil {
		return err
	}
	outcomes, err := kcreplay.ReadOutcomes(c.Path)
	if err != nil {
		return err
	}
	r := kcreplay.Run(trace, policy)
	r.Violations = kcreplay.CheckOutcomes(r.Metrics, outcomes)
	if c.Report != "" {
		if err := writeFile(c.Report, func(w io.Writer) error { return writeJSON(w, r) }); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		if err := writeFile(c.Plot, r.WritePlot); err != nil {
			return err
		}
	}
	if len(r.Violations) > 0 {
		return errs.New("%s: %s", c.Path, strings.Join(r.Violations, "; "))
	}
	_, err = fmt.Fprintf(e.stdout, "%s: %d requests, %d outcomes met\n", c.Path, len(trace.Arrivals), len(outcomes))
	return errs.Wrap(err)
}

func findPolicy(name string) (kcreplay.Policy, error) {
	for _, p := range append(kcreplay.BaselinePolicies(), kcreplay.RouterPolicy()) {
		if p.Name == name {
			return p, nil
		}
	}
	return kcreplay.Policy{}, errs.New("no policy %q; use router or a baseline such as \"least load\"", name)
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errs.Wrap(enc.Encode(v))
}

// writeFile writes the file only if write succeeds, so that a failure does not
// leave a partial file.
func writeFile(path string, write func(io.Writer) error) error {
	var b bytes.Buffer
	if err := write(&b); err != nil {
		return err
	}
	return errs.Wrap(os.WriteFile(path, b.Bytes(), 0o644))
}
