package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// MethodHeartbeat is the jsonrpc2 method by which agents exchange heartbeats:
// its parameters and its result are a Heartbeat each.
const MethodHeartbeat = "fleet.heartbeat"

// Heartbeat is the message that one instance sends another. The connection's
// hello identifies the sender.
type Heartbeat struct {
	// Incarnation is the incarnation of the sender's entry, 0 while it has
	// none.
	Incarnation ident.Incarnation `json:"i"`
	// Stamp is the evidence of the entry's liveness, 0 if there is none.
	Stamp   Stamp `json:"t,omitempty"`
	Leaving bool  `json:"l,omitempty"`
	Gone    bool  `json:"g,omitempty"`
	// WaitMS is the sender's interval: two partners exchange heartbeats at the
	// longer of their intervals.
	WaitMS int64 `json:"w,omitempty"`
	// Digest is the digest of the sender's zone; see Machine.Digest.
	Digest uint64 `json:"d"`
	// Members holds packed records of instances; see MemberBytes.
	Members []byte `json:"m,omitempty"`
	// Upstreams holds packed UpstreamDigests.
	Upstreams []byte `json:"u,omitempty"`
}

// maxWait limits the interval that a partner can ask for.
const maxWait = 30 * time.Second

// Numbers of records in one heartbeat.
const (
	memberWindow   = 6
	upstreamWindow = 8
	// resyncWindow is the number of records for a partner of the own zone whose
	// digest differs.
	resyncWindow = 48
)

// Heartbeat returns the heartbeat to send to an instance now.
func (m *Machine) Heartbeat(now time.Time, to ident.InstanceID) Heartbeat {
	at := m.at(now)
	hb := Heartbeat{
		Incarnation: m.state.Incarnation,
		Stamp:       m.stamp(at),
		Leaving:     m.state.Leaving,
		Gone:        m.state.Gone,
		WaitMS:      m.interval().Milliseconds(),
		Digest:      m.Digest(),
	}
	x, ok := m.members[to]
	if !ok {
		return hb
	}
	x.toldNews = m.news
	window := memberWindow
	if x.zone == m.self.Zone && x.digest != 0 && x.digest != hb.Digest {
		window = resyncWindow
	}
	hb.Members = m.packMembers(at, x, window)
	hb.Upstreams = m.packUpstreams(at, x)
	m.noteSize(hb)
	return hb
}

// noteSize updates the moving average of the size of heartbeats.
func (m *Machine) noteSize(hb Heartbeat) {
	packed := len(hb.Members) + len(hb.Upstreams)
	size := float64(heartbeatOverhead + packed*base64Quotient/base64Divisor)
	m.frameBytes += (size - m.frameBytes) / sizeMemory
}

// Size of a heartbeat on the wire besides its packed records, in bytes, and the
// expansion of those by base64; TestHeartbeatBytes measures them.
const (
	heartbeatOverhead = 220
	base64Quotient    = 4
	base64Divisor     = 3
	// sizeMemory is the number of heartbeats over which the size is averaged.
	sizeMemory = 16
)

// Receive processes a heartbeat and returns the answer to it. The error is a
// *BlockError or an *UnknownError, in which case nothing is merged.
func (m *Machine) Receive(now time.Time, from ident.InstanceID, hb Heartbeat) (Heartbeat, error) {
	if err := m.take(now, from, hb); err != nil {
		return Heartbeat{}, err
	}
	m.scheduleNext(m.last, m.members[from])
	return m.Heartbeat(now, from), nil
}

// Answered processes the answer to a heartbeat that was sent at the given time.
// Errors are those of Receive.
func (m *Machine) Answered(now, started time.Time, from ident.InstanceID, hb Heartbeat) error {
	news := m.news
	if err := m.take(now, from, hb); err != nil {
		return err
	}
	x := m.members[from]
	x.answered = max(x.answered, m.when(started))
	m.trust.refreshed(from, m.when(started))
	m.scheduleNext(m.last, x)
	if x.toldNews < news {
		// A fact came up while the heartbeat was in transit.
		m.hurryTo(m.last, x)
		return nil
	}
	// The partner knows the facts that its own answer brought.
	x.toldNews = m.news
	return nil
}

