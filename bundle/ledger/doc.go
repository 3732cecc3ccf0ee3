// Package ledger decides, for one instance, which configuration bundle is in
// force. It is a pure state machine: documents, parts, floor reports and the
// time go in; actions come out. It does no I/O and reads no clock.
//
// A bundle comes into force only if a quorum of trusted approvers signed it and
// a roll that covers the instance, only above the version in force, and only
// whole. Whatever else arrives, the bundle in force stays. A starting instance
// first learns the floor: what the platform, its peers and the upstreams that
// check fencing numbers know to be in force. docs/design/bundles.md gives the
// rules, what cannot be known, and the model check.
package ledger
