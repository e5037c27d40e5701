package kcmetric

import (
	"runtime"
	rtmetrics "runtime/metrics"

	"github.com/rcrowley/go-metrics"
)

// RegisterProcessMetrics adds the cost of the whole process: process.cpuMicros, which
// is processor time, process.memoryBytes, which is the memory that the Go
// runtime holds from the system, process.heapBytes, which is the heap in use,
// and process.goroutines.
func (r *Registry) RegisterProcessMetrics() {
	for name, read := range map[string]func() int64{
		"process.cpuMicros":   CPUMicros,
		"process.memoryBytes": runtimeMemoryBytes,
		"process.heapBytes":   func() int64 { return readRuntimeMetric("/memory/classes/heap/objects:bytes") },
		"process.goroutines":  func() int64 { return int64(runtime.NumGoroutine()) },
	} {
		r.RegisterGauge(name, read)
	}
}

// Gauge adds a figure that is read when the metrics are written.
func (r *Registry) RegisterGauge(name string, read func() int64) {
	r.GetOrRegister(name, metrics.NewFunctionalGauge(read))
}

func runtimeMemoryBytes() int64 {
	return readRuntimeMetric("/memory/classes/total:bytes") - readRuntimeMetric("/memory/classes/heap/released:bytes")
}

func readRuntimeMetric(name string) int64 {
	s := []rtmetrics.Sample{{Name: name}}
	rtmetrics.Read(s)
	if s[0].Value.Kind() != rtmetrics.KindUint64 {
		return 0 // the name is unknown to this release of Go
	}
	return int64(s[0].Value.Uint64())
}
