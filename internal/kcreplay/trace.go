// Package kcreplay runs recorded or generated traces against the decision code of
// the router in a discrete-event simulation that uses the clock of the trace.
package kcreplay

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Trace is a recorded or generated day of requests and faults.
type Trace struct {
	Header   Header
	Arrivals []Arrival
	Faults   []Fault
}

// Header is the first line of a trace file.
type Header struct {
	// Generate is the name of a trace to generate. If it is set, the file contains
	// only this name and the seed.
	Generate string `json:"generate,omitempty"`
	// Name consists of the deployment and the scenario, as for Generate.
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// EndMs is the end of the arrivals in milliseconds since the start at 0.
	EndMs       kcclock.Millis `json:"endMs"`
	Rules       kcrules.Rules  `json:"rules"`
	Environment Environment    `json:"world"`
}

// Environment describes what the router cannot see or change.
type Environment struct {
	// EntryInstances are the locations of the router instances.
	EntryInstances []Location `json:"entries"`
	// Upstreams are the runners of all versions and services.
	Upstreams []Upstream `json:"upstreams"`
	// Quality is the real share of good answers per version and class; the
	// class "default" covers the others.
	Quality map[string]map[kcrules.Class]float64 `json:"quality"`
	// CheckDetectionRate is the share of bad answers that the check in the request
	// path rejects. CheckFalsePositiveRate is the share of good answers that it
	// rejects.
	CheckDetectionRate     float64 `json:"checkFinds"`
	CheckFalsePositiveRate float64 `json:"checkFalse"`
	// RatedShare is the share of answers that get a rating, RatingDelayMs after the
	// answer. Answers of exploratory cascades are always rated.
	RatedShare    float64        `json:"ratedShare"`
	RatingDelayMs kcclock.Millis `json:"ratingDelayMs"`
	// LoadReportDelayMs is the age of a load report when it arrives.
	LoadReportDelayMs kcclock.Millis `json:"loadLagMs"`
	// CacheEventLossShare is the share of cache events that never arrive.
	CacheEventLossShare float64 `json:"cacheEventLoss"`
	// ClientDelayMs is the one-way delay between callers and instances.
	ClientDelayMs kcclock.Millis `json:"clientMs"`
}

