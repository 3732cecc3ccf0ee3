package gateway

import (
	"context"

	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/reach"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/peer"
)

// relaying sends requests by way of peers while this instance reaches no upstream. It implements
// carry.Relay.
type relaying struct {
	*relay.Client
	reach *reach.Monitor
}

// Needed implements carry.Relay.
func (r relaying) Needed(service string) bool { return r.reach.Disconnected(service) }

// Suspected implements carry.Relay.
func (r relaying) Suspected(service string) bool { return r.reach.Suspected(service) }

// listed returns the listed upstreams of a service, or of all services for "".
func (g *Service) listed(service string) []dialect.Upstream {
	s := g.node.Snapshot()
	if service == "" {
		return s.All()
	}
	return s.Upstreams[service]
}

// newRelayClient returns the client that relays requests to peers. A nil dialer means the network's.
func (g *Service) newRelayClient(dialer roundtrip.Dialer) *relay.Client {
	return relay.NewClient(relay.ClientOptions{
		Zone: g.settings.Zone, RegionOf: g.settings.regionOf, Peers: g.relayPeers, Dialer: dialer, Log: g.log,
		AskOffer: func(ctx context.Context, p relay.Peer, service string) (relay.Offer, error) {
			return peer.Call[relay.Offer](ctx, g.pool, p.Address, relay.MethodOffer, relay.OfferRequest{Service: service})
		},
	})
}

// relayPeers returns the instances that may serve relayed requests.
func (g *Service) relayPeers() []relay.Peer {
	var out []relay.Peer
	for _, m := range g.node.Peers() {
		out = append(out, relay.Peer{ID: m.ID, Zone: m.Zone, Address: m.Address})
	}
	return out
}

// onRelayOffer tells a peer whether this instance serves relayed requests.
func (g *Service) onRelayOffer(ctx context.Context, _ peer.Identity, q relay.OfferRequest) (relay.Offer, error) {
	return relay.Offer{
		Accepts: g.settings.Listen.Relay != "" && g.front.AcceptsRelayed() && g.reach.Reaches(ctx, q.Service),
		Address: g.settings.Listen.Relay, Version: g.node.Snapshot().Version(),
	}, nil
}
