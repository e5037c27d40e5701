package kcreplay

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const traceDir = "../../testdata/replay"

// Guards against a simulation that depends on map iteration order or on the wall
// clock: two runs of the same trace must give byte-identical reports.
func TestRunsAreRepeatable(t *testing.T) {
	for _, name := range []string{"harvest/poolExhausted/tiny", "registry/regionCut/tiny"} {
		for _, p := range append(BaselinePolicies(), RouterPolicy()) {
			var reports [2]string
			for i := range reports {
				trace, err := Generate(name, 5)
				if err != nil {
					t.Fatal(err)
				}
				// One slot per runner, so that requests queue.
				for u := range trace.Header.Environment.Upstreams {
					trace.Header.Environment.Upstreams[u].Slots = 1
				}
				b, err := json.Marshal(Run(trace, p))
				if err != nil {
					t.Fatal(err)
				}
				reports[i] = string(b)
			}
			if reports[0] != reports[1] {
				t.Errorf("%s, %s: two runs differ:\n%s\n%s", name, p.Name, reports[0], reports[1])
			}
		}
	}
}

// Guards against a trace file that differs from the generated trace, and against a
// format change that makes a committed trace unreadable.
func TestTraceFileRoundTrip(t *testing.T) {
	generated, err := Generate("harvest/plain/tiny", 1)
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	if err := WriteTrace(&want, generated); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "x.jsonl")
	if err := os.WriteFile(path, want.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, p := range []string{path, filepath.Join(traceDir, "tiny.jsonl")} {
		read, err := ReadTrace(p)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if err := WriteTrace(&got, read); err != nil {
			t.Fatal(err)
		}
		if got.String() != want.String() {
			t.Errorf("%s differs from what was generated", p)
		}
	}
	if err := os.WriteFile(path, []byte("{}\n{\"arrival\":{}}\n{}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadTrace(path); err == nil || !strings.Contains(err.Error(), "x.jsonl:3") {
		t.Errorf("error %v, want one that names line 3", err)
	}
}

// Guards against outcomes that pass although their metric is missing, is NaN or is
// out of bounds.
func TestCheckOutcomes(t *testing.T) {
	bound := 1.0
	outcomes := []Outcome{
		{Metric: "a", Max: &bound}, {Metric: "b", Min: &bound}, {Metric: "c", Max: &bound}, {Metric: "d", Min: &bound},
	}
	var zero float64
	got := CheckOutcomes(map[string]float64{"a": 2, "b": 1, "d": zero / zero}, outcomes)
	want := []string{"a is 2, must be at most 1", "no figure c", "d is NaN, must be at least 1"}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("misses %q, want %q", got, want)
	}
}

// Guards against a plot that is not well-formed or lacks a class.
func TestPlotIsCompleteSVG(t *testing.T) {
	trace, err := Generate("harvest/storeDown/tiny", 1)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := Run(trace, RouterPolicy()).WritePlot(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg ", "</svg>", ">menu<", ">lookup<", "storeDown"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the plot lacks %q", want)
		}
	}
}
