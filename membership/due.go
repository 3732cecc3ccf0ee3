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
	// probeGapMin and probeGapMax bound the time between two probes of one
	// instance, which doubles with each probe.
	probeGapMin = time.Second
	probeGapMax = 30 * time.Second
	// rushGapDivisor sets the minimum time between two unscheduled exchanges
	// with one partner, as a fraction of MinInterval.
	rushGapDivisor = 4
)

// Due returns the actions to take now and counts them as taken.
func (m *Machine) Due(now time.Time) []Due {
	at := m.at(now)
	var out []Due
	for _, id := range m.partners(at) {
		if x := m.members[id]; at >= x.dueAt {
			out = append(out, m.exchange(at, x))
		}
	}
	if at < m.lookAt {
		return out
	}
	m.lookAt = at + m.cfg.MinInterval/rushGapDivisor
	if x := m.heal(at); x != nil {
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
	wait := max(m.interval(), x.wait)
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

// heal returns, at most once every two intervals, the instance not considered
// live whose last attempt is oldest, so that the end of a network partition is
// noticed. It returns nil if no attempt is due.
func (m *Machine) heal(now time.Duration) *member {
	if now < m.healAt {
		return nil
	}
	m.healAt = now + 2*m.interval()
	var oldest *member
	for _, x := range m.roster {
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
	for _, x := range m.roster {
		if len(out) == maxProbes {
			continue
		}
		if !m.doubtful(now, x) {
			x.probeGap = 0
			continue
		}
		if now < x.probeAt {
			continue
		}
		x.probeGap = min(max(2*x.probeGap, probeGapMin), probeGapMax)
		x.probeAt = now + x.probeGap
		out = append(out, Due{Kind: DueProbe, To: x.id, Address: x.address})
	}
	return out
}

// doubtful reports whether a probe could show whether the instance's entry is
// dead.
func (m *Machine) doubtful(now time.Duration, x *member) bool {
	s := x.state(now, m.thresholds(x))
	if s == Dead {
		return false
	}
	agentRefused := x.failKind == FailRefused && !x.reachable()
	return s >= Suspect || agentRefused
}

// rush disseminates a new sticky fact first: the next messages carry it, and
// exchanges with all partners become due at once unless they have only just
// taken place.
func (m *Machine) rush(now time.Duration, urgent *int) {
	*urgent = m.spread()
	m.news++
	m.hurry(now)
}

// hurry makes exchanges with all partners due.
func (m *Machine) hurry(now time.Duration) {
	for _, id := range m.partnership.ids {
		if x, ok := m.members[id]; ok {
			m.hurryTo(now, x)
		}
	}
}

// hurryTo makes an exchange with one partner due, unless one has only just
// taken place.
func (m *Machine) hurryTo(now time.Duration, x *member) {
	gap := m.cfg.MinInterval / rushGapDivisor
	x.dueAt = min(x.dueAt, max(now, x.triedAt+gap))
}

// Told reports whether each partner was sent a heartbeat after the last new
// sticky fact. A process that is about to end has to wait for it: the exchange
// with a partner that was called just before becomes due a moment later.
func (m *Machine) Told(now time.Time) bool {
	for _, id := range m.partners(m.at(now)) {
		if m.members[id].toldNews < m.news {
			return false
		}
	}
	return true
}

// NextDue returns when Due should next be called.
func (m *Machine) NextDue(now time.Time) time.Time {
	at := m.at(now)
	next := m.lookAt
	for _, id := range m.partners(at) {
		next = min(next, m.members[id].dueAt)
	}
	return m.epoch.Add(max(next, at))
}
