// Package agent is the process that runs beside each entry instance. It watches
// the platform, relays bundles and lists to its peers, keeps the membership and
// the upstreams' load, feeds the entry, releases what dead instances left behind
// and gives placement orders.
//
// All decisions are in the pure packages membership, bundle/ledger, leftover and
// orders. One goroutine, the loop, calls them; each call over the network runs in
// a goroutine of its own and posts what came of it back to the loop.
// docs/design/agent.md gives the reasons, docs/operators/agent.md tells operators
// how to run it.
package agent
