package membership

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Machine holds what one instance knows about the others and about the
// upstreams. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	self  Self
	epoch time.Time
	last  time.Duration

	selfState SelfState
	stampBase time.Duration
	// urgentSends is the number of further messages that carry new facts about
	// this instance itself ahead of the schedule.
	urgentSends int
	// factCount counts the new sticky facts about any instance or upstream.
	factCount uint64

	members      map[ident.InstanceID]*member
	membersByKey map[recordKey]*member
	// sortedMembers and sortedUpstreams hold the same entries sorted by ID, so
	// that the results do not depend on map iteration order.
	sortedMembers   []*member
	sortedUpstreams []*upstream
	upstreams       map[ident.UpstreamID]*upstream
	upstreamsByKey  map[recordKey]*upstream
	// refusals holds the upstreams that refused a connection and are not reported
	// as down yet.
	refusals    []*upstream
	tombstones  map[ident.InstanceID]tombstone
	lists       lists
	partnership partnership
	// lastLiveByZone holds the time of the last evidence of liveness from each
	// zone.
	lastLiveByZone map[ident.Zone]time.Duration
	// superseded is set when a peer knows a higher incarnation of this
	// instance.
	superseded bool
	// averageFrameSize is the average size of a heartbeat.
	averageFrameSize float64
	trust            trust
	views            viewState
	nextScanAt       time.Duration
	nextReconnectAt  time.Duration
}

// New returns a machine without any members or upstreams. Its view is
// distrusted until it has been refreshed; see Trusted.
func New(self Self, cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:              cfg.withDefaults(),
		self:             self,
		epoch:            now,
		members:          map[ident.InstanceID]*member{},
		membersByKey:     map[recordKey]*member{},
		upstreams:        map[ident.UpstreamID]*upstream{},
		upstreamsByKey:   map[recordKey]*upstream{},
		tombstones:       map[ident.InstanceID]tombstone{},
		averageFrameSize: heartbeatOverhead,
		lastLiveByZone:   map[ident.Zone]time.Duration{},
	}
	m.trust.distrust(0, nil)
	return m
}

// advanceTo converts a time to one since the epoch and advances the machine's
// time, which never decreases.
func (m *Machine) advanceTo(now time.Time) time.Duration {
	m.last = max(m.last, now.Sub(m.epoch))
	return m.last
}

// sinceEpoch converts a past time to one since the epoch without advancing the
// machine's time.
func (m *Machine) sinceEpoch(t time.Time) time.Duration { return t.Sub(m.epoch) }

// SetSelf sets the state of this instance's own entry process. Leaving and Ended
// are sticky for an incarnation.
func (m *Machine) SetSelf(now time.Time, s SelfState) {
	at := m.advanceTo(now)
	old := m.selfState
	if s.Incarnation == old.Incarnation {
		s.Leaving = s.Leaving || old.Leaving
		s.Ended = s.Ended || old.Ended
	}
	if s == old {
		return
	}
	if s.Incarnation != old.Incarnation {
		// The stamp counts from the incarnation, which is a wall-clock time, so
		// that a restarted agent continues where the previous one stopped.
		m.stampBase = time.Duration(now.UnixMilli()-int64(s.Incarnation))*time.Millisecond - at
	}
	m.selfState = s
	m.disseminate(at, &m.urgentSends)
}

// Leave marks this instance as taking no new work from now on.
func (m *Machine) Leave(now time.Time) {
	s := m.selfState
	s.Leaving = true
	m.SetSelf(now, s)
}

// stamp returns the evidence of the own entry's liveness, 0 while there is
// none.
func (m *Machine) stamp(now time.Duration) Stamp {
	if m.selfState.Incarnation == 0 || m.selfState.Ended || m.selfState.Unresponsive {
		return 0
	}
	return max(newStamp(m.stampBase+now), 1)
}

// urgentSendCount returns the number of messages in which a new sticky fact is
// sent first.
func (m *Machine) urgentSendCount() int { return 2 * max(len(m.partnership.ids), 1) }

