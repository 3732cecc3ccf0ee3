package routing

import (
	"slices"

	"github.com/wardspool/wardspool/ident"
)

// Evacuation lists the availability zones whose upstreams must not get new requests. Requests
// already running there are not interrupted.
type Evacuation struct {
	// Revision is the store's revision when the zones were read. Of two evacuations, the one with
	// the higher revision applies.
	Revision int64        `json:"revision"`
	Zones    []ident.Zone `json:"zones,omitempty"`
}

// Covers reports whether a zone is evacuated.
func (e Evacuation) Covers(zone ident.Zone) bool { return slices.Contains(e.Zones, zone) }

// SameZones reports whether two evacuations list the same zones in the same order.
func (e Evacuation) SameZones(o Evacuation) bool { return slices.Equal(e.Zones, o.Zones) }
