package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// offerTTL is how long an offer remains valid. Within it, a peer that has lost its upstreams too
// declines the requests that it gets.
const offerTTL = 1500 * time.Millisecond

// Peer is an instance that may serve relayed requests.
type Peer struct {
	ID   ident.InstanceID
	Zone ident.Zone
	// Address is where the instance accepts calls from peers.
	Address string
}

// offered is a peer's offer.
type offered struct {
	peer Peer
	Offer
	at time.Time
}

// directory holds the offers of peers. It is safe for concurrent use.
type directory struct {
	zone     ident.Zone
	regionOf func(ident.Zone) ident.Region

	mu     sync.Mutex
	offers map[ident.InstanceID]offered
}

func newDirectory(zone ident.Zone, regionOf func(ident.Zone) ident.Region) *directory {
	return &directory{zone: zone, regionOf: regionOf, offers: map[ident.InstanceID]offered{}}
}

// set replaces the offer of a peer.
func (d *directory) set(now time.Time, p Peer, o Offer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !o.Accepts || o.Address == "" {
		delete(d.offers, p.ID)
		return
	}
	d.offers[p.ID] = offered{peer: p, Offer: o, at: now}
}

// drop removes the offer of a peer that did not serve a request.
func (d *directory) drop(id ident.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.offers, id)
}

// choose returns a random peer of the closest ones that offer to serve a request: those of the own
// zone, then those of the own region, then the others. Peers in regions where the request is not
// allowed don't get it.
func (d *directory) choose(now time.Time, version int64, regions routing.Regions) (offered, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var closest []offered
	best := distances
	for id, o := range d.offers {
		if now.Sub(o.at) > offerTTL {
			delete(d.offers, id)
			continue
		}
		if o.Version < version || !regions.Allow(d.regionOf(o.peer.Zone)) {
			continue
		}
		switch distance := d.distance(o.peer.Zone); {
		case distance < best:
			best, closest = distance, []offered{o}
		case distance == best:
			closest = append(closest, o)
		}
	}
	if len(closest) == 0 {
		return offered{}, false
	}
	return closest[rand.IntN(len(closest))], true
}

// The distances of peers.
const (
	sameZone = iota
	sameRegion
	otherRegion
	distances
)

// distance returns the distance of a peer in the given zone.
func (d *directory) distance(zone ident.Zone) int {
	switch {
	case zone == d.zone:
		return sameZone
	case d.regionOf(zone) == d.regionOf(d.zone):
		return sameRegion
	default:
		return otherRegion
	}
}
