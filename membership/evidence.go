package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// PeerAnswered takes in that a call to the entry of an instance succeeded at the
// given time. A connection alone is none: the kernel of a paused process accepts.
func (m *Machine) PeerAnswered(now, at time.Time, id ident.InstanceID) {
	m.at(now)
	if x, ok := m.members[id]; ok {
		x.life.reached = max(x.life.reached, m.when(at))
	}
}

// PeerFailed takes in that a call to a process of an instance failed at the
// given time. A refused connection of the entry's proves that it has ended: the
// listener of a process that still has requests in flight stays open. A refusal
// by the agent's address, or any other failure, proves nothing and leads to a
// probe of the entry.
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

// UpstreamAnswered takes in that a call to an upstream succeeded at the given
// time.
func (m *Machine) UpstreamAnswered(now, at time.Time, id ident.UpstreamID) {
	m.at(now)
	if u, ok := m.upstreams[id]; ok {
		u.reached = max(u.reached, m.when(at))
		u.missGap, u.missAt = 0, never
	}
}

// UpstreamFailed takes in that a call to an upstream failed at the given time.
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

// mayMiss reports whether this instance may tell others that an upstream does
// not answer. That can be its own trouble: so only an instance of the upstream's
// zone says it, which nothing but the zone's own network separates from it, only
// when no other instance has told of a fresh report, and seldom if others keep
// saying otherwise.
func (m *Machine) mayMiss(now time.Duration, u *upstream) bool {
	return u.zone == m.self.Zone && now-u.alive() >= m.cfg.UpstreamGrace && now >= u.missAt
}

// Bounds of the time until an instance may say again that an upstream is missing
// that it has not reached itself meanwhile.
const (
	missGapMin = 2 * time.Second
	missGapMax = time.Minute
)

// doubted notes that this instance said that the upstream is missing.
func (u *upstream) doubted(now time.Duration) {
	u.missGap = min(max(2*u.missGap, missGapMin), missGapMax)
	u.missAt = now + u.missGap
}

// UpstreamLeaving takes in an upstream's own refusal because it is leaving.
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

// UpstreamReport takes in a load report that this instance got from an upstream
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
		// Its return is news as well: other zones get no reports of it.
		m.rush(t, &u.urgent)
	}
}
