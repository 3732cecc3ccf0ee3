package e2e

import (
	"fmt"
	"os"
	"testing"

	"github.com/wardspool/wardspool/testbed"
)

// programs are the binaries under test, built anew for each run of the suite.
var programs testbed.Programs

// root is the module's folder.
var root string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

// runAll builds the programs and runs the tests with them.
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
