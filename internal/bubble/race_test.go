//go:build race

package bubble

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// TestProcessorsAreRestoredAfterTheLastBubble guards against a bubble restoring GOMAXPROCS while
// another bubble is still running.
func TestProcessorsAreRestoredAfterTheLastBubble(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	restoreFirst, restoreSecond := limitProcs(), limitProcs()
	assert.Equal(t, runtime.GOMAXPROCS(0), 1)
	restoreFirst()
	assert.Equal(t, runtime.GOMAXPROCS(0), 1)
	restoreSecond()
	assert.Equal(t, runtime.GOMAXPROCS(0), before)
}
