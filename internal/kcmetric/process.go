package kcmetric

import (
	"runtime"
	rtmetrics "runtime/metrics"

	"github.com/rcrowley/go-metrics"
)

// RegisterProcessMetrics registers gauges for the resources of the process:
// process.cpuMicros is the CPU time, process.memoryBytes the memory that the Go
// runtime holds from the operating system, process.heapBytes the heap in use and
// process.goroutines the number of goroutines.
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

// RegisterGauge registers a gauge whose value is read when the metrics are
// written.
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
		return 0 // this Go release does not know the metric
	}
	return int64(s[0].Value.Uint64())
}
