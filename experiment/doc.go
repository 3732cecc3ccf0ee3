// Package experiment runs the decision kernels of several entry instances in
// virtual time against small fakes of what surrounds them, and judges what
// came of it: goodput, wasted prefill, and broken promises.
//
// Each fake is one file: prefill engines (prefill.go), decode engines
// (decode.go), plain services (service.go), the driver around a kernel
// (instance.go), messages between instances and zones (network.go), load
// reports, cache events and views (feeds.go, view.go), callers (caller.go) and
// faults (fault.go). Engines take their times from the performance model that
// the stand-in processes use. The fakes keep what a decision depends on and
// leave out the rest; they are not a simulator of a cluster.
//
// A run is a pure function of its Cell: same cell, same result.
package experiment