// UnknownError reports a heartbeat from an instance that neither the settings
// nor a recent list names.
type UnknownError struct{ Instance ident.InstanceID }

// Error implements error.
func (e *UnknownError) Error() string { return "heartbeat of unknown instance " + string(e.Instance) }

// take merges the contents of a heartbeat.
func (m *Machine) take(now time.Time, from ident.InstanceID, hb Heartbeat) error {
	at := m.at(now)
	x, ok := m.members[from]
	if !ok {
		return &UnknownError{Instance: from}
	}
	members, err := decodeMembers(hb.Members)
	if err != nil {
		return err
	}
	upstreams, err := decodeUpstreams(hb.Upstreams)
	if err != nil {
		return err
	}
	x.digest = hb.Digest
	x.wait = min(time.Duration(hb.WaitMS)*time.Millisecond, maxWait)
	m.merge(at, x, record{
		incarnation: hb.Incarnation, leaving: hb.Leaving, gone: hb.Gone, hasStamp: hb.Stamp > 0, stamp: hb.Stamp,
	})
	for _, r := range members {
		x.knows(r.key, r.incarnation, r.stamp)
		m.mergeRecord(at, r)
	}
	for _, d := range upstreams {
		if d.HasReport {
			x.knowsReport(recordKey(d.Key), d.Incarnation, at-d.Age)
		}
		m.mergeDigest(at, d)
	}
	return nil
}

// mergeRecord merges a record of an instance that a peer relays. Records of
// this instance itself are not merged, since it alone decides on its
// incarnation and on leaving; they only show whether it is superseded.
func (m *Machine) mergeRecord(now time.Duration, r keyedRecord) {
	if r.key == keyOf(string(m.self.Instance)) {
		m.superseded = m.superseded || r.incarnation > m.state.Incarnation && m.state.Incarnation != 0
		return
	}
	x, ok := m.memberKeys[r.key]
	if !ok {
		return
	}
	m.merge(now, x, r.record)
	l := &x.life
	if r.missing && r.incarnation == l.incarnation && !l.reportedMissing() && x.urgent == 0 {
		// This instance has later evidence of liveness, which whoever reports
		// the instance missing lacks.
		x.urgent = m.spread()
	}
}

// merge merges a record of an instance and disseminates what is new.
func (m *Machine) merge(now time.Duration, x *member, r record) {
	if x.merge(now, r) {
		m.rush(now, &x.urgent)
	}
}

// mergeDigest merges a digest of an upstream that a peer relays.
func (m *Machine) mergeDigest(now time.Duration, d UpstreamDigest) {
	u, ok := m.upKeys[recordKey(d.Key)]
	if !ok || d.Incarnation == 0 {
		return
	}
	absent := u.absent()
	if !u.advance(now, d.Incarnation) {
		return
	}
	news := u.leave(d.Leaving)
	if d.HasReport {
		u.mergeReport(now, d.report(), now-d.Age)
	}
	news = d.Down && u.down.merge(now, d.Sequence) || news
	news = d.Missing && u.missing.merge(now, d.Sequence) || news
	if news || absent && !u.absent() {
		m.rush(now, &u.urgent)
	}
	if d.Missing && !u.absent() && u.urgent == 0 {
		// This instance has a later report, which whoever reports the upstream
		// missing lacks.
		u.urgent = m.spread()
	}
}

// report returns the load report that a digest carries.
func (d UpstreamDigest) report() Report {
	return Report{
		Incarnation: d.Incarnation, Sequence: d.Sequence,
		Running: d.Running, Slots: d.Slots, Waiting: d.Waiting,
		PiecesUsed: d.PiecesUsed, QueuedTokens: d.QueuedTokens,
		Leaving: d.Leaving,
	}
}
