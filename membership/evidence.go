package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// PeerAnswered records that a call to an instance's entry succeeded at the
// given time. A connection alone does not count: the kernel accepts on behalf
// of a paused process.
func (m *Machine) PeerAnswered(now, at time.Time, id ident.InstanceID) {
	m.at(now)
	if x, ok := m.members[id]; ok {
		x.life.reached = max(x.life.reached, m.when(at))
	}
}

// PeerFailed records that a call to a process of an instance failed at the
// given time. A connection refused at the entry's address proves that the entry
// has ended: a process with requests in flight keeps its listener open. A
// refusal at the agent's address, or any other failure, proves nothing and
// leads to a probe of the entry.
func (m *Machine) PeerFailed(now, at time.Time, id ident.InstanceID, p Process, kind FailKind) {
	m.at(now)
	x, ok := m.members[id]
	if !ok {
		return
	}
	t := m.when(at)
	if t > x.failed {
		x.failed, x.failKind = t, kind
	}
	if p == ProcessEntry && kind == FailRefused {
		x.life.refused = max(x.life.refused, t)
	}
}

// UpstreamAnswered records that a call to an upstream succeeded at the given
// time.
func (m *Machine) UpstreamAnswered(now, at time.Time, id ident.UpstreamID) {
	m.at(now)
	if u, ok := m.upstreams[id]; ok {
		u.reached = max(u.reached, m.when(at))
		u.missGap, u.missAt = 0, never
	}
}

// UpstreamFailed records that a call to an upstream failed at the given time.
func (m *Machine) UpstreamFailed(now, at time.Time, id ident.UpstreamID, kind FailKind) {
	t := m.at(now)
	u, ok := m.upstreams[id]
	if !ok {
		return
	}
	u.fail(m.when(at), kind)
	if u.failed <= u.alive() {
		return
	}
	if kind == FailRefused && u.down.merge(t, u.newest()) {
		m.rush(t, &u.urgent)
	}
	if kind != FailRefused && m.mayMiss(t, u) && u.missing.merge(t, u.newest()) {
		u.doubted(t)
		m.rush(t, &u.urgent)
	}
}

// mayMiss reports whether this instance may report an upstream missing to
// others. The fault can be this instance's own, so it may do so only if it is
// in the upstream's zone, where only the zone's own network separates the two,
// only if no other instance has relayed a fresh report, and at growing
// intervals while others keep contradicting it.
func (m *Machine) mayMiss(now time.Duration, u *upstream) bool {
	return u.zone == m.self.Zone && now-u.alive() >= m.cfg.UpstreamGrace && now >= u.missAt
}

// Limits of the time until an instance that has not reached an upstream itself
// since may report it missing again.
const (
	missGapMin = 2 * time.Second
	missGapMax = time.Minute
)

// doubted records that this instance reported the upstream missing, and doubles
// the time until it may do so again.
func (u *upstream) doubted(now time.Duration) {
	u.missGap = min(max(2*u.missGap, missGapMin), missGapMax)
	u.missAt = now + u.missGap
}

// UpstreamLeaving records that an upstream refused a call because it is
// leaving.
func (m *Machine) UpstreamLeaving(now time.Time, id ident.UpstreamID, inc ident.Incarnation) {
	t := m.at(now)
	u, ok := m.upstreams[id]
	if !ok || !u.advance(t, inc) {
		return
	}
	if u.leave(true) {
		m.rush(t, &u.urgent)
	}
}

// UpstreamReport records a load report that this instance read from an upstream
// and that was made at the given time.
func (m *Machine) UpstreamReport(now, measured time.Time, id ident.UpstreamID, r Report) {
	t := m.at(now)
	u, ok := m.upstreams[id]
	if !ok {
		return
	}
	absent := u.absent()
	leaving := u.mergeReport(t, r, m.when(measured))
	if leaving || absent && !u.absent() {
		// The upstream's return is disseminated as well: other zones get no
		// reports of it.
		m.rush(t, &u.urgent)
	}
}
