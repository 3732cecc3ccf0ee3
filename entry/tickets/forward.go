package tickets

import (
	"context"

	"github.com/wardspool/wardspool/entry/peering"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/ticket"
)

// MethodExecute is the JSON-RPC method that presents a call to the executor of
// its ticket.
const MethodExecute = "ticket.execute"

// Peers forwards calls to other instances over JSON-RPC 2.0. It implements
// Forwarder.
type Peers struct {
	addresses *peering.AddressBook
	pool      *peer.Pool
}

// NewPeers returns a forwarder that looks up addresses and takes connections
// from pool.
func NewPeers(addresses *peering.AddressBook, pool *peer.Pool) *Peers {
	return &Peers{addresses: addresses, pool: pool}
}

// Known implements Forwarder.
func (p *Peers) Known(id ident.InstanceID) bool {
	_, err := p.addresses.Address(id)
	return err == nil
}

// Forward implements Forwarder. Errors are *peering.UnknownPeerError and
// *peer.CallError, unless the call cannot be encoded.
func (p *Peers) Forward(ctx context.Context, to ident.InstanceID, c *Call) (*Reply, error) {
	addr, err := p.addresses.Address(to)
	if err != nil {
		return nil, err
	}
	m, err := encode(c)
	if err != nil {
		return nil, err
	}
	r, err := peer.Call[Reply](ctx, p.pool, addr, MethodExecute, m, peer.Expect(to, 0))
	if err != nil {
		return nil, err
	}
	return &r, nil
}

// Handle registers the handler of forwarded calls at a server.
func Handle(s *peer.Server, d *Dispatcher) {
	peer.Handle(s, MethodExecute, func(ctx context.Context, _ peer.Identity, m message) (Reply, error) {
		c, err := m.decode()
		if err != nil {
			return Reply{Problem: ticket.InvalidProblem(err)}, nil
		}
		return d.ExecuteHere(ctx, c), nil
	})
}
