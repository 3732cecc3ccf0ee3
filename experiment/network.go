package experiment

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Network delays and connection time-outs.
const (
	// sameZoneDelay is the one-way delay within an availability zone.
	sameZoneDelay = 100 * time.Microsecond
	// clientDelay is the one-way delay between a caller and an instance.
	clientDelay = 3 * time.Millisecond
	// dialTimeout is the time after which a connection attempt across a network
	// partition fails.
	dialTimeout = 500 * time.Millisecond
	// streamTimeout is the time after which a silent connection is considered
	// lost.
	streamTimeout = 2 * time.Second
)

// zonePair is an unordered pair of zones, stored in alphabetical order.
type zonePair struct{ a, b ident.Zone }

func newZonePair(a, b ident.Zone) zonePair {
	if b < a {
		a, b = b, a
	}
	return zonePair{a, b}
}

// network models connectivity and delays between zones and instances.
type network struct {
	crossZone time.Duration
	// partitioned contains the pairs of zones that are partitioned.
	partitioned map[zonePair]bool
	// isolated contains the instances that are partitioned from their peers, but
	// from nothing else.
	isolated map[ident.InstanceID]bool
}

func newNetwork(crossZone time.Duration) *network {
	return &network{
		crossZone:   crossZone,
		partitioned: map[zonePair]bool{},
		isolated:    map[ident.InstanceID]bool{},
	}
}

// delay returns the one-way delay between two zones.
func (n *network) delay(a, b ident.Zone) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return n.crossZone
}

// connected reports whether two zones can reach each other.
func (n *network) connected(a, b ident.Zone) bool { return !n.partitioned[newZonePair(a, b)] }

// peersConnected reports whether two instances can reach each other.
func (n *network) peersConnected(a, b *instance) bool {
	return n.connected(a.zone, b.zone) && !n.isolated[a.id] && !n.isolated[b.id]
}
