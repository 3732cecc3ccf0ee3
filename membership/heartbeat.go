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
	at := m.advanceTo(now)
	hb := Heartbeat{
		Incarnation: m.selfState.Incarnation,
		Stamp:       m.stamp(at),
		Leaving:     m.selfState.Leaving,
		Gone:        m.selfState.Ended,
		WaitMS:      m.interval().Milliseconds(),
		Digest:      m.Digest(),
	}
	x, ok := m.members[to]
	if !ok {
		return hb
	}
	x.factsSent = m.factCount
	window := memberWindow
	if x.zone == m.self.Zone && x.digest != 0 && x.digest != hb.Digest {
		window = resyncWindow
	}
	hb.Members = m.packMembers(at, x, window)
	hb.Upstreams = m.packUpstreams(at, x)
	m.updateAverageFrameSize(hb)
	return hb
}

// updateAverageFrameSize updates the moving average of the size of heartbeats.
func (m *Machine) updateAverageFrameSize(hb Heartbeat) {
	packed := len(hb.Members) + len(hb.Upstreams)
	size := float64(heartbeatOverhead + packed*base64Numerator/base64Denominator)
	m.averageFrameSize += (size - m.averageFrameSize) / frameSizeWindow
}

// Size of a heartbeat on the wire besides its packed records, in bytes, and the
// expansion of those by base64; TestHeartbeatBytes measures them.
const (
	heartbeatOverhead = 220
	base64Numerator   = 4
	base64Denominator = 3
	// frameSizeWindow is the number of heartbeats over which the size is
	// averaged.
	frameSizeWindow = 16
)

// Receive processes a heartbeat and returns the answer to it. The error is a
// *BlockError or an *UnknownError, in which case nothing is merged.
func (m *Machine) Receive(now time.Time, from ident.InstanceID, hb Heartbeat) (Heartbeat, error) {
	if err := m.mergeHeartbeat(now, from, hb); err != nil {
		return Heartbeat{}, err
	}
	m.scheduleNext(m.last, m.members[from])
	return m.Heartbeat(now, from), nil
}

// HeartbeatAnswered processes the answer to a heartbeat that was sent at the
// given time. Errors are those of Receive.
func (m *Machine) HeartbeatAnswered(now, started time.Time, from ident.InstanceID, hb Heartbeat) error {
	factsBefore := m.factCount
	if err := m.mergeHeartbeat(now, from, hb); err != nil {
		return err
	}
	x := m.members[from]
	x.agentAnsweredAt = max(x.agentAnsweredAt, m.sinceEpoch(started))
	m.trust.recordExchange(from, m.sinceEpoch(started))
	m.scheduleNext(m.last, x)
	if x.factsSent < factsBefore {
		// A fact came up while the heartbeat was in transit.
		m.expedite(m.last, x)
		return nil
	}
	// The partner knows the facts that its own answer brought.
	x.factsSent = m.factCount
	return nil
}

// UnknownError reports a heartbeat from an instance that neither the settings
// nor a recent list names.
type UnknownError struct{ Instance ident.InstanceID }

// Error implements error.
func (e *UnknownError) Error() string { return "heartbeat of unknown instance " + string(e.Instance) }

// mergeHeartbeat merges the contents of a heartbeat.
func (m *Machine) mergeHeartbeat(now time.Time, from ident.InstanceID, hb Heartbeat) error {
	at := m.advanceTo(now)
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
	x.partnerInterval = min(time.Duration(hb.WaitMS)*time.Millisecond, maxWait)
	m.merge(at, x, memberRecord{
		incarnation: hb.Incarnation, leaving: hb.Leaving, ended: hb.Gone, hasStamp: hb.Stamp > 0, stamp: hb.Stamp,
	})
	for _, r := range members {
		x.noteKnownRecord(r.key, r.incarnation, r.stamp)
		m.mergeRecord(at, r)
	}
	for _, d := range upstreams {
		if d.HasReport {
			x.noteKnownReport(recordKey(d.Key), d.Incarnation, at-d.Age)
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
		m.superseded = m.superseded || r.incarnation > m.selfState.Incarnation && m.selfState.Incarnation != 0
		return
	}
	x, ok := m.membersByKey[r.key]
	if !ok {
		return
	}
	m.merge(now, x, r.memberRecord)
	l := &x.facts
	if r.missing && r.incarnation == l.incarnation && !l.reportedMissing() && x.urgentSends == 0 {
		// This instance has later evidence of liveness, which the instance that
		// reports the other one missing lacks.
		x.urgentSends = m.urgentSendCount()
	}
}

// merge merges a record of an instance and disseminates what is new.
func (m *Machine) merge(now time.Duration, x *member, r memberRecord) {
	if x.merge(now, r) {
		m.disseminate(now, &x.urgentSends)
	}
}

// mergeDigest merges a digest of an upstream that a peer relays.
func (m *Machine) mergeDigest(now time.Duration, d UpstreamDigest) {
	u, ok := m.upstreamsByKey[recordKey(d.Key)]
	if !ok || d.Incarnation == 0 {
		return
	}
	absent := u.markedAbsent()
	if !u.advance(now, d.Incarnation) {
		return
	}
	isNew := u.markLeaving(d.Leaving)
	if d.HasReport {
		u.mergeReport(now, d.report(), now-d.Age)
	}
	isNew = d.Down && u.down.merge(now, d.Sequence) || isNew
	isNew = d.Missing && u.missing.merge(now, d.Sequence) || isNew
	if isNew || absent && !u.markedAbsent() {
		m.disseminate(now, &u.urgentSends)
	}
	if d.Missing && !u.markedAbsent() && u.urgentSends == 0 {
		// This instance has a later report, which the instance that reports the
		// upstream missing lacks.
		u.urgentSends = m.urgentSendCount()
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
