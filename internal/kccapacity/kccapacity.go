// Package kccapacity measures how the cost of the control parts of an instance
// grows with the size of the system. The figures stand behind docs/CAPACITY.md.
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
	Micros = "µs"
	Bytes  = "B"
	Allocs = "allocations"
	Count  = "1"
)

// Point is one measurement.
type Point struct {
	// Size is the value of the quantity that is varied.
	Size float64 `json:"size"`
	// Value is the median of the repetitions, Min and Max their spread.
	Value float64 `json:"value"`
	Min   float64 `json:"min"`
	Max   float64 `json:"max"`
}

// Figure is a cost at several sizes and the line through it.
type Figure struct {
	// Name is "part.what", such as "list.read".
	Name string `json:"name"`
	// Of names the quantity that is varied, such as "runners".
	Of   string `json:"of"`
	Unit string `json:"unit"`
	// Slope is in Unit per item of Of, Intercept in Unit.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Points    []Point `json:"points"`
}

// At returns what the line predicts for a size, in Unit.
func (f *Figure) At(size float64) float64 { return f.Intercept + f.Slope*size }

// fit sets the line through the medians by least squares. The squares are
// weighed by 1/value², so that the large sizes do not decide alone.
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

// Find returns the figure with the name, or nil.
func (r *Report) Find(name string) *Figure {
	if i := slices.IndexFunc(r.Figures, func(f *Figure) bool { return f.Name == name }); i >= 0 {
		return r.Figures[i]
	}
	return nil
}

// add adds a point to the figure with the name.
func (r *Report) add(name, of, unit string, p Point) {
	f := r.Find(name)
	if f == nil {
		f = &Figure{Name: name, Of: of, Unit: unit}
		r.Figures = append(r.Figures, f)
	}
	f.Points = append(f.Points, p)
}

// one returns a point without spread.
func one(size, value float64) Point { return Point{Size: size, Value: value, Min: value, Max: value} }

// repetitions of each measurement of time. Other work on the machine disturbs
// single ones; processor time and medians are less sensitive than elapsed time.
const repetitions = 5

// pause between two calls of paced. Control messages are that far apart in an
// instance and find cold caches and sleeping threads; calls without a pause
// cost a fraction of that.
const pause = 20 * kcclock.Millisecond

// cost runs f in repetitions of n calls and adds the processor time of the
// process and the allocations, both per call, as name.cpu and name.allocs.
func (r *Report) cost(name, of string, size float64, n int, f func()) {
	r.repeat(name, of, size, n, 0, f)
}

// paced is cost with a pause between the calls.
func (r *Report) paced(name, of string, size float64, n int, f func()) {
	r.repeat(name, of, size, n, pause, f)
}

func (r *Report) repeat(name, of string, size float64, n int, pause kcclock.Millis, f func()) {
	f() // the first call opens connections and fills caches
	times := make([]float64, repetitions)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range times {
		start := processorMicros()
		for range n {
			if pause > 0 {
				<-kcclock.System{}.After(pause)
			}
			f()
		}
		times[i] = (processorMicros() - start) / float64(n)
	}
	runtime.ReadMemStats(&after)
	slices.Sort(times)
	r.add(name+".cpu", of, Micros, Point{
		Size: size, Value: times[repetitions/2], Min: times[0], Max: times[repetitions-1],
	})
	r.add(name+".allocs", of, Allocs, one(size, float64(after.Mallocs-before.Mallocs)/float64(n*repetitions)))
}

// heap adds the bytes that the value of build keeps alive as name.memory.
func (r *Report) heap(name, of string, size float64, build func() any) {
	before := liveBytes()
	v := build()
	after := liveBytes()
	runtime.KeepAlive(v)
	r.add(name+".memory", of, Bytes, one(size, max(0, after-before)))
}

func liveBytes() float64 {
	runtime.GC()
	runtime.GC() // the first one only moves the contents of pools aside
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorMicros returns the processor time that the process has used so far.
func processorMicros() float64 { return float64(kcmetric.CPUMicros()) }

// part is a group of measurements.
type part struct {
	name string
	run  func(context.Context, *Report) error
}

func parts() []part {
	return []part{
		{"list", measureList},
		{"log", measureLog},
		{"directory", measureDirectory},
		{"route", measureRoute},
		{"digest", measureDigest},
		{"config", measureConfig},
		{"session", measureSession},
		{"requests", measureRequests},
		{"claims", measureClaims},
		{"stale", measureStale},
	}
}

// Run measures the parts whose names are in only, or all if it is empty.
func Run(ctx context.Context, only []string) (*Report, error) {
	r := &Report{Go: runtime.Version(), CPUs: runtime.NumCPU()}
	var names []string
	for _, p := range parts() {
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
