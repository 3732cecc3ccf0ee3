package ticket

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run is the same.
// Command line flags such as -rapid.seed=0 -rapid.checks=100000 take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "500", "rapid.steps": "200",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
