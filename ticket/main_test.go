package ticket

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the random tests the same on every run. Flags of the command
// line, such as -rapid.seed=0 -rapid.checks=100000, still prevail.
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
