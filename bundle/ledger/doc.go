// Package ledger decides, for one instance, which configuration bundle is in
// force. It is a pure state machine: its inputs are documents, bundle parts,
// floor reports and the current time, its outputs are actions. It does no I/O
// and reads no clock.
//
// A bundle is put into force only if a quorum of trusted approvers signed both
// the bundle and a roll (the document that assigns versions to instances) that
// covers this instance, if its version is higher than the one in force, and if
// all its parts are present. Any other input leaves the bundle in force
// unchanged. A starting instance first determines the floor, the lowest version
// that it may serve, from what the platform, its peers and the upstreams that
// check fencing numbers report. docs/design/bundles.md describes the rules, the
// cases that cannot be detected, and the model check.
package ledger
