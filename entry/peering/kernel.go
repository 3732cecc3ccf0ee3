package peering

import (
	"context"
	"encoding/json"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
)

// MethodKernel is the notification that carries a message between kernels.
const MethodKernel = "kernel.message"

// KernelMessage is the parameter of MethodKernel.
type KernelMessage struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// Sender sends messages to the kernels of other instances. It implements
// driver.PeerSender.
type Sender struct {
	addresses *AddressBook
	pool      *peer.Pool
}

// NewSender returns a Sender that looks up addresses and takes connections from
// pool.
func NewSender(addresses *AddressBook, pool *peer.Pool) *Sender {
	return &Sender{addresses: addresses, pool: pool}
}

// Send sends a message at most once. Its errors are *UnknownPeerError,
// *kernel.MessageBodyError and *peer.CallError.
func (s *Sender) Send(ctx context.Context, to ident.InstanceID, m kernel.PeerMessage) error {
	addr, err := s.addresses.Address(to)
	if err != nil {
		return err
	}
	body, err := json.Marshal(m)
	if err != nil {
		return &kernel.MessageBodyError{Kind: m.MessageKind(), Err: err}
	}
	msg := KernelMessage{Kind: m.MessageKind(), Body: body}
	return peer.Notify(ctx, s.pool, addr, MethodKernel, msg, peer.Expect(to, 0))
}

// Empty is the parameter or result of methods that have none.
type Empty struct{}

// HandleKernel registers the method that passes other kernels' messages to post.
func HandleKernel(s *peer.Server, post func(kernel.Event) bool) {
	peer.Handle(s, MethodKernel, func(_ context.Context, from peer.Identity, m KernelMessage) (Empty, error) {
		decoded, err := kernel.DecodeMessage(m.Kind, m.Body)
		if err != nil {
			return Empty{}, err
		}
		if !post(kernel.PeerReceived{From: from.Instance, Message: decoded}) {
			return Empty{}, &peer.StoppingError{}
		}
		return Empty{}, nil
	})
}
