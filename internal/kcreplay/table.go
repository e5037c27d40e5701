package kcreplay

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
)

// tableRun is one run of the table: a scenario under a policy.
type tableRun struct {
	deployment, scenario string
	policy               Policy
	report               *Report
}

// WriteTable runs every scenario of both deployments under the router and the
// baselines and writes the metrics as Markdown.
func WriteTable(w io.Writer, seed uint64) error {
	cells, err := runAll(seed)
	if err != nil {
		return err
	}
	t := &table{w: w, seed: seed}
	t.writeHeader()
	for _, d := range Deployments() {
		for _, s := range Scenarios() {
			var rows []tableRun
			for _, c := range cells {
				if c.deployment == d && c.scenario == s {
					rows = append(rows, c)
				}
			}
			t.writeSection(rows)
		}
	}
	t.writeTargets()
	return errs.Wrap(t.err)
}

func runAll(seed uint64) ([]tableRun, error) {
	var cells []tableRun
	traces := make(map[string]*Trace)
	for _, d := range Deployments() {
		for _, s := range Scenarios() {
			trace, err := Generate(d+"/"+s, seed)
			if err != nil {
				return nil, err
			}
			traces[d+"/"+s] = trace
			for _, p := range append([]Policy{RouterPolicy()}, BaselinePolicies()...) {
				cells = append(cells, tableRun{deployment: d, scenario: s, policy: p})
			}
		}
	}
	// Use half of the processors, because making the table is a background task.
	slots := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	var wg sync.WaitGroup
	for i := range cells {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			cells[i].report = Run(traces[cells[i].deployment+"/"+cells[i].scenario], cells[i].policy)
		})
	}
	wg.Wait()
	return cells, nil
}

// table writes the Markdown page. It keeps the first write error and the rows of
// the targets, which follow the sections.
type table struct {
	w          io.Writer
	seed       uint64
	err        error
	targetRows []string
}

func (t *table) printf(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format, args...)
	}
}

func (t *table) writeHeader() {
	t.printf("# Measurements\n\n"+
		"Made by `kingcuprail replay --table docs/measurements.md --seed %d`; do not edit. Each section is a generated day "+
		"of 12 hours (`kingcuprail replay --generate NAME --seed %d PATH` writes its trace). The simulation uses the decision "+
		"code of `serve`; engines, network, ratings and answers are simulated, so the figures compare policies and do not "+
		"predict a site. Every policy meets the same arrivals, difficulties and faults. All runs start without learned "+
		"evidence.\n\n"+
		"Cost is in list price micro-units per answer that is good and in time. \"Good\" is the share of chats with such an "+
		"answer. \"Meets\" tells whether the delivered answers of every class reach the quality target. \"Missed\" counts requests "+
		"without an answer before the deadline, refusals included but those of a limit of the workspace; these stand under "+
		"\"limited\". \"Bad served\" counts answers of the version after it turned bad, and their share of all chats. Latencies are "+
		"p50/p95/p99 in ms, of delivered answers. The fixed canary gives 10%% for an hour, then everything, and compares the "+
		"ratings of each hour by stratum with a margin of 10 points; the simple baselines use it too.\n\n"+
		"\"Fixed canary\" and \"no cascade\" are the router without one of its parts. The fixed canary differs in cost only by when "+
		"each run learned which way is cheap, in either direction. How many requests meet a bad version depends first on "+
		"whether the ways that were learned use its model at that time; where the run with the fixed canary hardly used it, a fifth "+
		"of its few answers is missed.\n", t.seed, t.seed)
}

func (t *table) writeSection(rows []tableRun) {
	first := rows[0].report
	t.printf("\n## %s, %s\n\n", rows[0].deployment, rows[0].scenario)
	t.printf("| policy | cost | good | meets | missed | limited | bad served | stop after s | link MB |")
	for _, c := range first.classes {
		t.printf(" %s |", c)
	}
	t.printf("\n|---|---|---|---|---|---|---|---|---|%s\n", strings.Repeat("---|", len(first.classes)))
	for _, row := range rows {
		t.writeRow(row.report)
	}
	t.checkTargets(rows)
}

