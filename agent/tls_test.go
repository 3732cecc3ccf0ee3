package agent

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/testcert"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/tlsconf"
)

// tlsAgent serves an agent with TLS on loopback.
func tlsAgent(t *testing.T, files tlsconf.Settings) *Agent {
	t.Helper()
	text := strings.ReplaceAll(goodSettings, "KEY", approvers().Keys[0].Key.String())
	text = strings.Replace(text, "10.0.0.1:9101\"", "127.0.0.1:0\", seeds: [{instance: a-2, zone: hall-a, address: \"127.0.0.1:1\", entry: \"127.0.0.1:1\"}]", 1)
	text = strings.Replace(text, "10.0.0.2:7000", "127.0.0.1:1", 1)
	s, err := settings.Parse[Settings]("agent.yaml", []byte(text+"operators: {listen: \"127.0.0.1:0\", names: [ops-1]}\n"+
		"tls: {certificate: "+files.Cert+", key: "+files.Key+", ca: "+files.CA+"}\n"))
	assert.NilError(t, err)
	s.Entry.Feed = "127.0.0.1:1"
	a, err := New(s, Options{})
	assert.NilError(t, err)
	assert.NilError(t, a.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return a
}

// TestTLS checks that with TLS, agents and operators are accepted only under the
// name in their certificate.
func TestTLS(t *testing.T) {
	authority := testcert.NewAuthority(t)
	a := tlsAgent(t, authority.Files("a-1"))
	call := func(id ident.InstanceID, address, method, name string) error {
		c := peer.Config{
			Self:  peer.Identity{Instance: id, Incarnation: 1, Zone: "hall-a"},
			Allow: func(peer.Identity) bool { return true },
		}
		if name != "" {
			r, err := tlsconf.New(authority.Files(name), tlsconf.Options{})
			assert.NilError(t, err)
			c.TLS = r
		}
		pool := peer.NewPool(c)
		defer pool.Close()
		_, err := peer.Call[wire.Status](t.Context(), pool, address, method, wire.Empty{})
		return err
	}
	for name, good := range map[string]bool{"ops-1": true, "ops-2": false, "": false} {
		err := call("ops-1", a.OperatorAddress(), wire.MethodStatus, name)
		assert.Equal(t, err == nil, good, "%s: %v", name, err)
	}
	for name, good := range map[string]bool{"a-2": true, "a-3": false, "": false} {
		err := call("a-2", a.PeerAddress(), wire.MethodRoll, name)
		refused := peer.DeliveryOf(err) == peer.NotSent
		assert.Equal(t, refused, !good, "%s: %v", name, err)
	}
}
