package membership

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/peer"
)

// TestHeartbeatBytes sends full heartbeats over loopback and checks the bytes
// on the wire against the estimate from which the interval is calculated.
func TestHeartbeatBytes(t *testing.T) {
	a, b := newLargeMachine(), newLargeMachine()
	from := peer.Identity{Instance: "entry-a1", Incarnation: 1764576000000, Zone: "hall-a"}
	to := peer.Identity{Instance: "entry-a2", Incarnation: 1764576000000, Zone: "hall-a"}
	allow := func(peer.Identity) bool { return true }
	srv := peer.NewServer(peer.Config{Self: to, Allow: allow})
	peer.Handle(srv, MethodHeartbeat, func(_ context.Context, id peer.Identity, hb Heartbeat) (Heartbeat, error) {
		return b.Receive(start, id.Instance, hb)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	pool := peer.NewPool(peer.Config{Self: from, Allow: allow})
	addr := l.Addr().String()
	exchange := func() (Heartbeat, Heartbeat) {
		hb := a.Heartbeat(start, to.Instance)
		answer, err := peer.Call[Heartbeat](context.Background(), pool, addr, MethodHeartbeat, hb)
		assert.NilError(t, err)
		return hb, answer
	}
	exchange() // includes the hello of the connection
	// Only received bytes are compared: a writer may update its counter later.
	requests, answers := srv.Stats().Total.Received, pool.Stats().Total.Received
	hb, answer := exchange()
	sent := int(srv.Stats().Total.Received - requests)
	received := int(pool.Stats().Total.Received - answers)
	t.Logf("request %d B, answer %d B; %d B of members, %d B of upstreams", sent, received, len(hb.Members), len(hb.Upstreams))
	assert.Equal(t, len(hb.Members), memberWindow*MemberBytes)
	assert.Equal(t, len(hb.Upstreams), upstreamWindow*UpstreamBytes)
	packed := (len(hb.Members) + len(hb.Upstreams)) * base64Numerator / base64Denominator
	assert.Assert(t, sent <= heartbeatOverhead+packed && received <= heartbeatOverhead+packed)
	assert.Assert(t, sent <= frameBytes(hb) && received <= frameBytes(answer))
	assert.Assert(t, sent+received >= frameBytes(hb)+frameBytes(answer)-100, "frameBytes overestimates the bytes on the wire")
	pool.Close()
	assert.NilError(t, srv.Shutdown(context.Background()))
	assert.NilError(t, <-served)
}
