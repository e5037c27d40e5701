// Package kccapacity measures how the cost of the control plane of an instance
// grows with the size of the system. docs/CAPACITY.md is based on the figures.
package kccapacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Units of figures.
const (
	UnitMicros = "µs"
	UnitBytes  = "B"
	UnitAllocs = "allocations"
	UnitCount  = "1"
)

// Point is one measurement.
type Point struct {
	// Size is the value of the independent variable.
	Size float64 `json:"size"`
	// Value is the median of the repetitions, Min and Max their range. Points of
	// latencies have the 5th and the 95th percentile as Min and Max.
	Value float64 `json:"value"`
	Min   float64 `json:"min"`
	Max   float64 `json:"max"`
}

// Figure is a cost measured at several sizes and the line fitted to the points.
type Figure struct {
	// Name is the name of the measured operation and the kind of cost, such as
	// "list.first.cpu".
	Name string `json:"name"`
	// Variable names the independent variable, such as "runners".
	Variable string `json:"of"`
	Unit     string `json:"unit"`
	// Slope is in Unit per unit of Variable, Intercept in Unit.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Points    []Point `json:"points"`
}

// ValueAt returns the value of the fitted line at a size, in Unit.
func (f *Figure) ValueAt(size float64) float64 { return f.Intercept + f.Slope*size }

// fit sets Slope and Intercept by weighted least squares over the medians. The
// weight is 1/value², so that relative errors count and the points of large
// sizes do not dominate.
func (f *Figure) fit() {
	var w, x, y, xx, xy float64
	for _, p := range f.Points {
		weight := 1 / max(p.Value*p.Value, 1e-12)
		w += weight
		x += weight * p.Size
		y += weight * p.Value
		xx += weight * p.Size * p.Size
		xy += weight * p.Size * p.Value
	}
	if d := w*xx - x*x; len(f.Points) > 1 && d > 1e-12*w*xx {
		f.Slope = (w*xy - x*y) / d
		f.Intercept = (y - f.Slope*x) / w
	} else if w > 0 {
		f.Slope, f.Intercept = 0, y/w
	}
}

// Report is the result of a run.
type Report struct {
	Go      string    `json:"go"`
	CPUs    int       `json:"cpus"`
	Figures []*Figure `json:"figures"`
}

// FindFigure returns the figure with the given name, or nil.
func (r *Report) FindFigure(name string) *Figure {
	if i := slices.IndexFunc(r.Figures, func(f *Figure) bool { return f.Name == name }); i >= 0 {
		return r.Figures[i]
	}
	return nil
}

// addPoint adds a point to the figure with the given name and creates the figure
// if needed.
func (r *Report) addPoint(name, variable, unit string, p Point) {
	f := r.FindFigure(name)
	if f == nil {
		f = &Figure{Name: name, Variable: variable, Unit: unit}
		r.Figures = append(r.Figures, f)
	}
	f.Points = append(f.Points, p)
}

// singlePoint returns a point for a single measurement.
func singlePoint(size, value float64) Point {
	return Point{Size: size, Value: value, Min: value, Max: value}
}

// cpuRepetitions is the number of repetitions of each measurement of CPU time.
// Other load on the machine disturbs single repetitions. CPU time and medians are
// less sensitive to it than elapsed time.
const cpuRepetitions = 5

// pacedCallPauseMs is the pause before each call of measurePacedCalls. Control
// messages of an instance are that far apart, so each one finds cold caches and
// sleeping threads. Back-to-back calls cost only a fraction of that.
const pacedCallPauseMs = 20 * kcclock.Millisecond

// measureCalls runs f in repetitions of n calls. It adds the CPU time of the
// process and the number of allocations, both per call, as name.cpu and
// name.allocs.
func (r *Report) measureCalls(name, variable string, size float64, n int, f func()) {
	r.measureRepeatedCalls(name, variable, size, n, 0, f)
}

// measurePacedCalls is measureCalls with a pause before each call.
func (r *Report) measurePacedCalls(name, variable string, size float64, n int, f func()) {
	r.measureRepeatedCalls(name, variable, size, n, pacedCallPauseMs, f)
}

func (r *Report) measureRepeatedCalls(name, variable string, size float64, n int, pauseMs kcclock.Millis, f func()) {
	f() // the first call opens connections and fills caches
	cpuMicros := make([]float64, cpuRepetitions)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range cpuMicros {
		start := processCPUMicros()
		for range n {
			if pauseMs > 0 {
				<-kcclock.System{}.After(pauseMs)
			}
			f()
		}
		cpuMicros[i] = (processCPUMicros() - start) / float64(n)
	}
	runtime.ReadMemStats(&after)
	slices.Sort(cpuMicros)
	r.addPoint(name+".cpu", variable, UnitMicros, Point{
		Size: size, Value: cpuMicros[cpuRepetitions/2], Min: cpuMicros[0], Max: cpuMicros[cpuRepetitions-1],
	})
	r.addPoint(name+".allocs", variable, UnitAllocs,
		singlePoint(size, float64(after.Mallocs-before.Mallocs)/float64(n*cpuRepetitions)))
}

// measureHeap adds the heap bytes that the value returned by build keeps alive,
// as name.memory.
func (r *Report) measureHeap(name, variable string, size float64, build func() any) {
	before := liveHeapBytes()
	v := build()
	after := liveHeapBytes()
	runtime.KeepAlive(v)
	r.addPoint(name+".memory", variable, UnitBytes, singlePoint(size, max(0, after-before)))
}

func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC() // the first collection only moves sync.Pool contents to the victim cache
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processCPUMicros returns the CPU time that the process has used so far, in µs.
func processCPUMicros() float64 { return float64(kcmetric.CPUMicros()) }

// part is a group of measurements.
type measurementPart struct {
	name string
	run  func(context.Context, *Report) error
}

func measurementParts() []measurementPart {
	return []measurementPart{
		{"list", measureList},
		{"log", measureLog},
		{"directory", measureDirectory},
		{"route", measureRoute},
		{"digest", measureDigest},
		{"config", measureConfig},
		{"session", measureSession},
		{"requests", measureRequests},
		{"claims", measureClaims},
		{"stale", measureStaleLoad},
	}
}

// Run measures the parts named in only, or all parts if only is empty.
func Run(ctx context.Context, only []string) (*Report, error) {
	r := &Report{Go: runtime.Version(), CPUs: runtime.NumCPU()}
	var names []string
	for _, p := range measurementParts() {
		names = append(names, p.name)
		if len(only) > 0 && !slices.Contains(only, p.name) {
			continue
		}
		if err := p.run(ctx, r); err != nil {
			return nil, fmt.Errorf("measure %s: %w", p.name, err)
		}
	}
	for _, name := range only {
		if !slices.Contains(names, name) {
			return nil, fmt.Errorf("no part %q; the parts are %s", name, strings.Join(names, ", "))
		}
	}
	for _, f := range r.Figures {
		f.fit()
	}
	return r, nil
}