// addMember returns the member with the given ID and adds it if there is room;
// otherwise it returns nil.
func (m *Machine) addMember(id ident.InstanceID, now time.Duration) *member {
	if x, ok := m.members[id]; ok {
		return x
	}
	if len(m.members) >= maxInstances {
		return nil
	}
	x := &member{id: id, key: keyOf(string(id)), facts: newIncarnationFacts(0, now), knownSince: now,
		triedAt: never, agentAnsweredAt: never, failedAt: never}
	if t, ok := m.tombstones[id]; ok {
		// Facts about an old incarnation must not count for a new one.
		x.facts = t.facts
		delete(m.tombstones, id)
	}
	m.members[id] = x
	if _, taken := m.membersByKey[x.key]; !taken {
		m.membersByKey[x.key] = x
	}
	at, _ := slices.BinarySearchFunc(m.sortedMembers, id, (*member).compare)
	m.sortedMembers = slices.Insert(m.sortedMembers, at, x)
	m.partnership.stale = true
	return x
}

// addUpstream returns the upstream with the given ID and adds it if there is
// room; otherwise it returns nil.
func (m *Machine) addUpstream(id ident.UpstreamID, now time.Duration) *upstream {
	if u, ok := m.upstreams[id]; ok {
		return u
	}
	if len(m.upstreams) >= maxUpstreams {
		return nil
	}
	u := &upstream{id: id, key: keyOf(string(id)), listedAt: now}
	u.reset(now, 0)
	m.upstreams[id] = u
	if _, taken := m.upstreamsByKey[u.key]; !taken {
		m.upstreamsByKey[u.key] = u
	}
	at, _ := slices.BinarySearchFunc(m.sortedUpstreams, id, (*upstream).compare)
	m.sortedUpstreams = slices.Insert(m.sortedUpstreams, at, u)
	return u
}

// tombstone holds what was known about a forgotten instance, so that a late
// message from an old incarnation is still recognized as old.
type tombstone struct {
	facts       incarnationFacts
	forgottenAt time.Duration
}

// tombstoneTTL is how long a tombstone is kept.
const tombstoneTTL = time.Hour

// forget drops unlisted instances, other than seeds, that have given no
// evidence of liveness for ForgetAfter, and upstreams that have been unlisted
// for that long.
func (m *Machine) forget(now time.Duration) {
	limit := now - m.cfg.ForgetAfter
	for _, x := range slices.Clone(m.sortedMembers) {
		if x.seed || x.listed || max(x.facts.lastLiveAt(now), x.knownSince) > limit {
			continue
		}
		if len(m.tombstones) < maxTombstones {
			m.tombstones[x.id] = tombstone{facts: x.facts, forgottenAt: now}
		}
		m.dropMember(x)
	}
	for id, t := range m.tombstones {
		if now-t.forgottenAt > tombstoneTTL {
			delete(m.tombstones, id)
		}
	}
	for _, u := range slices.Clone(m.sortedUpstreams) {
		if !u.listed && u.listedAt <= limit {
			m.dropUpstream(u)
		}
	}
}

// dropMember removes an instance.
func (m *Machine) dropMember(x *member) {
	delete(m.members, x.id)
	if m.membersByKey[x.key] == x {
		delete(m.membersByKey, x.key)
	}
	if at, ok := slices.BinarySearchFunc(m.sortedMembers, x.id, (*member).compare); ok {
		m.sortedMembers = slices.Delete(m.sortedMembers, at, at+1)
	}
	m.partnership.stale = true
}

// dropUpstream removes an upstream.
func (m *Machine) dropUpstream(u *upstream) {
	delete(m.upstreams, u.id)
	if m.upstreamsByKey[u.key] == u {
		delete(m.upstreamsByKey, u.key)
	}
	if at, ok := slices.BinarySearchFunc(m.sortedUpstreams, u.id, (*upstream).compare); ok {
		m.sortedUpstreams = slices.Delete(m.sortedUpstreams, at, at+1)
	}
}

// Known reports whether the settings or a recent list names the instance. It
// serves as peer.Config.Allow.
func (m *Machine) Known(id ident.InstanceID) bool {
	_, ok := m.members[id]
	return ok || id == m.self.Instance
}
