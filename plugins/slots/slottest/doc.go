// Package slottest runs the slot policies of several entry instances against
// fake decode engines in virtual time. It is used by the policies' tests and by
// the program that compares them, and is not part of any deployed binary.
//
// All random values are drawn from one seed, and events at the same time happen
// in the order in which they were scheduled, so that a run can be repeated
// exactly.
package slottest
