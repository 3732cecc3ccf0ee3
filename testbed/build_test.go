package testbed

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFleetsSideBySideShareNoPort checks that concurrent fleets are allocated distinct ports,
// also while the processes of one have not bound theirs.
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

// TestReleasedPortsStayReserved guards against two programs allocating the same port before a
// process has bound it.
func TestReleasedPortsStayReserved(t *testing.T) {
	var p Ports
	address, err := p.Next()
	assert.NilError(t, err)
	p.Release()
	_, port, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	l, err := net.Listen("tcp", net.JoinHostPort(reservationHost, port))
	if err == nil {
		_ = l.Close()
	}
	assert.ErrorContains(t, err, "address already in use")
}
