// Package ticket makes calls that are not repeatable run at most once, even if
// the caller retries at another entry instance, if instances die, are paused or
// restart, and during network partitions.
//
// A ticket names the only instance that may run a call, its executor. Every other
// instance forwards a call that carries a ticket to that executor. The executor
// keeps every ticket that it issued in memory, from issue until some time after
// expiry. A call runs only if its ticket is found there unused, and marking it as
// used is one step of a state machine, so a second run is impossible no matter
// how often, where and when the call is presented. If the executor has ended, its
// memory is lost: the answer is "unknown" and nothing runs.
//
// Only the executor may answer "not-run" to a call that carries a ticket, because
// no other instance knows whether the ticket was presented before.
//
// The package does no I/O and reads no clock. docs/design/at-most-once.md
// compares the alternatives.
package ticket
