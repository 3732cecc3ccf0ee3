package kernel_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs more random interleavings than rapid does by itself; flags on
// the command line go before.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
