// Package ticket makes calls that are not repeatable run at most once, also
// when their caller retries at another entry instance, when instances die,
// pause or restart, and when the network is partitioned.
//
// A ticket names the only instance that may run a call: its executor. Any
// instance forwards a call that carries a ticket to the ticket's executor,
// which holds every ticket it issued in memory, from issue until some time
// after expiry. A call runs only when its ticket is found there unused, and
// using it is one step of a state machine, so that a second run is impossible
// however often, where and when the call is presented. When the executor is
// gone its memory is gone with it: the answer is "unknown" and nothing runs.
//
// Only the executor may say "not-run" of a call that carries a ticket: nobody
// else knows whether it was presented before.
//
// The package does no I/O and reads no clock. docs/design/at-most-once.md
// weighs this against the other ways.
package ticket
