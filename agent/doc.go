// Package agent implements the process that runs beside each entry instance. It
// watches the platform, relays bundles and lists to its peers, maintains the
// membership and the upstreams' load, feeds the entry, releases attempts that
// dead instances left on engines and gives placement orders.
//
// All decisions are made by the pure packages membership, bundle/ledger, leftover
// and orders. They are called by a single goroutine, the loop. Each call over the
// network runs in its own goroutine and posts its result back to the loop.
// docs/design/agent.md gives the reasons, docs/operators/agent.md tells operators
// how to run it.
package agent
