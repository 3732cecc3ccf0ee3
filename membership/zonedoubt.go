package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// doubtfulUpstreams is how many upstreams of another zone must be silent before
// the whole zone is considered unreachable.
const doubtfulUpstreams = 2

// zoneDoubt is what this instance's own calls show about another zone.
type zoneDoubt struct {
	// silent is the number of upstreams that do not answer; since is the
	// earliest time at which one of them stopped answering.
	silent int
	since  time.Duration
	// alive is the last evidence of liveness of any of the zone's upstreams.
	alive time.Duration
}

// zoneDoubts holds the evidence by zone.
type zoneDoubts map[ident.Zone]*zoneDoubt

// zoneDoubts collects the evidence on which other zones may be cut off by a
// network partition. Without it each of their upstreams would have to fail a
// request before it is avoided. The agent polls all upstreams of such a zone at
// once, and the first answer from one of them makes the zone reachable again.
func (m *Machine) zoneDoubts() zoneDoubts {
	doubts := zoneDoubts{}
	for _, u := range m.backends {
		if u.zone == m.self.Zone {
			continue
		}
		d := doubts[u.zone]
		if d == nil {
			d = &zoneDoubt{since: -never, alive: never}
			doubts[u.zone] = d
		}
		d.alive = max(d.alive, u.alive())
		if u.failed > u.alive() && u.failKind != FailRefused {
			d.silent++
			d.since = min(d.since, u.silentSince)
		}
	}
	return doubts
}

// covers reports whether an upstream's whole zone is considered unreachable.
func (z zoneDoubts) covers(u *upstream) bool {
	d := z[u.zone]
	return d != nil && d.silent >= doubtfulUpstreams && d.alive < d.since
}
