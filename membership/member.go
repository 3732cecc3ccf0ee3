package membership

import (
	"cmp"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// never is the time of a local event that has not happened. Times inside the
// package count from the machine's epoch and may be negative for evidence older
// than it.
const never = time.Duration(-1 << 62)

// FailKind is the way in which an attempt to reach a process failed.
type FailKind int

const (
	// FailTimeout means that nothing answered in time, or that there was no
	// network route.
	FailTimeout FailKind = iota
	// FailRefused means that the remote host refused the connection.
	FailRefused
	// FailNoResponse means that the remote operating system accepted the
	// connection and the process did not answer.
	FailNoResponse
)

// Process identifies the process of an instance that was called.
type Process int

const (
	// ProcessAgent is the agent, which exchanges heartbeats.
	ProcessAgent Process = iota
	// ProcessEntry is the entry, whose incarnation is that of the instance.
	ProcessEntry
)

// incarnationFacts holds the facts known about one incarnation. All but the
// local events merge independently of order.
type incarnationFacts struct {
	incarnation ident.Incarnation
	leaving     bool
	ended       bool
	clock       livenessClock
	// missingAfter is 1 more than the highest stamp after which a peer of the
	// instance's zone reports no evidence of liveness, or a refused connection.
	missingAfter Stamp

	// Local events, since the epoch: when the incarnation became known, when
	// its entry last answered and when it last refused a connection.
	learnedAt time.Duration
	reachedAt time.Duration
	refusedAt time.Duration
}

// newIncarnationFacts returns the initial facts about an incarnation.
func newIncarnationFacts(inc ident.Incarnation, now time.Duration) incarnationFacts {
	return incarnationFacts{incarnation: inc, learnedAt: now, reachedAt: never, refusedAt: never}
}

// member is one instance.
type member struct {
	id   ident.InstanceID
	key  recordKey
	zone ident.Zone
	// address is the host of its processes; the caller knows the ports.
	address string
	seed    bool
	listed  bool
	// listedLeaving is true if the newest list shows the ID as leaving without
	// naming its incarnation.
	listedLeaving bool
	facts         incarnationFacts
	// knownSince is when the instance became known.
	knownSince time.Duration

	// agentAnsweredAt is when its agent last answered. failedAt is when a call
	// to either process last failed, and failKind the kind of that failure.
	agentAnsweredAt time.Duration
	failedAt        time.Duration
	failKind        FailKind

	// Heartbeat exchange. digest is the last one received from the partner.
	digest       uint64
	exchanges    uint32
	triedAt      time.Duration
	dueAt        time.Duration
	probeAt      time.Duration
	probeBackoff time.Duration

	// Dissemination. factsSent is the machine's count of new sticky facts at the
	// time that a heartbeat for the partner was last composed.
	urgentSends int
	factsSent   uint64
	// knownRecords holds, for a partner, the stamps that it knows: the highest
	// that either side has sent the other.
	knownRecords map[recordKey]knownRecord
	// knownReports holds, for a partner, the load reports that it knows.
	knownReports map[recordKey]knownReport
	// partnerInterval is the interval that the partner announces.
	partnerInterval time.Duration
}

// knownRecord is what a partner knows about an instance.
type knownRecord struct {
	incarnation ident.Incarnation
	stamp       Stamp
	// sentAt is when this instance last sent it.
	sentAt time.Duration
}

// knownReport is what a partner knows about an upstream.
type knownReport struct {
	incarnation ident.Incarnation
	// measuredAt is when the report that the partner knows was made.
	measuredAt time.Duration
	// sentAt is when this instance last sent it.
	sentAt time.Duration
}

// setKnownReport records what the partner knows about an upstream.
func (m *member) setKnownReport(key recordKey, t knownReport) {
	if m.knownReports == nil {
		m.knownReports = map[recordKey]knownReport{}
	}
	m.knownReports[key] = t
}

// noteKnownReport records that the partner has an upstream's report.
func (m *member) noteKnownReport(key recordKey, inc ident.Incarnation, measured time.Duration) {
	t := m.knownReports[key]
	if inc < t.incarnation || inc == t.incarnation && measured <= t.measuredAt {
		return
	}
	m.setKnownReport(key, knownReport{incarnation: inc, measuredAt: measured, sentAt: t.sentAt})
}

// noteKnownRecord records that the partner has a stamp of an instance.
func (m *member) noteKnownRecord(key recordKey, inc ident.Incarnation, s Stamp) {
	t := m.knownRecords[key]
	if inc > t.incarnation {
		t = knownRecord{incarnation: inc, sentAt: t.sentAt}
	}
	if inc == t.incarnation {
		t.stamp = max(t.stamp, s)
	}
	m.setKnownRecord(key, t)
}

// setKnownRecord records what the partner knows about an instance.
func (m *member) setKnownRecord(key recordKey, t knownRecord) {
	if m.knownRecords == nil {
		m.knownRecords = map[recordKey]knownRecord{}
	}
	m.knownRecords[key] = t
}

// compare orders members by ID.
func (m *member) compare(id ident.InstanceID) int { return cmp.Compare(m.id, id) }

// memberRecord is what one message states about an instance.
type memberRecord struct {
	incarnation ident.Incarnation
	leaving     bool
	ended       bool
	missing     bool
	hasStamp    bool
	stamp       Stamp
	age         time.Duration
}

// merge merges a record. It reports whether there is anything new to
// disseminate: a restart, a mark, or that the instance is missing. The first
// incarnation learned is not new to anyone else.
func (m *member) merge(now time.Duration, r memberRecord) bool {
	if r.incarnation == 0 || r.incarnation < m.facts.incarnation {
		return false
	}
	old := m.facts.incarnation
	if r.incarnation > old {
		m.facts = newIncarnationFacts(r.incarnation, now)
	}
	isNew := old != 0 && r.incarnation > old
	l := &m.facts
	isNew = isNew || r.leaving && !l.leaving || r.ended && !l.ended
	l.leaving = l.leaving || r.leaving
	l.ended = l.ended || r.ended
	if r.hasStamp {
		l.clock.observe(now, r.stamp, r.age)
	}
	if r.missing && r.stamp+1 > l.missingAfter {
		l.missingAfter = r.stamp + 1
		isNew = isNew || l.reportedMissing()
	}
	return isNew
}

// lastLiveAt returns the time of the last evidence of liveness.
func (l *incarnationFacts) lastLiveAt(now time.Duration) time.Duration {
	t, ok := l.clock.latestAt(now)
	if !ok {
		return l.reachedAt
	}
	return max(t, l.reachedAt)
}

// age returns the time since the last evidence of liveness, or since the
// instance became known.
func (m *member) age(now time.Duration) time.Duration {
	return now - max(m.facts.lastLiveAt(now), m.knownSince)
}

// refusedSince reports whether the entry refused a connection after its last
// evidence of liveness.
func (l *incarnationFacts) refusedSince(now time.Duration) bool {
	return l.refusedAt > never && l.refusedAt >= l.lastLiveAt(now)
}

// reportedMissing reports whether a peer has reported the instance missing
// since its last evidence of liveness.
func (l *incarnationFacts) reportedMissing() bool {
	return l.missingAfter > 0 && (!l.clock.known || l.missingAfter > l.clock.stamp)
}

// reachable reports whether this instance's last attempt to reach it succeeded.
func (m *member) reachable() bool { return m.failedAt <= max(m.agentAnsweredAt, m.facts.reachedAt) }

// isLeaving reports whether the instance gets no new work.
func (m *member) isLeaving() bool { return m.facts.leaving || m.listedLeaving }

// thresholds holds the ages at which an instance is suspect and unreachable.
type thresholds struct {
	suspect     time.Duration
	unreachable time.Duration
	deadGrace   time.Duration
	// remote is true for an instance of another zone. zoneLastLiveAt is the
	// time of the last evidence of liveness from any instance of that zone.
	remote         bool
	zoneLastLiveAt time.Duration
}

// state returns the state of the instance.
func (m *member) state(now time.Duration, t thresholds) State {
	l := &m.facts
	age := m.age(now)
	if t.remote {
		// Evidence of liveness of a single instance in another zone is rare;
		// its own zone monitors it and reports when it is missing.
		age = min(age, now-t.zoneLastLiveAt)
	}
	switch {
	case l.ended:
		return Dead
	case l.refusedSince(now) && now-l.lastLiveAt(now) >= t.deadGrace:
		return Dead
	case t.remote && l.reportedMissing():
		return Unreachable
	case age <= t.suspect && !l.reportedMissing():
		return Alive
	case age <= t.unreachable:
		return Suspect
	case m.failKind == FailNoResponse && !m.reachable():
		return Unresponsive
	default:
		return Unreachable
	}
}
