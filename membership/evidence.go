package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// PeerAnswered records that a call to an instance's entry succeeded at the
// given time. A connection alone does not count: the operating system accepts
// connections on behalf of a paused process.
func (m *Machine) PeerAnswered(now, at time.Time, id ident.InstanceID) {
	m.advanceTo(now)
	if x, ok := m.members[id]; ok {
		x.facts.reachedAt = max(x.facts.reachedAt, m.sinceEpoch(at))
	}
}

// PeerFailed records that a call to a process of an instance failed at the
// given time. A connection refused at the entry's address proves that the entry
// has ended: a process with requests in flight keeps its listener open. A
// refusal at the agent's address, or any other failure, proves nothing and
// leads to a probe of the entry.
func (m *Machine) PeerFailed(now, at time.Time, id ident.InstanceID, p Process, kind FailKind) {
	m.advanceTo(now)
	x, ok := m.members[id]
	if !ok {
		return
	}
	t := m.sinceEpoch(at)
	if t > x.failedAt {
		x.failedAt, x.failKind = t, kind
	}
	if p == ProcessEntry && kind == FailRefused {
		x.facts.refusedAt = max(x.facts.refusedAt, t)
	}
}

// UpstreamAnswered records that a call to an upstream succeeded at the given
// time.
func (m *Machine) UpstreamAnswered(now, at time.Time, id ident.UpstreamID) {
	m.advanceTo(now)
	if u, ok := m.upstreams[id]; ok {
		u.reachedAt = max(u.reachedAt, m.sinceEpoch(at))
		u.missingBackoff, u.missingAllowedAt = 0, never
		m.confirmRefusals(m.sinceEpoch(now), u)
	}
}

// UpstreamFailed records that a call to an upstream failed at the given time.
func (m *Machine) UpstreamFailed(now, at time.Time, id ident.UpstreamID, kind FailKind) {
	t := m.advanceTo(now)
	u, ok := m.upstreams[id]
	if !ok {
		return
	}
	u.recordFailure(m.sinceEpoch(at), kind)
	if u.failedAt <= u.lastLiveAt() {
		return
	}
	if kind == FailRefused {
		m.reportRefusal(t, u)
	}
	if kind != FailRefused && m.mayReportMissing(t, u) && u.missing.merge(t, u.newestSequence()) {
		u.backOffMissing(t)
		m.disseminate(t, &u.urgentSends)
	}
}

// mayReportMissing reports whether this instance may report an upstream missing
// to others. The fault can be this instance's own, so it may do so only if it
// is in the upstream's zone, where only the zone's own network separates the
// two, only if no other instance has relayed a fresh report, and at growing
// intervals while others keep contradicting it.
func (m *Machine) mayReportMissing(now time.Duration, u *upstream) bool {
	return u.zone == m.self.Zone && now-u.lastLiveAt() >= m.cfg.UpstreamGrace && now >= u.missingAllowedAt
}

// Limits of the time between two reports of this instance that an upstream is
// missing, as long as it has not reached the upstream itself in between.
const (
	missingBackoffMin = 2 * time.Second
	missingBackoffMax = time.Minute
)

// backOffMissing records that this instance reported the upstream missing, and
// doubles the time until it may do so again.
func (u *upstream) backOffMissing(now time.Duration) {
	u.missingBackoff = min(max(2*u.missingBackoff, missingBackoffMin), missingBackoffMax)
	u.missingAllowedAt = now + u.missingBackoff
}

// UpstreamLeaving records that an upstream refused a call because it is
// leaving.
func (m *Machine) UpstreamLeaving(now time.Time, id ident.UpstreamID, inc ident.Incarnation) {
	t := m.advanceTo(now)
	u, ok := m.upstreams[id]
	if !ok || !u.advance(t, inc) {
		return
	}
	if u.markLeaving(true) {
		m.disseminate(t, &u.urgentSends)
	}
}

// UpstreamReport records a load report that this instance read from an upstream
// and that was made at the given time.
func (m *Machine) UpstreamReport(now, measured time.Time, id ident.UpstreamID, r Report) {
	t := m.advanceTo(now)
	u, ok := m.upstreams[id]
	if !ok {
		return
	}
	absent := u.markedAbsent()
	leaving := u.mergeReport(t, r, m.sinceEpoch(measured))
	if leaving || absent && !u.markedAbsent() {
		// The upstream's return is disseminated as well: other zones get no
		// reports of it.
		m.disseminate(t, &u.urgentSends)
	}
}
