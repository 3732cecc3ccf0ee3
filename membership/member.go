package membership

import (
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
	// reported is 1 more than the highest stamp after which a peer says that
	// the entry refused a connection.
	reported Stamp

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
	mark    listMark
	life    life
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

	// Dissemination.
	urgent int
	// told holds, for a partner, the stamps that it knows: the highest that
	// either side told the other.
	told map[recordKey]toldRecord
}

// toldRecord is what a partner knows of an instance.
type toldRecord struct {
	incarnation ident.Incarnation
	stamp       Stamp
	// at is when this instance last told it.
	at time.Duration
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

// record is what one message says of an instance.
type record struct {
	incarnation ident.Incarnation
	leaving     bool
	gone        bool
	refused     bool
	hasStamp    bool
	stamp       Stamp
	age         time.Duration
}

// merge takes in a record. It reports whether a sticky fact is new: a restart or
// a mark. The first incarnation heard of is no news to anyone else.
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
	if r.refused {
		l.reported = max(l.reported, r.stamp+1)
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

// reportedRefused reports whether a peer met a refused connection after the last
// sign of life.
func (l *life) reportedRefused() bool {
	return l.reported > 0 && (!l.clock.known || l.reported > l.clock.stamp)
}

// reachable reports whether the last attempt to reach it succeeded.
func (m *member) reachable() bool { return m.failed <= max(m.answered, m.life.reached) }

// isLeaving reports whether the instance gets no new work.
func (m *member) isLeaving() bool { return m.life.leaving || m.mark.leaving() }

// thresholds are the ages at which an instance is suspect and unreachable.
type thresholds struct {
	suspect     time.Duration
	unreachable time.Duration
	deadGrace   time.Duration
	// remote is true for another zone.
	remote bool
}

// state decides what is believed of the instance.
func (m *member) state(now time.Duration, t thresholds) State {
	l := &m.life
	age := m.age(now)
	switch {
	case l.gone:
		return Dead
	case l.refusedSince(now) && now-l.heard(now) >= t.deadGrace:
		return Dead
	case t.remote && l.reportedRefused():
		return Unreachable
	case age <= t.suspect && !l.reportedRefused():
		return Alive
	case age <= t.unreachable:
		return Suspect
	case m.failKind == FailSilent && !m.reachable():
		return Frozen
	default:
		return Unreachable
	}
}

// listMark is what the platform's lists say of an ID without naming its
// incarnation: the highest index of a list that shows it leaving, and live. An
// older list changes nothing.
type listMark struct {
	leavingIndex uint64
	liveIndex    uint64
}

// leaving reports whether the newest list shows the ID as leaving.
func (m listMark) leaving() bool { return m.leavingIndex > m.liveIndex }
