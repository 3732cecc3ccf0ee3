package e2e

import (
	"fmt"
	"os"
	"testing"

	"github.com/wardspool/wardspool/testbed"
)

// programs holds the binaries under test, which are built for each run of the
// suite.
var programs testbed.Programs

// root is the root directory of the module.
var root string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

// runAll builds the programs, runs the tests and returns the exit code.
func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "wardspool-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "e2e:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if root, err = testbed.ModuleRoot(); err == nil {
		programs, err = testbed.Build(root, dir, false)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "e2e:", err)
		return 1
	}
	return m.Run()
}
