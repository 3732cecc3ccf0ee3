// Package bubble runs tests in testing/synctest bubbles and works around a crash of the race
// detector there.
package bubble

import (
	"testing"
	"testing/synctest"
)

// Test runs f in a new bubble like synctest.Test. Under the race detector, the process is
// limited to one processor while f runs.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	defer limitProcs()()
	synctest.Test(t, f)
}
