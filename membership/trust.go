package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// trust tracks whether the view may be acted on.
type trust struct {
	distrusted bool
	// since is when the pause was noticed. Only exchanges and reads begun later
	// count as fresh: older messages may have waited in buffers.
	since time.Duration
	// peers holds the instances of the zone that were considered live before
	// the pause, and whether each has been reached since.
	peers map[ident.InstanceID]bool
}

// distrust starts a period in which the view is not trusted.
func (t *trust) distrust(now time.Duration, peers []ident.InstanceID) {
	t.distrusted, t.since = true, now
	t.peers = make(map[ident.InstanceID]bool, len(peers))
	for _, id := range peers {
		t.peers[id] = false
	}
}

// recordExchange records an exchange that was begun at the given time.
func (t *trust) recordExchange(id ident.InstanceID, started time.Duration) {
	if _, ok := t.peers[id]; ok && started >= t.since {
		t.peers[id] = true
	}
}

// majority reports whether most of the zone's peers have been reached.
func (t *trust) majority() bool {
	reached := 0
	for _, ok := range t.peers {
		if ok {
			reached++
		}
	}
	return 2*reached > len(t.peers)
}

// RecordPause records that the process did not run for the duration gap until
// now. The view is distrusted from then on, and exchanges with all partners
// become due.
func (m *Machine) RecordPause(now time.Time, gap time.Duration) {
	at := m.advanceTo(now)
	before := at - gap
	var peers []ident.InstanceID
	for _, x := range m.sortedMembers {
		if x.zone == m.self.Zone && x.state(before, m.thresholds(x)) <= Suspect {
			peers = append(peers, x.id)
		}
	}
	m.trust.distrust(at, peers)
	m.expediteAll(at)
}

// Trusted reports whether the view may be acted on. After a start or a pause it
// is false until one of these has happened since:
//
//   - heartbeats were exchanged with a majority of the zone's instances that were
//     considered live before,
//   - a list was read from the platform,
//   - TrustTimeout passed: an instance that is cut off from all others has to
//     continue with what it can observe itself.
func (m *Machine) Trusted(now time.Time) bool {
	at := m.advanceTo(now)
	t := &m.trust
	if !t.distrusted {
		return true
	}
	listed := m.lists.read && m.lists.readAt >= t.since
	met := len(t.peers) > 0 && t.majority()
	if listed || met || at-t.since >= m.cfg.TrustTimeout {
		t.distrusted = false
	}
	return !t.distrusted
}
