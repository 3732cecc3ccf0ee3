// Package membership decides what is believed of the other instances and of the
// upstreams. It combines the settings, the platform's lagging lists, heartbeats,
// what peers relay and what live traffic shows.
//
// Machine is a pure state machine: it does no I/O and reads no clock. The caller
// passes the time, sends what Due and Heartbeat give and reports what came back.
//
// What is known of one incarnation only grows: flags are or-ed, stamps take the
// maximum, clock offsets the minimum, and a higher incarnation replaces all that
// was known of a lower one. Messages can therefore be repeated, delayed and
// reordered without changing what is believed in the end. The belief itself
// (State) is a function of those facts and the time.
// docs/design/membership.md gives the reasons.
package membership
