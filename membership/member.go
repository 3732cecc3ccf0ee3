package membership

import (
	"cmp"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// never marks a local event that did not happen. Times inside the package count
// from the machine's epoch and may be negative for evidence older than it.
const never = time.Duration(-1 << 62)

// FailKind says how an attempt to reach a process failed.
type FailKind int

const (
	// FailTimeout means that nothing answered in time, or the network knew no
	// way.
	FailTimeout FailKind = iota
	// FailRefused means that the remote kernel refused the connection.
	FailRefused
	// FailSilent means that the remote kernel accepted and the process did not
	// answer.
	FailSilent
)

// Process says which process of an instance was tried.
type Process int

const (
	// ProcessAgent is the agent, which exchanges heartbeats.
	ProcessAgent Process = iota
	// ProcessEntry is the entry, whose incarnation the instance has.
	ProcessEntry
)

// life is what is known of one incarnation. All but the local events combine
// irrespective of order.
type life struct {
	incarnation ident.Incarnation
	leaving     bool
	gone        bool
	clock       lifeClock
	// missing is 1 more than the highest stamp after which a peer of its zone
	// says that it gave no sign of life, or refused a connection.
	missing Stamp

	// Local events, since the epoch: when the incarnation became known, when its
	// entry last answered and when it last refused a connection.
	learned time.Duration
	reached time.Duration
	refused time.Duration
}

// newLife returns what is known of an incarnation at first.
func newLife(inc ident.Incarnation, now time.Duration) life {
	return life{incarnation: inc, learned: now, reached: never, refused: never}
}

// member is one instance.
type member struct {
	id   ident.InstanceID
	key  recordKey
	zone ident.Zone
	// address is where its processes are reached; the caller knows which port.
	address string
	seed    bool
	listed  bool
	// marked says that the newest list shows the ID as leaving without naming
	// its incarnation.
	marked bool
	life   life
	// since is when the instance became known, or was last listed.
	since time.Duration

	// answered is when its agent last answered; failed is when a call to either
	// process last failed, and how.
	answered time.Duration
	failed   time.Duration
	failKind FailKind

	// Exchange of heartbeats. digest is the partner's last one.
	digest    uint64
	exchanges uint32
	triedAt   time.Duration
	dueAt     time.Duration
	probeAt   time.Duration
	probeGap  time.Duration

	// Dissemination. toldNews is how many of the new sticky facts had come up when
	// a heartbeat for the partner was last composed.
	urgent   int
	toldNews uint64
	// told holds, for a partner, the stamps that it knows: the highest that
	// either side told the other.
	told map[recordKey]toldRecord
	// reports holds, for a partner, the load reports that it knows.
	reports map[recordKey]toldReport
	// wait is the partner's own interval, as it says.
	wait time.Duration
}

// toldRecord is what a partner knows of an instance.
type toldRecord struct {
	incarnation ident.Incarnation
	stamp       Stamp
	// at is when this instance last told it.
	at time.Duration
}

// toldReport is what a partner knows of an upstream.
type toldReport struct {
	incarnation ident.Incarnation
	// measured is when the report that it knows was made.
	measured time.Duration
	// at is when this instance last told it.
	at time.Duration
}

// toldUpstream notes that the partner was told of an upstream.
func (m *member) toldUpstream(key recordKey, t toldReport) {
	if m.reports == nil {
		m.reports = map[recordKey]toldReport{}
	}
	m.reports[key] = t
}

// knowsReport notes that the partner knows of an upstream's report.
func (m *member) knowsReport(key recordKey, inc ident.Incarnation, measured time.Duration) {
	t := m.reports[key]
	if inc < t.incarnation || inc == t.incarnation && measured <= t.measured {
		return
	}
	m.toldUpstream(key, toldReport{incarnation: inc, measured: measured, at: t.at})
}

// knows notes what the partner knows of an instance.
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

// tell notes that the partner was told of an instance.
func (m *member) tell(key recordKey, t toldRecord) {
	if m.told == nil {
		m.told = map[recordKey]toldRecord{}
	}
	m.told[key] = t
}

// compare orders members by their ID.
func (m *member) compare(id ident.InstanceID) int { return cmp.Compare(m.id, id) }

// record is what one message says of an instance.
type record struct {
	incarnation ident.Incarnation
	leaving     bool
	gone        bool
	missing     bool
	hasStamp    bool
	stamp       Stamp
	age         time.Duration
}

// merge takes in a record. It reports whether there is news to spread: a restart,
// a mark, or that the instance is missing. The first incarnation heard of is no news to anyone else.
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

// heard returns when the last sign of life was given.
func (l *life) heard(now time.Duration) time.Duration {
	t, ok := l.clock.heard(now)
	if !ok {
		return l.reached
	}
	return max(t, l.reached)
}

// age returns the time since the last sign of life, or since the instance
// became known.
func (m *member) age(now time.Duration) time.Duration {
	return now - max(m.life.heard(now), m.since)
}

// refusedSince reports whether the entry refused a connection after its last
// sign of life.
func (l *life) refusedSince(now time.Duration) bool {
	return l.refused > never && l.refused >= l.heard(now)
}

// reportedMissing reports whether a peer misses it since its last sign of life.
func (l *life) reportedMissing() bool {
	return l.missing > 0 && (!l.clock.known || l.missing > l.clock.stamp)
}

// reachable reports whether the last attempt to reach it succeeded.
func (m *member) reachable() bool { return m.failed <= max(m.answered, m.life.reached) }

// isLeaving reports whether the instance gets no new work.
func (m *member) isLeaving() bool { return m.life.leaving || m.marked }

// thresholds are the ages at which an instance is suspect and unreachable.
type thresholds struct {
	suspect     time.Duration
	unreachable time.Duration
	deadGrace   time.Duration
	// remote is true for another zone, which was last heard of, through any of
	// its instances, at zoneHeard.
	remote    bool
	zoneHeard time.Duration
}

// state decides what is believed of the instance.
func (m *member) state(now time.Duration, t thresholds) State {
	l := &m.life
	age := m.age(now)
	if t.remote {
		// Signs of life of a single instance of another zone come seldom; its
		// own zone watches it, and says so when it misses it.
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
