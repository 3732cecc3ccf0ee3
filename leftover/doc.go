// Package leftover finds what dead entry instances left behind on the model
// engines of an availability zone, and has it released.
//
// An attempt's ID says who started it, in which life, and until when a caller
// may wait for it. Agents read the engines' lists of held attempts; the planner
// judges each against what is believed of its owner and orders the release of
// those that nobody waits for. A paused or unreachable owner may still have
// callers, so that its attempts are left alone until their deadline has passed.
//
// Each reason for a release stays true once it is. Orders may therefore be
// late, repeated, or given by two instances at once without doing harm, and the
// planner needs no agreement with its peers.
//
// The package does no I/O and reads no clock. docs/design/leftovers.md gives
// the ways weighed and the cost.
package leftover
