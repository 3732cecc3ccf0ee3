// Package testseed gives the random tests of a package a fixed seed, so that
// continuous integration comes to the same verdict every time. A test file
// imports it for its side effect; -rapid.seed on the command line goes before.
package testseed

import (
	"flag"

	"pgregory.net/rapid"
)

// Seed is the fixed seed.
const Seed = "20261202"

// registered keeps the import of rapid, whose initialisation defines the flag
// that init sets.
var registered = rapid.Check

func init() {
	_ = registered
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
}
