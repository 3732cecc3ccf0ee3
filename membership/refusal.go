package membership

import (
	"slices"
	"time"
)

// refusalConfirmWindow is the longest time between a refused connection and an answer of another
// upstream for the answer to show that this instance's network path was not the cause.
const refusalConfirmWindow = 2 * time.Second

// reportRefusal reports to the other instances that an upstream refused a connection, once another
// upstream has answered since. An instance whose own path refuses everything would report all
// upstreams as down otherwise. With no other upstream to compare with, it reports at once.
func (m *Machine) reportRefusal(now time.Duration, u *upstream) {
	if !m.hasOtherUpstream(u) {
		m.reportDown(now, u)
		return
	}
	if !slices.Contains(m.refusals, u) {
		m.refusals = append(m.refusals, u)
	}
	for _, o := range m.sortedUpstreams {
		if o != u && o.reachedAt >= u.failedAt {
			m.confirmRefusals(now, o)
			return
		}
	}
}

// hasOtherUpstream reports whether any other upstream is listed.
func (m *Machine) hasOtherUpstream(u *upstream) bool {
	return slices.ContainsFunc(m.sortedUpstreams, func(o *upstream) bool { return o != u && o.listed })
}

// confirmRefusals reports the upstreams that refused a connection shortly before the answer of
// another one, and drops the refusals that were not confirmed in time.
func (m *Machine) confirmRefusals(now time.Duration, answered *upstream) {
	m.refusals = slices.DeleteFunc(m.refusals, func(u *upstream) bool {
		if u.failKind != FailRefused || u.failedAt <= u.lastLiveAt() || answered.reachedAt-u.failedAt > refusalConfirmWindow {
			return true
		}
		if u == answered || answered.reachedAt < u.failedAt {
			return false
		}
		m.reportDown(now, u)
		return true
	})
}

// reportDown disseminates that an upstream refuses connections.
func (m *Machine) reportDown(now time.Duration, u *upstream) {
	if u.down.merge(now, u.newestSequence()) {
		m.disseminate(now, &u.urgentSends)
	}
}
