package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// doubtfulUpstreams is how many upstreams of another zone must have given no
// answer before the zone is doubted as a whole.
const doubtfulUpstreams = 2

// zoneDoubt is what this instance's own calls show of another zone.
type zoneDoubt struct {
	// silent counts the upstreams that give no answer; since is when the first of
	// them began to.
	silent int
	since  time.Duration
	// alive is the last sign of life of any of the zone's upstreams.
	alive time.Duration
}

// zoneDoubts are the zones that this instance may be cut off from, by zone.
type zoneDoubts map[ident.Zone]*zoneDoubt

// zoneDoubts finds out which other zones seem to be cut off: each of their
// upstreams would otherwise have to fail a request before it is left alone. All
// that is doubted is read at once by the agent, and the first answer ends it.
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

// covers reports whether an upstream is doubted with its zone.
func (z zoneDoubts) covers(u *upstream) bool {
	d := z[u.zone]
	return d != nil && d.silent >= doubtfulUpstreams && d.alive < d.since
}
