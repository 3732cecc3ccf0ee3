// Package testseed sets a fixed seed for a package's rapid tests, so that runs in
// continuous integration are reproducible. A test file imports it for its side
// effect. The -rapid.seed flag on the command line takes precedence.
package testseed

import (
	"flag"

	"pgregory.net/rapid"
)

// Seed is the fixed seed of rapid tests.
const Seed = "20261202"

// registered references rapid, so that its package initialisation defines the flag
// before init sets it.
var registered = rapid.Check

func init() {
	_ = registered
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
}
