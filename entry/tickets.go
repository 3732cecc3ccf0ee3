package entry

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"

	"github.com/wardspool/wardspool/entry/peering"
	"github.com/wardspool/wardspool/entry/tickets"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/ticket"
)

// SecretError reports a ticket secret that is not valid base64.
type SecretError struct{ ID string }

// Error implements error.
func (e *SecretError) Error() string { return "the secret of ticket key " + e.ID + " is not base64" }

// codec returns the codec for the configured keys, nil if there are none. Its errors
// are *SecretError and *ticket.KeyError.
func (t *TicketSettings) codec() (*ticket.Codec, error) {
	if len(t.Keys) == 0 {
		return nil, nil
	}
	keys := make([]ticket.Key, 0, len(t.Keys))
	for _, k := range t.Keys {
		secret, err := base64.StdEncoding.DecodeString(k.Secret)
		if err != nil {
			return nil, &SecretError{ID: k.ID}
		}
		keys = append(keys, ticket.Key{ID: k.ID, Secret: secret})
	}
	return ticket.NewCodec(keys...)
}

// newDispatcher returns the ticket dispatcher of an instance, nil if no ticket
// keys are configured.
func newDispatcher(t *TicketSettings, self kernel.Self, addresses *peering.AddressBook, pool *peer.Pool, r *recorder) (*tickets.Dispatcher, error) {
	codec, err := t.codec()
	if err != nil || codec == nil {
		return nil, err
	}
	var nonce [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(nonce[:])
	limits := ticket.DefaultLimits()
	limits.Lifetime = t.Lifetime
	return tickets.New(tickets.Options{
		Life: ticket.Process{
			Instance:    self.Instance,
			Incarnation: self.Incarnation,
			Nonce:       binary.LittleEndian.Uint64(nonce[:]),
		},
		Limits:  limits,
		Codec:   codec,
		Forward: tickets.NewPeers(addresses, pool),
		Observe: r.Presented,
		Log:     r.log,
	}), nil
}
