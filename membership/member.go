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
	// FailRefused means that the remote kernel refused the connection.
	FailRefused
	// FailSilent means that the remote kernel accepted the connection and the
	// process did not answer.
	FailSilent
)

// Process identifies the process of an instance that was called.
type Process int

const (
	// ProcessAgent is the agent, which exchanges heartbeats.
	ProcessAgent Process = iota
	// ProcessEntry is the entry, whose incarnation is that of the instance.
	ProcessEntry
)

// life holds the facts known about one incarnation. All but the local events
// merge independently of order.
type life struct {
	incarnation ident.Incarnation
	leaving     bool
	gone        bool
	clock       lifeClock
	// missing is 1 more than the highest stamp after which a peer of the
	// instance's zone reports no evidence of liveness, or a refused connection.
	missing Stamp

	// Local events, since the epoch: when the incarnation became known, when
	// its entry last answered and when it last refused a connection.
	learned time.Duration
	reached time.Duration
	refused time.Duration
}

// newLife returns the initial facts about an incarnation.
func newLife(inc ident.Incarnation, now time.Duration) life {
	return life{incarnation: inc, learned: now, reached: never, refused: never}
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
	// marked is true if the newest list shows the ID as leaving without naming
	// its incarnation.
	marked bool
	life   life
	// since is when the instance became known.
	since time.Duration

	// answered is when its agent last answered; failed is when a call to either
	// process last failed, and failKind how.
	answered time.Duration
	failed   time.Duration
	failKind FailKind

	// Heartbeat exchange. digest is the last one received from the partner.
	digest    uint64
	exchanges uint32
	triedAt   time.Duration
	dueAt     time.Duration
	probeAt   time.Duration
	probeGap  time.Duration

	// Dissemination. toldNews is the machine's count of new sticky facts at the
	// time that a heartbeat for the partner was last composed.
	urgent   int
	toldNews uint64
	// told holds, for a partner, the stamps that it knows: the highest that
	// either side has sent the other.
	told map[recordKey]toldRecord
	// reports holds, for a partner, the load reports that it knows.
	reports map[recordKey]toldReport
	// wait is the interval that the partner announces.
	wait time.Duration
}

// toldRecord is what a partner knows about an instance.
type toldRecord struct {
	incarnation ident.Incarnation
	stamp       Stamp
	// at is when this instance last sent it.
	at time.Duration
}

// toldReport is what a partner knows about an upstream.
type toldReport struct {
	incarnation ident.Incarnation
	// measured is when the report that the partner knows was made.
	measured time.Duration
	// at is when this instance last sent it.
	at time.Duration
}

// toldUpstream records what the partner knows about an upstream.
func (m *member) toldUpstream(key recordKey, t toldReport) {
	if m.reports == nil {
		m.reports = map[recordKey]toldReport{}
	}
	m.reports[key] = t
}

// knowsReport records that the partner has an upstream's report.
func (m *member) knowsReport(key recordKey, inc ident.Incarnation, measured time.Duration) {
	t := m.reports[key]
	if inc < t.incarnation || inc == t.incarnation && measured <= t.measured {
		return
	}
	m.toldUpstream(key, toldReport{incarnation: inc, measured: measured, at: t.at})
}

// knows records that the partner has a stamp of an instance.
func (m *member) knows(key recordKey, inc ident.Incarnation, s Stamp) {
	t := m.told[key]
	if inc > t.incarnation {
		t = toldRecord{incarnation: inc, at: t.at}
	}
	if inc == t.incarnation {
		t.stamp = max(t.stamp, s)
	}
	m.tell(key, t)
}

// tell records what the partner knows about an instance.
func (m *member) tell(key recordKey, t toldRecord) {
	if m.told == nil {
		m.told = map[recordKey]toldRecord{}
	}
	m.told[key] = t
}

// compare orders members by ID.
func (m *member) compare(id ident.InstanceID) int { return cmp.Compare(m.id, id) }

// record is what one message states about an instance.
type record struct {
	incarnation ident.Incarnation
	leaving     bool
	gone        bool
	missing     bool
	hasStamp    bool
	stamp       Stamp
	age         time.Duration
}

// merge merges a record. It reports whether there is anything new to
// disseminate: a restart, a mark, or that the instance is missing. The first
// incarnation learned is not new to anyone else.
func (m *member) merge(now time.Duration, r record) bool {
	if r.incarnation == 0 || r.incarnation < m.life.incarnation {
		return false
	}
	old := m.life.incarnation
	if r.incarnation > old {
		m.life = newLife(r.incarnation, now)
	}
	news := old != 0 && r.incarnation > old
	l := &m.life
	news = news || r.leaving && !l.leaving || r.gone && !l.gone
	l.leaving = l.leaving || r.leaving
	l.gone = l.gone || r.gone
	if r.hasStamp {
		l.clock.observe(now, r.stamp, r.age)
	}
	if r.missing && r.stamp+1 > l.missing {
		l.missing = r.stamp + 1
		news = news || l.reportedMissing()
	}
	return news
}

// heard returns the time of the last evidence of liveness.
func (l *life) heard(now time.Duration) time.Duration {
	t, ok := l.clock.heard(now)
	if !ok {
		return l.reached
	}
	return max(t, l.reached)
}

// age returns the time since the last evidence of liveness, or since the
// instance became known.
func (m *member) age(now time.Duration) time.Duration {
	return now - max(m.life.heard(now), m.since)
}

// refusedSince reports whether the entry refused a connection after its last
// evidence of liveness.
func (l *life) refusedSince(now time.Duration) bool {
	return l.refused > never && l.refused >= l.heard(now)
}

// reportedMissing reports whether a peer has reported the instance missing
// since its last evidence of liveness.
func (l *life) reportedMissing() bool {
	return l.missing > 0 && (!l.clock.known || l.missing > l.clock.stamp)
}

// reachable reports whether this instance's last attempt to reach it succeeded.
func (m *member) reachable() bool { return m.failed <= max(m.answered, m.life.reached) }

// isLeaving reports whether the instance gets no new work.
func (m *member) isLeaving() bool { return m.life.leaving || m.marked }

// thresholds holds the ages at which an instance is suspect and unreachable.
type thresholds struct {
	suspect     time.Duration
	unreachable time.Duration
	deadGrace   time.Duration
	// remote is true for an instance of another zone. zoneHeard is the time of
	// the last evidence of liveness from any instance of that zone.
	remote    bool
	zoneHeard time.Duration
}

// state returns the state of the instance.
func (m *member) state(now time.Duration, t thresholds) State {
	l := &m.life
	age := m.age(now)
	if t.remote {
		// Evidence of liveness of a single instance in another zone is rare;
		// its own zone monitors it and reports when it is missing.
		age = min(age, now-t.zoneHeard)
	}
	switch {
	case l.gone:
		return Dead
	case l.refusedSince(now) && now-l.heard(now) >= t.deadGrace:
		return Dead
	case t.remote && l.reportedMissing():
		return Unreachable
	case age <= t.suspect && !l.reportedMissing():
		return Alive
	case age <= t.unreachable:
		return Suspect
	case m.failKind == FailSilent && !m.reachable():
		return Frozen
	default:
		return Unreachable
	}
}
