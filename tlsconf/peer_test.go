package tlsconf

import (
	"context"
	"errors"
	"net"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testInstance is one endpoint of a connection between peers.
type testInstance struct {
	id    ident.InstanceID
	files *testFiles
	tls   *Reloader
}

// newTestInstance returns an instance whose certificate is issued for the given name.
func newTestInstance(t *testing.T, a *authority, id ident.InstanceID, name string) *testInstance {
	f := newFiles(t, a, name)
	r, err := New(f.Settings, Options{})
	assert.NilError(t, err)
	return &testInstance{id: id, files: f, tls: r}
}

// config returns a peer configuration that allows every identity.
func (p *testInstance) config() peer.Config {
	return peer.Config{
		Self:  peer.Identity{Instance: p.id, Incarnation: 1, Zone: "hall-a"},
		Allow: func(peer.Identity) bool { return true },
		TLS:   p.tls,
	}
}

// serve runs a server until the test ends and returns its address. Its method "who"
// returns the instance ID of the client.
func (p *testInstance) serve(t *testing.T) string {
	srv := peer.NewServer(p.config())
	peer.Handle(srv, "who", func(_ context.Context, from peer.Identity, _ struct{}) (ident.InstanceID, error) {
		return from.Instance, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, srv.Shutdown(context.Background()))
		assert.NilError(t, <-served)
	})
	return l.Addr().String()
}

// call calls the method "who" of the peer at an address.
func (p *testInstance) call(t *testing.T, addr string) (ident.InstanceID, error) {
	pool := peer.NewPool(p.config())
	defer pool.Close()
	return peer.Call[ident.InstanceID](t.Context(), pool, addr, "who", struct{}{})
}

// TestPeersKnowEachOtherByCertificate checks that a server accepts a client with a
// matching certificate, and rejects one that claims another instance ID, has a
// certificate of another authority or doesn't use TLS.
func TestPeersKnowEachOtherByCertificate(t *testing.T) {
	a, otherAuthority := newAuthority(t), newAuthority(t)
	server := newTestInstance(t, a, "entry-a1", "entry-a1")
	addr := server.serve(t)
	who, err := newTestInstance(t, a, "entry-a2", "entry-a2").call(t, addr)
	assert.NilError(t, err)
	assert.Equal(t, who, ident.InstanceID("entry-a2"))

	_, err = newTestInstance(t, a, "entry-a2", "entry-a3").call(t, addr)
	var wrong *peer.IdentityError
	assert.Assert(t, errors.As(err, &wrong), "%v", err)
	assert.Equal(t, wrong.Claimed, ident.InstanceID("entry-a2"))
	assert.Equal(t, peer.DeliveryOf(err), peer.NotSent)

	_, err = newTestInstance(t, otherAuthority, "entry-a2", "entry-a2").call(t, addr)
	assert.Assert(t, err != nil)
	assert.Equal(t, peer.DeliveryOf(err), peer.NotSent)

	plain := newTestInstance(t, a, "entry-a2", "entry-a2")
	cfg := plain.config()
	cfg.TLS = nil
	pool := peer.NewPool(cfg)
	defer pool.Close()
	_, err = peer.Call[ident.InstanceID](t.Context(), pool, addr, "who", struct{}{})
	assert.Assert(t, err != nil)
	assert.Equal(t, peer.DeliveryOf(err), peer.NotSent)
}

// TestClientRefusesAServerOfAnotherName checks that a client rejects a server that
// claims an instance ID other than that in its certificate, or whose certificate is
// of another authority.
func TestClientRefusesAServerOfAnotherName(t *testing.T) {
	a, otherAuthority := newAuthority(t), newAuthority(t)
	client := newTestInstance(t, a, "entry-a2", "entry-a2")
	_, err := client.call(t, newTestInstance(t, a, "entry-a1", "entry-a9").serve(t))
	assert.Assert(t, errors.As(err, new(*peer.IdentityError)), "%v", err)
	_, err = client.call(t, newTestInstance(t, otherAuthority, "entry-a1", "entry-a1").serve(t))
	assert.Assert(t, errors.As(err, new(*ChainError)), "%v", err)
}

// TestNewAuthorityTakesEffect replaces the CA file of a running server and checks
// that new connections are verified against it.
func TestNewAuthorityTakesEffect(t *testing.T) {
	a, next := newAuthority(t), newAuthority(t)
	server := newTestInstance(t, a, "entry-a1", "entry-a1")
	addr := server.serve(t)
	old := newTestInstance(t, a, "entry-a2", "entry-a2")
	_, err := old.call(t, addr)
	assert.NilError(t, err)
	server.files.replaceKeyPair(next.issueValid("entry-a1"))
	server.files.write(server.files.CA, pemBlock("CERTIFICATE", next.cert.Raw))
	server.tls.Check()
	assert.NilError(t, server.tls.Status().Err)
	_, err = old.call(t, addr)
	assert.Assert(t, err != nil)
	_, err = newTestInstance(t, next, "entry-a2", "entry-a2").call(t, addr)
	assert.NilError(t, err)
}
