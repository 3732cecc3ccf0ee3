// Package orders decides which placement orders an instance gives to model
// engines: role, models, adapters and version, as the bundle in force declares
// them.
//
// An order follows from the bundle alone, so that two instances give the same
// one, and its fencing number is the bundle's version. An engine that checks
// fencing numbers refuses the order of an instance whose bundle is old. To one
// that does not, orders are given only while most instances of the zone confirm
// that the bundle is current; they are read back and corrected.
//
// The package does no I/O and reads no clock. docs/design/orders.md gives the
// ways weighed.
package orders
