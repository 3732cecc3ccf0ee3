package testbed

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFleetsSideBySideShareNoPort, also while the processes of one have not bound theirs.
func TestFleetsSideBySideShareNoPort(t *testing.T) {
	const ports = 300
	given := map[string]bool{}
	for range 4 {
		var p Ports
		for range ports {
			address, err := p.Next()
			assert.NilError(t, err)
			assert.Assert(t, !given[address], address)
			given[address] = true
		}
		p.Release()
	}
}
