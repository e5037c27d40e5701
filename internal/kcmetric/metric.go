// Package kcmetric collects the counters, gauges and histograms of a process.
package kcmetric

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// reservoirSize is the number of samples that a histogram keeps. It limits the
// memory of the histogram.
const reservoirSize = 1028

// reservoirDecayAlpha is the decay factor of the reservoir. It gives the most
// weight to the samples of the last five minutes.
const reservoirDecayAlpha = 0.015

// Registry holds the metrics of one instance.
type Registry struct{ metrics.Registry }

// New returns an empty registry.
func New() *Registry { return &Registry{metrics.NewRegistry()} }

// Count adds 1 to the counter name.
func (r *Registry) Count(name string) { r.Add(name, 1) }

// Add adds n to the counter name.
func (r *Registry) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.Registry).Inc(n)
}

// CountRefusal counts a refused request by reason.
func (r *Registry) CountRefusal(reason string) { r.Count("refusals." + reason) }

// CountRetry counts a retry by reason.
func (r *Registry) CountRetry(reason string) { r.Count("retries." + reason) }

// Observe adds a latency in milliseconds to the histogram name.
func (r *Registry) Observe(name string, d kcclock.Millis) { r.updateHistogram(name, int64(d)) }

// ObserveMicros adds a latency in microseconds to the histogram name.
func (r *Registry) ObserveMicros(name string, d time.Duration) {
	r.updateHistogram(name, d.Microseconds())
}

func (r *Registry) updateHistogram(name string, v int64) {
	h := r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirDecayAlpha))
	})
	h.(metrics.Histogram).Update(v)
}

// WriteTo writes one "name value" line per counter, gauge and quantile, sorted.
func (r *Registry) WriteTo(w io.Writer) (int64, error) {
	var lines []string
	r.Each(func(name string, m any) { lines = append(lines, formatMetric(name, m)...) })
	slices.Sort(lines)
	var total int64
	for _, line := range lines {
		n, err := io.WriteString(w, line+"\n")
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

func formatMetric(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Histogram:
		s := m.Snapshot()
		q := s.Percentiles([]float64{0.5, 0.95, 0.99})
		return []string{
			fmt.Sprintf("%s.count %d", name, s.Count()),
			fmt.Sprintf("%s.p50 %.0f", name, q[0]),
			fmt.Sprintf("%s.p95 %.0f", name, q[1]),
			fmt.Sprintf("%s.p99 %.0f", name, q[2]),
		}
	default:
		return nil
	}
}
