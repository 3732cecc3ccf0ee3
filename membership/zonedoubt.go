package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// minUnresponsiveUpstreams is how many upstreams of another zone must be
// unresponsive before the whole zone is considered unreachable.
const minUnresponsiveUpstreams = 2

// zoneEvidence is what this instance's own calls show about another zone.
type zoneEvidence struct {
	// unresponsive is the number of upstreams that do not answer;
	// unresponsiveSince is the earliest time at which one of them stopped
	// answering.
	unresponsive      int
	unresponsiveSince time.Duration
	// lastLiveAt is the last evidence of liveness of any of the zone's
	// upstreams.
	lastLiveAt time.Duration
}

// evidenceByZone holds the evidence by zone.
type evidenceByZone map[ident.Zone]*zoneEvidence

// collectZoneEvidence collects the evidence on which other zones may be cut off
// by a network partition. Without it each of their upstreams would have to fail
// a request before it is avoided. The agent polls all upstreams of such a zone
// at once, and the first answer from one of them makes the zone reachable
// again.
func (m *Machine) collectZoneEvidence() evidenceByZone {
	evidence := evidenceByZone{}
	for _, u := range m.sortedUpstreams {
		if u.zone == m.self.Zone {
			continue
		}
		d := evidence[u.zone]
		if d == nil {
			d = &zoneEvidence{unresponsiveSince: -never, lastLiveAt: never}
			evidence[u.zone] = d
		}
		d.lastLiveAt = max(d.lastLiveAt, u.lastLiveAt())
		if u.failedAt > u.lastLiveAt() && u.failKind != FailRefused {
			d.unresponsive++
			d.unresponsiveSince = min(d.unresponsiveSince, u.unresponsiveSince)
		}
	}
	return evidence
}

// zoneUnreachable reports whether an upstream's whole zone is considered
// unreachable.
func (z evidenceByZone) zoneUnreachable(u *upstream) bool {
	d := z[u.zone]
	return d != nil && d.unresponsive >= minUnresponsiveUpstreams && d.lastLiveAt < d.unresponsiveSince
}
