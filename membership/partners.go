package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/rendezvous"
)

// partnership is the set of instances with which this instance exchanges
// heartbeats.
type partnership struct {
	ids []ident.InstanceID
	// sparse is true if not every pair of the own zone exchanges heartbeats.
	sparse bool
	stale  bool
	// thresholdUnit is the average interval of the exchanges with partners; the
	// thresholds are multiples of it.
	thresholdUnit time.Duration
	// liveFingerprint is a fingerprint of the instances considered live when
	// ids were chosen.
	liveFingerprint uint64
	checkedAt       time.Duration
}

// partners returns the instances to exchange heartbeats with, sorted.
func (m *Machine) partners(now time.Duration) []ident.InstanceID {
	p := &m.partnership
	if !p.stale && now-p.checkedAt < m.cfg.MinInterval/2 {
		return p.ids
	}
	p.checkedAt = now
	p.thresholdUnit = m.meanInterval()
	zones, fingerprint := m.liveByZone(now)
	if p.stale || fingerprint != p.liveFingerprint {
		p.stale, p.liveFingerprint = false, fingerprint
		p.ids = m.choosePartners(zones)
		p.sparse = len(zones[m.self.Zone]) > m.cfg.AllToAll
		m.dropFormerPartners()
	}
	return p.ids
}

// dropFormerPartners drops what is recorded of the knowledge of former
// partners.
func (m *Machine) dropFormerPartners() {
	for _, x := range m.sortedMembers {
		if _, ok := slices.BinarySearch(m.partnership.ids, x.id); !ok {
			x.knownRecords, x.knownReports = nil, nil
		}
	}
}

// liveByZone groups the IDs of the instances considered live by zone, including
// this instance, and returns a fingerprint of them.
func (m *Machine) liveByZone(now time.Duration) (map[ident.Zone][]ident.InstanceID, uint64) {
	m.updateLastLiveByZone(now)
	zones := map[ident.Zone][]ident.InstanceID{m.self.Zone: {m.self.Instance}}
	fingerprint := uint64(0)
	for _, x := range m.sortedMembers {
		if s := x.state(now, m.thresholds(x)); s > Suspect {
			continue
		}
		zones[x.zone] = append(zones[x.zone], x.id)
		fingerprint = fingerprint*31 + uint64(x.key)
	}
	return zones, fingerprint
}

// updateLastLiveByZone updates the time of the last evidence of liveness from
// each zone.
func (m *Machine) updateLastLiveByZone(now time.Duration) {
	for _, x := range m.sortedMembers {
		if at, ok := m.lastLiveByZone[x.zone]; !ok || x.facts.lastLiveAt(now) > at {
			m.lastLiveByZone[x.zone] = x.facts.lastLiveAt(now)
		}
	}
}

// zoneLastLiveAt returns the time of the last evidence of liveness from a zone.
func (m *Machine) zoneLastLiveAt(z ident.Zone) time.Duration {
	if at, ok := m.lastLiveByZone[z]; ok {
		return at
	}
	return never
}

// choosePartners returns the partners.
func (m *Machine) choosePartners(zones map[ident.Zone][]ident.InstanceID) []ident.InstanceID {
	chosen := m.zonePartners(zones[m.self.Zone])
	for zone, ids := range zones {
		if zone != m.self.Zone {
			chosen = append(chosen, m.bridgePartners(zone, zones[m.self.Zone], ids)...)
		}
	}
	slices.Sort(chosen)
	return slices.Compact(chosen)
}

// zonePartners returns the partners in the own zone: every instance of a small
// zone; in a larger one those that this instance chooses and those that choose
// it.
func (m *Machine) zonePartners(ids []ident.InstanceID) []ident.InstanceID {
	self := m.self.Instance
	others := without(ids, self)
	if len(ids) <= m.cfg.AllToAll {
		return others
	}
	chosen := rendezvous.Top(string(self), others, m.cfg.Fanout)
	for _, id := range others {
		if rendezvous.Contains(string(id), without(ids, id), m.cfg.Fanout, self) {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// bridgePartners returns the partners in another zone, if this instance is one
// of the few that exchange heartbeats with it.
func (m *Machine) bridgePartners(zone ident.Zone, own, theirs []ident.InstanceID) []ident.InstanceID {
	key := string(min(zone, m.self.Zone)) + "\x00" + string(max(zone, m.self.Zone))
	if !rendezvous.Contains(key, own, m.cfg.Bridges, m.self.Instance) {
		return nil
	}
	return rendezvous.Top(key, theirs, m.cfg.Bridges)
}

// without returns ids with id removed.
func without(ids []ident.InstanceID, id ident.InstanceID) []ident.InstanceID {
	out := make([]ident.InstanceID, 0, len(ids))
	for _, x := range ids {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}

// initiates reports whether this instance starts the exchanges with another
// one; the other answers, so that one call serves both.
func (m *Machine) initiates(id ident.InstanceID) bool {
	a, b := min(m.self.Instance, id), max(m.self.Instance, id)
	first := xxhash.Sum64String(string(a)+"\x00"+string(b))&1 == 0
	return first == (a == m.self.Instance)
}

// interval returns the time between two exchanges with one partner. Each
// exchange costs two frames; the budget covers the exchanges with all partners.
func (m *Machine) interval() time.Duration {
	bytes := 2 * m.averageFrameSize * float64(len(m.partnership.ids))
	seconds := bytes / float64(m.cfg.Budget)
	return max(m.cfg.MinInterval, time.Duration(seconds*float64(time.Second)))
}

// meanInterval returns the interval of the exchanges, averaged over all
// partners.
func (m *Machine) meanInterval() time.Duration {
	own := m.interval()
	if len(m.partnership.ids) == 0 {
		return own
	}
	var sum time.Duration
	for _, id := range m.partnership.ids {
		sum += max(own, m.members[id].partnerInterval)
	}
	return sum / time.Duration(len(m.partnership.ids))
}

// Interval returns the time between two exchanges with one partner.
func (m *Machine) Interval() time.Duration { return m.interval() }

// thresholds returns the thresholds that apply to an instance.
func (m *Machine) thresholds(x *member) thresholds {
	unit := max(m.partnership.thresholdUnit, m.interval())
	remote := x.zone != m.self.Zone
	if remote {
		unit *= time.Duration(m.cfg.RemoteFactor)
	}
	if m.partnership.sparse {
		unit *= time.Duration(m.cfg.SparseFactor)
	}
	return thresholds{
		suspect:        unit * time.Duration(m.cfg.SuspectAfter),
		unreachable:    unit * time.Duration(m.cfg.UnreachableAfter),
		deadGrace:      m.cfg.DeadGrace,
		remote:         remote,
		zoneLastLiveAt: m.zoneLastLiveAt(x.zone),
	}
}

// PolledUpstreams returns the upstreams of the own zone whose load this
// instance polls, sorted. Each upstream is polled by a few instances, chosen by
// rendezvous hashing.
func (m *Machine) PolledUpstreams(now time.Time) []ident.UpstreamID {
	zones, _ := m.liveByZone(m.advanceTo(now))
	own := zones[m.self.Zone]
	var out []ident.UpstreamID
	for _, u := range m.sortedUpstreams {
		if u.zone != m.self.Zone {
			continue
		}
		if rendezvous.Contains(string(u.id), own, m.cfg.Pollers, m.self.Instance) {
			out = append(out, u.id)
		}
	}
	return out
}
