package kernel_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain raises rapid's default number of checks to 1000. A -rapid.checks
// flag on the command line takes precedence, since flags are parsed in m.Run.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
