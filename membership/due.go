package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// DueKind says what to do.
type DueKind int

const (
	// DueHeartbeat asks for an exchange of heartbeats with an instance's agent.
	DueHeartbeat DueKind = iota
	// DueProbe asks for a connection to an instance's entry, to learn whether
	// the process exists. Its outcome goes to PeerAnswered or PeerFailed with
	// ProcessEntry.
	DueProbe
)

// Due is something to send now.
type Due struct {
	Kind    DueKind
	To      ident.InstanceID
	Address string
}

// Bounds on what is due.
const (
	// maxProbes bounds the probes of one Due.
	maxProbes = 4
	// probeGapMin and probeGapMax bound the time between two probes of one
	// instance, which doubles.
	probeGapMin = time.Second
	probeGapMax = 30 * time.Second
	// rushGapDivisor makes the least time between two unscheduled exchanges
	// with one partner a part of MinInterval.
	rushGapDivisor = 4
)

// Due returns what to send now and counts it as sent.
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

// exchange makes an exchange due now and schedules the next.
func (m *Machine) exchange(now time.Duration, x *member) Due {
	x.triedAt = now
	m.scheduleNext(now, x)
	return Due{Kind: DueHeartbeat, To: x.id, Address: x.address}
}

// scheduleNext schedules the next exchange: after an interval, or two where the
// other side should come first. A tenth of jitter either way keeps exchanges
// apart.
func (m *Machine) scheduleNext(now time.Duration, x *member) {
	wait := max(m.interval(), x.wait)
	if !m.initiates(x.id) {
		wait *= 2
	}
	x.exchanges++
	x.dueAt = now + wait*9/10 + jitter(x.key, x.exchanges, wait/5)
}

// jitter returns a time below limit that depends on its arguments only.
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

// heal picks an instance that is not believed to live, now and then, so that
// cuts that have ended are noticed: the one that was tried longest ago.
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

// probes returns the instances whose entry may have ended, other zones' too:
// what a dead one held on engines here is released here, and a zone whose peers
// all died has nobody else to say so. maxProbes bounds what a cut costs.
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

// doubtful reports whether a probe could tell whether the instance's entry is
// dead.
func (m *Machine) doubtful(now time.Duration, x *member) bool {
	s := x.state(now, m.thresholds(x))
	if s == Dead {
		return false
	}
	agentRefused := x.failKind == FailRefused && !x.reachable()
	return s >= Suspect || agentRefused
}

// rush gives a new sticky fact precedence: it travels in the next messages, and
// exchanges with all partners are due at once, unless they just were.
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

// hurryTo makes an exchange with one partner due, unless one just was.
func (m *Machine) hurryTo(now time.Duration, x *member) {
	gap := m.cfg.MinInterval / rushGapDivisor
	x.dueAt = min(x.dueAt, max(now, x.triedAt+gap))
}

// Told reports whether each partner was sent a heartbeat since the last new
// sticky fact. A process that ends has to wait for it: the exchange with a partner
// that was called just before is due a moment later.
func (m *Machine) Told(now time.Time) bool {
	for _, id := range m.partners(m.at(now)) {
		if m.members[id].toldNews < m.news {
			return false
		}
	}
	return true
}

// NextDue returns when Due is worth calling again.
func (m *Machine) NextDue(now time.Time) time.Time {
	at := m.at(now)
	next := m.lookAt
	for _, id := range m.partners(at) {
		next = min(next, m.members[id].dueAt)
	}
	return m.epoch.Add(max(next, at))
}
