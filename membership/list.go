package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Seed is an instance that the settings name. It is never forgotten.
type Seed struct {
	ID      ident.InstanceID
	Zone    ident.Zone
	Address string
}

// ListedInstance is an instance as shown in the platform's list.
type ListedInstance struct {
	ID      ident.InstanceID
	Zone    ident.Zone
	Address string
	// Incarnation is 0 if the list does not name it.
	Incarnation ident.Incarnation
	Leaving     bool
}

// ListedUpstream is an upstream as shown in the platform's list.
type ListedUpstream struct {
	ID      ident.UpstreamID
	Zone    ident.Zone
	Address string
	// Incarnation is 0 if the list does not name it.
	Incarnation ident.Incarnation
	Leaving     bool
	// SoftwareVersion is "" if the list does not state it.
	SoftwareVersion string
}

// lists holds the indexes of the newest platform lists and when one was last
// read.
type lists struct {
	instances uint64
	upstreams uint64
	readAt    time.Duration
	read      bool
}

// AddSeeds adds the instances that the settings name.
func (m *Machine) AddSeeds(now time.Time, seeds []Seed) {
	at := m.advanceTo(now)
	for _, s := range seeds {
		if s.ID == m.self.Instance {
			continue
		}
		if x := m.addMember(s.ID, at); x != nil {
			x.seed = true
			m.setLocation(x, s.Zone, s.Address)
		}
	}
}

// setLocation sets the zone and address of an instance.
func (m *Machine) setLocation(x *member, zone ident.Zone, address string) {
	if x.zone != zone {
		x.zone = zone
		m.partnership.stale = true
	}
	x.address = address
}

// ApplyInstanceList applies the platform's list of instances. index is the platform's
// index of the list, and started is when reading it began, here or at the peer
// that relays it. ApplyInstanceList ignores a list older than one already seen and
// returns false.
func (m *Machine) ApplyInstanceList(now, started time.Time, index uint64, list []ListedInstance) bool {
	at := m.advanceTo(now)
	if index < m.lists.instances {
		return false
	}
	m.lists.instances = index
	m.recordListRead(m.sinceEpoch(started))
	for _, x := range m.sortedMembers {
		x.listed = false
	}
	for _, l := range list {
		if l.ID == m.self.Instance {
			m.applyListedSelf(now, at, l)
			continue
		}
		m.applyListedInstance(at, l)
	}
	m.forget(at)
	return true
}

// ListsConfirmed records that a read of the platform, begun at the given time, found
// nothing newer than the lists seen.
func (m *Machine) ListsConfirmed(now, started time.Time) {
	m.advanceTo(now)
	m.recordListRead(m.sinceEpoch(started))
}

// ResetLists makes lists with lower indexes acceptable again, for a platform
// that was set up from scratch. What the old lists stated remains until a new
// list differs.
func (m *Machine) ResetLists() { m.lists.instances, m.lists.upstreams = 0, 0 }

// recordListRead records that a list was read from the platform.
func (m *Machine) recordListRead(started time.Duration) {
	if !m.lists.read || started > m.lists.readAt {
		m.lists.read, m.lists.readAt = true, started
	}
}

// applyListedInstance applies one entry of the list of instances.
func (m *Machine) applyListedInstance(now time.Duration, l ListedInstance) {
	x := m.addMember(l.ID, now)
	if x == nil {
		return
	}
	x.listed = true
	m.setLocation(x, l.Zone, l.Address)
	if l.Incarnation != 0 {
		if x.merge(now, memberRecord{incarnation: l.Incarnation, leaving: l.Leaving}) {
			m.disseminate(now, &x.urgentSends)
		}
		return
	}
	x.listedLeaving = l.Leaving
	if x.listedLeaving && m.listApplies(now, x.facts.incarnation, x.facts.learnedAt) && !x.facts.leaving {
		x.facts.leaving = true
		m.disseminate(now, &x.urgentSends)
	}
}

// applyListedSelf applies the list's entry of this instance: if the entry marks
// it as leaving, the instance announces that itself from now on.
func (m *Machine) applyListedSelf(now time.Time, at time.Duration, l ListedInstance) {
	bound := l.Incarnation == m.selfState.Incarnation
	if l.Incarnation == 0 {
		bound = m.listApplies(at, m.selfState.Incarnation, -m.stampBase)
	}
	if l.Leaving && bound {
		m.Leave(now)
	}
}

// listApplies reports whether a list that marks an ID as leaving without naming
// the incarnation applies to inc, which was learned at the time learned. It does
// if that was at least ListLag ago. A younger incarnation may have replaced the
// one that the lagging list refers to; it gets no new work only as long as the
// newest list marks the ID.
func (m *Machine) listApplies(now time.Duration, inc ident.Incarnation, learned time.Duration) bool {
	return inc != 0 && now-learned >= m.cfg.ListLag
}

// ApplyUpstreamList applies the platform's list of upstreams in the same way as
// ApplyInstanceList.
func (m *Machine) ApplyUpstreamList(now, started time.Time, index uint64, list []ListedUpstream) bool {
	at := m.advanceTo(now)
	if index < m.lists.upstreams {
		return false
	}
	m.lists.upstreams = index
	m.recordListRead(m.sinceEpoch(started))
	for _, u := range m.sortedUpstreams {
		u.listed = false
	}
	for _, l := range list {
		m.applyListedUpstream(at, l)
	}
	m.forget(at)
	return true
}

// applyListedUpstream applies one entry of the list of upstreams.
func (m *Machine) applyListedUpstream(now time.Duration, l ListedUpstream) {
	u := m.addUpstream(l.ID, now)
	if u == nil {
		return
	}
	u.listed, u.listedAt = true, now
	u.zone, u.address = l.Zone, l.Address
	u.software = software{version: l.SoftwareVersion, incarnation: l.Incarnation}
	if l.Incarnation != 0 {
		if u.advance(now, l.Incarnation) && u.markLeaving(l.Leaving) {
			m.disseminate(now, &u.urgentSends)
		}
		return
	}
	u.listedLeaving = l.Leaving
	if u.listedLeaving && m.listApplies(now, u.incarnation, u.learnedAt) && u.markLeaving(true) {
		m.disseminate(now, &u.urgentSends)
	}
}
