// Package leftover finds attempts that ended entry instances left on the model
// engines of an availability zone, and orders their release.
//
// An attempt ID names the instance and incarnation that started the attempt and
// the time until which a caller may wait for it. Agents read the engines' lists
// of held attempts; the planner compares each attempt with the known state of its
// owner and orders the release of those that no caller waits for. A paused or
// unreachable owner may still have callers, so its attempts are kept until their
// deadline has passed.
//
// Each reason for a release, once true, stays true. Orders may therefore be late,
// repeated, or given by two instances at once without harm, and the planner needs
// no agreement with its peers.
//
// The package does no I/O and reads no clock. docs/design/leftovers.md compares
// the alternatives and gives the cost.
package leftover
