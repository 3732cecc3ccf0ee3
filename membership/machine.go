package membership

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Machine holds what one instance knows of the others and of the upstreams. It
// is not safe for concurrent use.
type Machine struct {
	cfg   Config
	self  Self
	epoch time.Time
	last  time.Duration

	state     SelfState
	stampBase time.Duration
	// urgent counts the messages in which news of this instance itself travel
	// ahead of the schedule.
	urgent int
	// news counts the new sticky facts, of any instance or upstream.
	news uint64

	members    map[ident.InstanceID]*member
	memberKeys map[recordKey]*member
	// roster and backends hold the same in the order of their IDs, so that
	// what is done does not depend on the order of a map.
	roster      []*member
	backends    []*upstream
	upstreams   map[ident.UpstreamID]*upstream
	upKeys      map[recordKey]*upstream
	tombstones  map[ident.InstanceID]tombstone
	lists       lists
	partnership partnership
	// zones holds when each zone was last heard of.
	zones map[ident.Zone]time.Duration
	// superseded is set when a peer knows a higher incarnation of this instance.
	superseded bool
	// frameBytes is the average size of a heartbeat.
	frameBytes float64
	trust      trust
	views      viewState
	lookAt     time.Duration
	healAt     time.Duration
}

// New returns a machine that knows of nothing. Its view is distrusted until it
// was refreshed; see Trusted.
func New(self Self, cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:        cfg.withDefaults(),
		self:       self,
		epoch:      now,
		members:    map[ident.InstanceID]*member{},
		memberKeys: map[recordKey]*member{},
		upstreams:  map[ident.UpstreamID]*upstream{},
		upKeys:     map[recordKey]*upstream{},
		tombstones: map[ident.InstanceID]tombstone{},
		frameBytes: heartbeatOverhead,
		zones:      map[ident.Zone]time.Duration{},
	}
	m.trust.distrust(0, nil)
	return m
}

// at converts a time to one since the epoch that never falls.
func (m *Machine) at(now time.Time) time.Duration {
	m.last = max(m.last, now.Sub(m.epoch))
	return m.last
}

// when converts a past time without moving the machine's own.
func (m *Machine) when(t time.Time) time.Duration { return t.Sub(m.epoch) }

// SetSelf says what is known of this instance's own entry process. Leaving and
// gone are sticky for an incarnation.
func (m *Machine) SetSelf(now time.Time, s SelfState) {
	at := m.at(now)
	old := m.state
	if s.Incarnation == old.Incarnation {
		s.Leaving = s.Leaving || old.Leaving
		s.Gone = s.Gone || old.Gone
	}
	if s == old {
		return
	}
	if s.Incarnation != old.Incarnation {
		// The stamp counts from the incarnation, which is a wall-clock time:
		// so a restarted agent goes on where the one before it ended.
		m.stampBase = time.Duration(now.UnixMilli()-int64(s.Incarnation))*time.Millisecond - at
	}
	m.state = s
	m.rush(at, &m.urgent)
}

// Leave says that this instance takes no new work from now on.
func (m *Machine) Leave(now time.Time) {
	s := m.state
	s.Leaving = true
	m.SetSelf(now, s)
}

// stamp returns the sign of the own entry's life, 0 while it gives none.
func (m *Machine) stamp(now time.Duration) Stamp {
	if m.state.Incarnation == 0 || m.state.Gone || m.state.Silent {
		return 0
	}
	return max(newStamp(m.stampBase+now), 1)
}

// spread is in how many messages a new sticky fact travels first.
func (m *Machine) spread() int { return 2 * max(len(m.partnership.ids), 1) }

// addMember returns the member of an ID, making it known if there is room.
func (m *Machine) addMember(id ident.InstanceID, now time.Duration) *member {
	if x, ok := m.members[id]; ok {
		return x
	}
	if len(m.members) >= maxInstances {
		return nil
	}
	x := &member{id: id, key: keyOf(string(id)), life: newLife(0, now), since: now,
		triedAt: never, answered: never, failed: never}
	if t, ok := m.tombstones[id]; ok {
		// What an old life said must not count for a new one.
		x.life = t.life
		delete(m.tombstones, id)
	}
	m.members[id] = x
	if _, taken := m.memberKeys[x.key]; !taken {
		m.memberKeys[x.key] = x
	}
	at, _ := slices.BinarySearchFunc(m.roster, id, (*member).compare)
	m.roster = slices.Insert(m.roster, at, x)
	m.partnership.outdated = true
	return x
}

// addUpstream returns the upstream of an ID, making it known if there is room.
func (m *Machine) addUpstream(id ident.UpstreamID, now time.Duration) *upstream {
	if u, ok := m.upstreams[id]; ok {
		return u
	}
	if len(m.upstreams) >= maxUpstreams {
		return nil
	}
	u := &upstream{id: id, key: keyOf(string(id)), since: now}
	u.renew(now, 0)
	m.upstreams[id] = u
	if _, taken := m.upKeys[u.key]; !taken {
		m.upKeys[u.key] = u
	}
	at, _ := slices.BinarySearchFunc(m.backends, id, (*upstream).compare)
	m.backends = slices.Insert(m.backends, at, u)
	return u
}

// tombstone keeps what was known of a forgotten instance, so that a late message
// of an old incarnation is still known to be old.
type tombstone struct {
	life life
	at   time.Duration
}

// tombstoneTTL is how long a tombstone is kept.
const tombstoneTTL = time.Hour

// forget drops what is listed no more and gave no sign of life for long.
func (m *Machine) forget(now time.Duration) {
	limit := now - m.cfg.ForgetAfter
	for _, x := range slices.Clone(m.roster) {
		if x.seed || x.listed || max(x.life.heard(now), x.since) > limit {
			continue
		}
		if len(m.tombstones) < maxTombstones {
			m.tombstones[x.id] = tombstone{life: x.life, at: now}
		}
		m.dropMember(x)
	}
	for id, t := range m.tombstones {
		if now-t.at > tombstoneTTL {
			delete(m.tombstones, id)
		}
	}
	for _, u := range slices.Clone(m.backends) {
		if !u.listed && u.since <= limit {
			m.dropUpstream(u)
		}
	}
}

// dropMember forgets an instance.
func (m *Machine) dropMember(x *member) {
	delete(m.members, x.id)
	if m.memberKeys[x.key] == x {
		delete(m.memberKeys, x.key)
	}
	if at, ok := slices.BinarySearchFunc(m.roster, x.id, (*member).compare); ok {
		m.roster = slices.Delete(m.roster, at, at+1)
	}
	m.partnership.outdated = true
}

// dropUpstream forgets an upstream.
func (m *Machine) dropUpstream(u *upstream) {
	delete(m.upstreams, u.id)
	if m.upKeys[u.key] == u {
		delete(m.upKeys, u.key)
	}
	if at, ok := slices.BinarySearchFunc(m.backends, u.id, (*upstream).compare); ok {
		m.backends = slices.Delete(m.backends, at, at+1)
	}
}

// Known reports whether the settings or a recent list names the instance. It is
// what peer.Config.Allow asks.
func (m *Machine) Known(id ident.InstanceID) bool {
	_, ok := m.members[id]
	return ok || id == m.self.Instance
}
