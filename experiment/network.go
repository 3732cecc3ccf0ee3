package experiment

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Times of the network and of those who wait at its ends.
const (
	// sameZoneDelay is the one-way time within an availability zone.
	sameZoneDelay = 100 * time.Microsecond
	// clientDelay is the one-way time between a caller and an instance.
	clientDelay = 3 * time.Millisecond
	// dialTimeout is how long a connection attempt into a cut lasts.
	dialTimeout = 500 * time.Millisecond
	// streamTimeout is how long a silent connection is waited on.
	streamTimeout = 2 * time.Second
)

// zonePair names two zones, in alphabetical order.
type zonePair struct{ a, b ident.Zone }

func pairOf(a, b ident.Zone) zonePair {
	if b < a {
		a, b = b, a
	}
	return zonePair{a, b}
}

// network says who can reach whom and how long it takes.
type network struct {
	crossZone time.Duration
	// cut lists the pairs of zones that are separated.
	cut map[zonePair]bool
	// isolated lists instances that cannot reach their peers, nor be reached
	// by them, but everything else.
	isolated map[ident.InstanceID]bool
}

func newNetwork(crossZone time.Duration) *network {
	return &network{
		crossZone: crossZone,
		cut:       map[zonePair]bool{},
		isolated:  map[ident.InstanceID]bool{},
	}
}

// delay is the one-way time between two zones.
func (n *network) delay(a, b ident.Zone) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return n.crossZone
}

// connected reports whether two zones reach each other.
func (n *network) connected(a, b ident.Zone) bool { return !n.cut[pairOf(a, b)] }

// peers reports whether two instances reach each other.
func (n *network) peers(a, b *instance) bool {
	return n.connected(a.zone, b.zone) && !n.isolated[a.id] && !n.isolated[b.id]
}