func (t *table) writeRow(r *Report) {
	f := r.Metrics
	stop := "-"
	if f["stopped"] > 0 {
		stop = "false stop"
		if f["falseStop"] == 0 {
			stop = fmt.Sprintf("%.0f", f["stopMs"]/1000)
		}
	}
	meets := "no"
	if f["meetsTarget"] > 0 {
		meets = "yes"
	}
	t.printf("| %s | %.0f | %.4f | %s | %.0f | %.0f | %.0f (%.2f%%) | %s | %.1f |", r.Policy, f["costPerGood"], f["goodInTimeShare"],
		meets, f["missed"], f["refused."+string(kcapi.CodeRateLimited)], f["badServed"], 100*f["badServed"]/f["chats"],
		stop, f["linkBytes"]/1e6)
	for _, c := range r.classes {
		t.printf(" %.0f/%.0f/%.0f |", f["p50Ms."+string(c)], f["p95Ms."+string(c)], f["p99Ms."+string(c)])
	}
	t.printf("\n")
}

// Targets of the design page, as the minimum saving against the policy "always
// largest" and the maximum ratio of degraded answers to those of the fixed canary.
const (
	costSavingTarget    = 0.4
	exposureRatioTarget = 0.2
)

// checkTargets compares the router, which is the first row, with the targets.
func (t *table) checkTargets(rows []tableRun) {
	router := rows[0].report
	name := rows[0].deployment + ", " + rows[0].scenario
	addTarget := func(target string, met bool, detail string, args ...any) {
		verdict := "missed"
		if met {
			verdict = "met"
		}
		t.targetRows = append(t.targetRows, fmt.Sprintf("| %s | %s | %s | %s |", name, target, verdict, fmt.Sprintf(detail, args...)))
	}
	f := router.Metrics
	byName := make(map[string]*Report)
	cheaperBaseline := ""
	for _, r := range rows[1:] {
		byName[r.policy.Name] = r.report
		if g := r.report.Metrics; g["meetsTarget"] > 0 && g["costPerGood"] < f["costPerGood"] {
			cheaperBaseline = fmt.Sprintf("%s costs %.0f, the router %.0f", r.policy.Name, g["costPerGood"], f["costPerGood"])
		}
	}
	addTarget("quality target", f["meetsTarget"] > 0, "%s", router.goodSharesText())
	saving := 1 - f["costPerGood"]/byName["always largest"].Metrics["costPerGood"]
	addTarget("cost 40% below always largest", saving >= costSavingTarget, "%.1f%% below", 100*saving)
	addTarget("cost below every baseline that meets the target", cheaperBaseline == "", "%s", cheaperBaseline)
	class := kcrules.Class("menu")
	lookup := kcrules.Class("lookup")
	if rows[0].deployment == "registry" {
		class, lookup = "draft", "status"
	}
	n := router.missedOnlyByRouter(rows[1:], class)
	addTarget("no "+string(class)+" deadline missed that a baseline meets", n == 0, "%d missed alone", n)
	key := "p99Ms." + string(lookup)
	ours, theirs := f[key], byName["least load"].Metrics[key]
	addTarget(string(lookup)+" p99 not above least load", ours <= theirs, "%.0f ms against %.0f ms", ours, theirs)
	if canary := byName["fixed canary"].Metrics["badServed"]; rows[0].scenario == ScenarioVersionDegraded ||
		rows[0].scenario == ScenarioRolloutStuck {
		addTarget("exposure at most a fifth of the fixed canary", f["badServed"] <= exposureRatioTarget*canary,
			"%.0f against %.0f", f["badServed"], canary)
	} else {
		addTarget("no false stop", f["falseStop"] == 0, "")
	}
}

func (r *Report) goodSharesText() string {
	var out []string
	for _, c := range r.classes {
		if target := r.qualityTarget(c); target > 0 {
			out = append(out, fmt.Sprintf("%s %.3f of %.2f", c, r.Metrics["goodShare."+string(c)], target))
		}
	}
	return strings.Join(out, ", ")
}

// missedOnlyByRouter counts the requests of class that got no answer in time here
// but did under one of the others. Requests over a limit of the workspace do not
// count.
func (r *Report) missedOnlyByRouter(others []tableRun, class kcrules.Class) int {
	n := 0
	for i := range r.results {
		if r.trace.Arrivals[i].Class != class || r.results[i].InTime || r.results[i].Code == kcapi.CodeRateLimited {
			continue
		}
		for _, o := range others {
			if o.report.results[i].InTime {
				n++
				break
			}
		}
	}
	return n
}

func (t *table) writeTargets() {
	t.printf("\n## Targets\n\nThe targets stand on the design page.\n\n")
	t.printf("| day | target | result | measured |\n|---|---|---|---|\n%s\n", strings.Join(t.targetRows, "\n"))
}
