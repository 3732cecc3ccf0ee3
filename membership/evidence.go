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
	if kind != FailRefused || u.failed <= u.alive() {
		// A timeout can be this instance's own trouble: it isn't relayed.
		return
	}
	before := u.down
	u.mergeDown(t, u.incarnation, u.report.Sequence)
	if u.down > before {
		m.rush(t, &u.urgent)
	}
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
	if u.mergeReport(t, r, m.when(measured)) {
		m.rush(t, &u.urgent)
	}
}
