package metrics

import "runtime/metrics"

// runtimeGauges lists the metrics of the Go runtime that are exported: the exported
// name and the name in runtime/metrics.
var runtimeGauges = []struct{ name, source string }{
	{"go_goroutines", "/sched/goroutines:goroutines"},
	{"go_heap_objects_bytes", "/memory/classes/heap/objects:bytes"},
	{"go_heap_unused_bytes", "/memory/classes/heap/unused:bytes"},
	{"go_heap_free_bytes", "/memory/classes/heap/free:bytes"},
	{"go_stacks_bytes", "/memory/classes/heap/stacks:bytes"},
	{"go_memory_bytes", "/memory/classes/total:bytes"},
	{"go_gc_cycles", "/gc/cycles/total:gc-cycles"},
}

// updateRuntimeGauges updates the gauges of the Go runtime.
func (r *Reporter) updateRuntimeGauges() {
	samples := make([]metrics.Sample, len(runtimeGauges))
	for i, g := range runtimeGauges {
		samples[i].Name = g.source
	}
	metrics.Read(samples)
	for i, s := range samples {
		if s.Value.Kind() == metrics.KindUint64 {
			r.ReportGauge(runtimeGauges[i].name, nil, float64(s.Value.Uint64()))
		}
	}
}
