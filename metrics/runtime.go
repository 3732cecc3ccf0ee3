package metrics

import "runtime/metrics"

// gauges lists the metrics of the Go runtime that are exported: the exported
// name and the name in runtime/metrics.
var gauges = []struct{ name, source string }{
	{"go_goroutines", "/sched/goroutines:goroutines"},
	{"go_heap_objects_bytes", "/memory/classes/heap/objects:bytes"},
	{"go_heap_unused_bytes", "/memory/classes/heap/unused:bytes"},
	{"go_heap_free_bytes", "/memory/classes/heap/free:bytes"},
	{"go_stacks_bytes", "/memory/classes/heap/stacks:bytes"},
	{"go_memory_bytes", "/memory/classes/total:bytes"},
	{"go_gc_cycles", "/gc/cycles/total:gc-cycles"},
}

// readRuntime updates the gauges of the Go runtime.
func (r *Reporter) readRuntime() {
	samples := make([]metrics.Sample, len(gauges))
	for i, g := range gauges {
		samples[i].Name = g.source
	}
	metrics.Read(samples)
	for i, s := range samples {
		if s.Value.Kind() == metrics.KindUint64 {
			r.ReportGauge(gauges[i].name, nil, float64(s.Value.Uint64()))
		}
	}
}
