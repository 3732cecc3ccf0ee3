package experiment

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of the property-based tests,
// so that every run is the same. Command line flags such as -rapid.seed and
// -rapid.checks take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
