package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/plugins/slots/lease"
)

// TestRunsRepeat checks that two runs of one cell with one seed give the same
// figures, and that the utilisation is plausible.
func TestRunsRepeat(t *testing.T) {
	for _, w := range []*workload{&coastline, &lagos} {
		c := cell{policy: leaseWith("lease", lease.Settings{}), workload: w, scale: 1, instances: 3, load: 1, fault: frozen}
		first := measure(c, 1, 20*time.Second)
		assert.Equal(t, measure(c, 1, 20*time.Second), first)
		assert.Assert(t, first.utilisation > 0.5 && first.utilisation <= 1)
	}
}