// Location is the availability zone and region of an instance or runner.
type Location struct {
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Upstream describes one runner.
type Upstream struct {
	Location
	// Serves lists name@version, or service/NAME for a plain service.
	Serves []string `json:"serves"`
	Slots  int      `json:"slots"`
	// DecodeStepMs is the duration of one decoding step with an empty batch; it
	// doubles with a full one. For a plain service it is the duration of a call.
	DecodeStepMs float64 `json:"stepMs"`
	// MaxCachedPrefixes bounds the number of prompt prefix blocks in the cache.
	MaxCachedPrefixes int `json:"cachePrefixes,omitempty"`
}

// Arrival is one request. Its ID is its index in the trace.
type Arrival struct {
	At        kcclock.Millis `json:"at"`
	Workspace string         `json:"ws"`
	Class     kcrules.Class  `json:"class"`
	Session   string         `json:"session,omitempty"`
	// Prefixes are the IDs of the blocks that the prompt starts with.
	Prefixes     []uint64 `json:"prefix,omitempty"`
	PromptTokens int      `json:"prompt,omitempty"`
	OutputTokens int      `json:"output,omitempty"`
	// MaxWaitMs is the time from arrival to the deadline of the caller.
	MaxWaitMs kcclock.Millis `json:"maxWait"`
	// Service is the plain service that is called, or "" for a chat.
	Service string `json:"service,omitempty"`
	// NonIdempotent marks calls that must not be retried or hedged.
	NonIdempotent bool `json:"once,omitempty"`
}

// FaultKind is the effect of a fault.
type FaultKind string

// Values of FaultKind.
const (
	// FaultRunnersDown stops the share Factor of the runners of Target.
	FaultRunnersDown FaultKind = "poolDown"
	// FaultVersionDegraded multiplies the quality of Target by Factor.
	FaultVersionDegraded FaultKind = "versionBad"
	// FaultStoreDown makes the log unavailable, so there are no claims and no
	// configuration changes.
	FaultStoreDown FaultKind = "storeDown"
	// FaultRegionPartition stops all traffic between regions.
	FaultRegionPartition FaultKind = "regionCut"
	// FaultRolloutStuck stops the controller that publishes the stages of rollouts.
	FaultRolloutStuck FaultKind = "rolloutStuck"
)

// Fault is a fault that lasts from At to Until. With Until 0 it lasts to the end.
type Fault struct {
	At     kcclock.Millis `json:"at"`
	Until  kcclock.Millis `json:"until"`
	Kind   FaultKind      `json:"fault"`
	Target string         `json:"target,omitempty"`
	Factor float64        `json:"factor,omitempty"`
}

// traceLine is one line of a trace file after the header.
type traceLine struct {
	Arrival *Arrival `json:"arrival,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// maxLineBytes bounds a line of a trace file; the header is the longest line.
const maxLineBytes = 1 << 20

// ReadTrace reads the trace file at path.
func ReadTrace(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	t := &Trace{}
	sc := bufio.NewScanner(f)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for n := 1; sc.Scan(); n++ {
		if err := t.addLine(n, sc.Bytes()); err != nil {
			return nil, errs.New("%s:%d: %v", path, n, err)
		}
	}
	if t.Header.Generate != "" {
		return Generate(t.Header.Generate, t.Header.Seed)
	}
	if len(t.Arrivals) == 0 && sc.Err() == nil {
		return nil, errs.New("%s: the trace has no arrivals", path)
	}
	return t, errs.Wrap(sc.Err())
}

func (t *Trace) addLine(n int, b []byte) error {
	if n == 1 {
		return json.Unmarshal(b, &t.Header)
	}
	var l traceLine
	if err := json.Unmarshal(b, &l); err != nil {
		return err
	}
	switch {
	case l.Arrival != nil:
		t.Arrivals = append(t.Arrivals, *l.Arrival)
	case l.Fault != nil:
		t.Faults = append(t.Faults, *l.Fault)
	default:
		return errs.New("the line has neither an arrival nor a fault")
	}
	return nil
}

// WriteTrace writes t as JSON lines.
func WriteTrace(w io.Writer, t *Trace) error {
	bw := bufio.NewWriter(w)
	enc := json.NewEncoder(bw)
	if err := enc.Encode(t.Header); err != nil {
		return errs.Wrap(err)
	}
	for i := range t.Faults {
		if err := enc.Encode(traceLine{Fault: &t.Faults[i]}); err != nil {
			return errs.Wrap(err)
		}
	}
	for i := range t.Arrivals {
		if err := enc.Encode(traceLine{Arrival: &t.Arrivals[i]}); err != nil {
			return errs.Wrap(err)
		}
	}
	return errs.Wrap(bw.Flush())
}

// Outcome states bounds for one metric of the report.
type Outcome struct {
	// Metric is the name of a metric of the report.
	Metric string   `json:"figure"`
	Min    *float64 `json:"min,omitempty"`
	Max    *float64 `json:"max,omitempty"`
}

// OutcomesPath returns the path of the file with the stated outcomes of the
// trace at path.
func OutcomesPath(path string) string {
	return strings.TrimSuffix(path, ".jsonl") + ".outcomes.json"
}

// ReadOutcomes reads the stated outcomes of the trace at path from OutcomesPath.
func ReadOutcomes(path string) ([]Outcome, error) {
	b, err := os.ReadFile(OutcomesPath(path))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	var out []Outcome
	if err := json.Unmarshal(b, &out); err != nil {
		return nil, errs.New("%s: %v", OutcomesPath(path), err)
	}
	return out, nil
}

// CheckOutcomes returns one message for each outcome that the metrics violate. An
// unknown metric is a violation.
func CheckOutcomes(figures map[string]float64, outcomes []Outcome) []string {
	var out []string
	for _, o := range outcomes {
		v, ok := figures[o.Metric]
		switch {
		case !ok:
			out = append(out, "no figure "+o.Metric)
		case o.Min != nil && !(v >= *o.Min):
			out = append(out, errs.New("%s is %.6g, must be at least %.6g", o.Metric, v, *o.Min).Error())
		case o.Max != nil && !(v <= *o.Max):
			out = append(out, errs.New("%s is %.6g, must be at most %.6g", o.Metric, v, *o.Max).Error())
		}
	}
	return out
}
