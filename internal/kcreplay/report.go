package kcreplay

import (
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Report holds the metrics of a run.
type Report struct {
	Trace  string `json:"trace"`
	Seed   uint64 `json:"seed"`
	Policy string `json:"policy"`
	// Metrics maps names such as costPerGood, goodShare.CLASS, p99Ms.CLASS,
	// missed.CLASS and refused.CODE to values.
	Metrics map[string]float64 `json:"figures"`
	// Violations holds one message for each stated outcome that was not met.
	Violations []string `json:"misses,omitempty"`

	results []Result
	trace   *Trace
	classes []kcrules.Class
}

// Run simulates the trace under the policy and returns the report.
func Run(t *Trace, p Policy) *Report {
	s := simulate(t, p)
	r := &Report{
		Trace: t.Header.Name, Seed: t.Header.Seed, Policy: p.Name, Metrics: make(map[string]float64),
		results: s.results, trace: t,
	}
	r.computeMetrics()
	f := r.Metrics
	f["linkBytes"] = float64(s.linkBytes)
	f["badServed"] = float64(s.degradedAnswers)
	f["stopped"] = 0
	if s.rolloutStoppedAt >= 0 {
		f["stopped"] = 1
		if s.degradedAt >= 0 {
			f["stopMs"] = float64(s.rolloutStoppedAt - s.degradedAt)
		}
	}
	f["falseStop"] = 0
	if s.rolloutStoppedAt >= 0 && (s.degradedAt < 0 || s.rolloutStoppedAt < s.degradedAt) {
		f["falseStop"] = 1
	}
	f["unfinished"] = float64(s.unfinished)
	return r
}

// classStats collects the results of one class.
type classStats struct {
	latencies       []kcclock.Millis
	good, delivered float64
	missed          float64
}

// computeMetrics derives the metrics from the results of all arrivals.
func (r *Report) computeMetrics() {
	classes := make(map[kcrules.Class]*classStats)
	var cost, good, chats float64
	f := r.Metrics
	f["onceRepeated"], f["billMismatch"] = 0, 0
	for i := range r.results {
		res, a := &r.results[i], &r.trace.Arrivals[i]
		c := classes[a.Class]
		if c == nil {
			c = &classStats{}
			classes[a.Class] = c
			r.classes = append(r.classes, a.Class)
		}
		c.add(res)
		if res.Code != "" {
			f["refused."+string(res.Code)]++
		}
		if a.NonIdempotent && res.Executions > 1 {
			f["onceRepeated"]++
		}
		if a.Service == "" {
			chats++
			cost += res.Cost
			if res.Good && res.InTime {
				good++
			}
		}
	}
	slices.Sort(r.classes)
	f["requests"], f["chats"], f["cost"] = float64(len(r.results)), chats, cost
	f["goodInTimeShare"] = good / max(chats, 1)
	f["costPerGood"] = cost / max(good, 1)
	f["meetsTarget"] = 1
	for class, c := range classes {
		c.writeMetrics(f, string(class))
		if target := r.qualityTarget(class); target > 0 && f["goodShare."+string(class)] < target {
			f["meetsTarget"] = 0
		}
	}
}

// qualityTarget returns the quality target of class, or 0. It takes any
// workspace that has one, as generated rules have the same targets for all.
func (r *Report) qualityTarget(class kcrules.Class) float64 {
	for _, w := range r.trace.Header.Rules.Workspaces {
		if q, ok := w.QualityTarget[class]; ok {
			return q
		}
	}
	return 0
}

// add counts one result. Requests over a limit of the workspace do not count as
// missed.
func (c *classStats) add(res *Result) {
	if res.Code == "" && res.done {
		c.delivered++
		c.latencies = append(c.latencies, res.LatencyMs)
		if res.Good {
			c.good++
		}
	}
	if !res.InTime && res.Code != kcapi.CodeRateLimited {
		c.missed++
	}
}

func (c *classStats) writeMetrics(f map[string]float64, class string) {
	slices.Sort(c.latencies)
	f["p50Ms."+class] = quantile(c.latencies, 0.5)
	f["p95Ms."+class] = quantile(c.latencies, 0.95)
	f["p99Ms."+class] = quantile(c.latencies, 0.99)
	f["goodShare."+class] = c.good / max(c.delivered, 1)
	f["missed."+class] = c.missed
	f["missed"] += c.missed
}

func quantile(sorted []kcclock.Millis, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(math.Ceil(q*float64(len(sorted))))-1])
}
