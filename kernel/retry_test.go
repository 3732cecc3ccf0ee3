package kernel

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestEmptyRetryBudgetIsNotFilledAgain guards against more retries than the
// budget's share after its last token was taken.
func TestEmptyRetryBudgetIsNotFilledAgain(t *testing.T) {
	var b retryBudget
	taken := 0
	for range 20 {
		b.arrived(0.5)
		for b.take() {
			taken++
		}
	}
	assert.Equal(t, taken, int(retryTokensAtStart)+10)
}
