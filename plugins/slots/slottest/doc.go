// Package slottest runs slot policies of several entry instances against fake
// decode engines in virtual time. It serves the policies' tests and the program
// that compares them; it is not part of any deployed binary.
//
// Everything random is drawn from one seed, and events at the same time happen
// in the order in which they were made, so that a run can be repeated exactly.
package slottest
