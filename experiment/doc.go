// Package experiment runs the decision kernels of several entry instances in
// virtual time against small fakes of their environment, and measures the
// result: goodput, wasted prefill and violations of the system's guarantees.
//
// Each fake is one file: prefill engines (prefill.go), decode engines
// (decode.go), plain services (service.go), the driver around a kernel
// (instance.go), messages between instances and zones (network.go), load
// reports, cache events and views (feeds.go, view.go), callers (caller.go) and
// faults (fault.go). Engines take their timing from the performance model that
// the stand-in processes use. The fakes model what a decision depends on and
// nothing else; they are not a cluster simulator.
//
// A run is a pure function of its Cell: the same cell gives the same result.
package experiment
