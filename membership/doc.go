// Package membership determines the state of the other instances and of the
// upstreams. It combines the settings, the platform's lagging lists,
// heartbeats, information relayed by peers and the results of live traffic.
//
// Machine is a pure state machine: it does no I/O and reads no clock. The
// caller passes the time, sends what Due and Heartbeat return and reports the
// results.
//
// The facts known about one incarnation only grow: flags merge by logical or,
// stamps by maximum, clock offsets by minimum, and a higher incarnation
// replaces everything known about a lower one. Messages can therefore be
// repeated, delayed and reordered without affecting the final result. The State
// of a process is a function of those facts and the time.
// docs/design/membership.md gives the reasons.
package membership
