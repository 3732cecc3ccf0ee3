package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// DueKind is the kind of an action that is due.
type DueKind int

const (
	// DueHeartbeat asks for an exchange of heartbeats with an instance's agent.
	DueHeartbeat DueKind = iota
	// DueProbe asks for a connection to an instance's entry, to find out
	// whether the process exists. The outcome is passed to PeerAnswered, or to
	// PeerFailed with ProcessEntry.
	DueProbe
)

// Due is an action to take now.
type Due struct {
	Kind    DueKind
	To      ident.InstanceID
	Address string
}

// Limits of the actions that are due.
const (
	// maxProbes limits the probes returned by one call of Due.
	maxProbes = 4
	// probeBackoffMin and probeBackoffMax bound the time between two probes of
	// one instance, which doubles with each probe.
	probeBackoffMin = time.Second
	probeBackoffMax = 30 * time.Second
	// expediteGapDivisor sets the minimum time between two unscheduled
	// exchanges with one partner, as a fraction of MinInterval.
	expediteGapDivisor = 4
)

// Due returns the actions to take now and counts them as taken.
func (m *Machine) Due(now time.Time) []Due {
	at := m.advanceTo(now)
	var out []Due
	for _, id := range m.partners(at) {
		if x := m.members[id]; at >= x.dueAt {
			out = append(out, m.exchange(at, x))
		}
	}
	if at < m.nextScanAt {
		return out
	}
	m.nextScanAt = at + m.cfg.MinInterval/expediteGapDivisor
	if x := m.reconnectCandidate(at); x != nil {
		out = append(out, m.exchange(at, x))
	}
	return append(out, m.probes(at)...)
}

// exchange returns an exchange that is due now and schedules the next one.
func (m *Machine) exchange(now time.Duration, x *member) Due {
	x.triedAt = now
	m.scheduleNext(now, x)
	return Due{Kind: DueHeartbeat, To: x.id, Address: x.address}
}

// scheduleNext schedules the next exchange: after one interval, or after two if
// the other side should initiate it. Jitter of a tenth either way spreads the
// exchanges.
func (m *Machine) scheduleNext(now time.Duration, x *member) {
	wait := max(m.interval(), x.partnerInterval)
	if !m.initiates(x.id) {
		wait *= 2
	}
	x.exchanges++
	x.dueAt = now + wait*9/10 + jitter(x.key, x.exchanges, wait/5)
}

// jitter returns a duration below limit that depends only on its arguments.
func jitter(key recordKey, count uint32, limit time.Duration) time.Duration {
	var b [12]byte
	for i := range 8 {
		b[i] = byte(key >> (8 * i))
	}
	for i := range 4 {
		b[8+i] = byte(count >> (8 * i))
	}
	return time.Duration(xxhash.Sum64(b[:]) % uint64(max(limit, 1)))
}

// reconnectCandidate returns, at most once every two intervals, the instance
// not considered live whose last attempt is oldest, so that the end of a
// network partition is noticed. It returns nil if no attempt is due.
func (m *Machine) reconnectCandidate(now time.Duration) *member {
	if now < m.nextReconnectAt {
		return nil
	}
	m.nextReconnectAt = now + 2*m.interval()
	var oldest *member
	for _, x := range m.sortedMembers {
		if x.state(now, m.thresholds(x)) <= Suspect {
			continue
		}
		if oldest == nil || x.triedAt < oldest.triedAt {
			oldest = x
		}
	}
	return oldest
}

// probes returns probes of the instances whose entry may have ended, including
// those in other zones: the reservations that a dead instance held on engines
// here are released here, and no one else can report a zone whose peers all
// died. maxProbes limits the cost of a network partition.
func (m *Machine) probes(now time.Duration) []Due {
	var out []Due
	for _, x := range m.sortedMembers {
		if len(out) == maxProbes {
			continue
		}
		if !m.needsProbe(now, x) {
			x.probeBackoff = 0
			continue
		}
		if now < x.probeAt {
			continue
		}
		x.probeBackoff = min(max(2*x.probeBackoff, probeBackoffMin), probeBackoffMax)
		x.probeAt = now + x.probeBackoff
		out = append(out, Due{Kind: DueProbe, To: x.id, Address: x.address})
	}
	return out
}

// needsProbe reports whether a probe could show whether the instance's entry is
// dead.
func (m *Machine) needsProbe(now time.Duration, x *member) bool {
	s := x.state(now, m.thresholds(x))
	if s == Dead {
		return false
	}
	agentRefused := x.failKind == FailRefused && !x.reachable()
	return s >= Suspect || agentRefused
}

// disseminate sends a new sticky fact first: the next messages carry it, and
// exchanges with all partners become due at once unless they have only just
// taken place.
func (m *Machine) disseminate(now time.Duration, urgent *int) {
	*urgent = m.urgentSendCount()
	m.factCount++
	m.expediteAll(now)
}

// expediteAll makes exchanges with all partners due.
func (m *Machine) expediteAll(now time.Duration) {
	for _, id := range m.partnership.ids {
		if x, ok := m.members[id]; ok {
			m.expedite(now, x)
		}
	}
}

// expedite makes an exchange with one partner due, unless one has only just
// taken place.
func (m *Machine) expedite(now time.Duration, x *member) {
	gap := m.cfg.MinInterval / expediteGapDivisor
	x.dueAt = min(x.dueAt, max(now, x.triedAt+gap))
}

// AllPartnersNotified reports whether each partner was sent a heartbeat after
// the last new sticky fact. A process that is about to end has to wait until it
// returns true: the exchange with a partner that was called just before becomes
// due a moment later.
func (m *Machine) AllPartnersNotified(now time.Time) bool {
	for _, id := range m.partners(m.advanceTo(now)) {
		if m.members[id].factsSent < m.factCount {
			return false
		}
	}
	return true
}

// NextDue returns when Due should next be called.
func (m *Machine) NextDue(now time.Time) time.Time {
	at := m.advanceTo(now)
	next := m.nextScanAt
	for _, id := range m.partners(at) {
		next = min(next, m.members[id].dueAt)
	}
	return m.epoch.Add(max(next, at))
}
