// Package orders decides which placement orders an instance gives to model
// engines: role, models, adapters and version, as the bundle in force declares
// them.
//
// An order is derived from the bundle alone, so that all instances with the same
// bundle give the same order. Its fencing number is the bundle version. Engines
// that check fencing numbers refuse orders of instances with an older bundle.
// Engines that don't are given orders only while most instances of the zone
// confirm that the bundle is the newest; their state is read back and corrected.
//
// The package does no I/O and reads no clock. docs/design/orders.md compares the
// alternatives.
package orders
