package membership

import "time"

// maxRelayAge is the age beyond which evidence of liveness is not relayed.
const maxRelayAge = 60 * time.Second

// topEntries holds the entries with the highest ranks, in descending order, up
// to size.
type topEntries[T any] struct {
	entries []ranked[T]
	size    int
}

// ranked is an entry with its rank.
type ranked[T any] struct {
	rank  time.Duration
	entry T
}

// offer inserts an entry if its rank is among the highest.
func (w *topEntries[T]) offer(rank time.Duration, entry T) {
	full := len(w.entries) == w.size
	if full && rank <= w.entries[w.size-1].rank {
		return
	}
	if full {
		w.entries = w.entries[:w.size-1]
	}
	at := len(w.entries)
	for at > 0 && w.entries[at-1].rank < rank {
		at--
	}
	w.entries = append(w.entries, ranked[T]{})
	copy(w.entries[at+1:], w.entries[at:])
	w.entries[at] = ranked[T]{rank: rank, entry: entry}
}

// Ranks are durations: how far the partner's knowledge lags behind, or how long
// ago something was sent. Weights give some entries precedence.
const (
	// ownZoneWeight is the weight of the own zone's instances where not every
	// pair exchanges heartbeats.
	ownZoneWeight = 4
	// urgentRank is added for new sticky facts.
	urgentRank = 1 << 60
	// neverSentLag is the lag of a record that was never sent.
	// remoteNeverSentLag is the lag for an instance of another zone: there are
	// many of those, and whether the zone is live matters more than each of
	// them.
	neverSentLag       = time.Hour
	remoteNeverSentLag = 10 * time.Second
)

// packMembers packs the records that the partner is furthest behind on.
func (m *Machine) packMembers(now time.Duration, to *member, size int) []byte {
	w := topEntries[*member]{size: size, entries: make([]ranked[*member], 0, size)}
	for _, x := range m.sortedMembers {
		if x == to || x.facts.incarnation == 0 {
			continue
		}
		if rank := m.memberRank(now, to, x); rank > 0 {
			w.offer(rank, x)
		}
	}
	var out []byte
	for _, e := range w.entries {
		x := e.entry
		x.urgentSends = max(x.urgentSends-1, 0)
		to.setKnownRecord(x.key, knownRecord{incarnation: x.facts.incarnation, stamp: x.facts.clock.stamp, sentAt: now})
		out = appendMember(out, keyedRecord{key: x.key, memberRecord: m.recordOf(now, x)})
	}
	return out
}

// memberRank returns the rank of an instance's record for a partner, 0 if there
// is nothing to send.
func (m *Machine) memberRank(now time.Duration, to, x *member) time.Duration {
	l := &x.facts
	t, ok := to.knownRecords[x.key]
	var rank time.Duration
	switch {
	case !ok && x.zone != m.self.Zone:
		rank = remoteNeverSentLag
	case !ok || t.incarnation < l.incarnation:
		rank = neverSentLag
	case l.leaving || l.ended || l.reportedMissing() || m.considersMissing(now, x):
		// Facts that stop work are repeated, since an answer may have been
		// lost.
		rank = now - t.sentAt
	case now-l.lastLiveAt(now) <= maxRelayAge && l.clock.stamp > t.stamp:
		rank = time.Duration(l.clock.stamp-t.stamp) * stampUnit
	}
	if x.zone == m.self.Zone && m.partnership.sparse {
		rank *= ownZoneWeight
	}
	if x.urgentSends > 0 {
		rank += urgentRank
	}
	return rank
}

// considersMissing reports whether this instance considers an instance of its
// own zone missing: there has been no evidence of liveness for too long and a
// later attempt to reach it failed as well, or its entry has refused a
// connection since.
func (m *Machine) considersMissing(now time.Duration, x *member) bool {
	if x.zone != m.self.Zone {
		return false
	}
	tried := x.failedAt > x.facts.lastLiveAt(now)
	return x.facts.refusedSince(now) || tried && x.state(now, m.thresholds(x)) >= Unreachable
}

// recordOf returns the record of an instance to send.
func (m *Machine) recordOf(now time.Duration, x *member) memberRecord {
	l := &x.facts
	r := memberRecord{
		incarnation: l.incarnation,
		leaving:     l.leaving,
		ended:       l.ended,
		missing:     l.reportedMissing() || m.considersMissing(now, x),
	}
	if at, ok := l.clock.latestAt(now); ok {
		// A packed age saturates slightly above maxRelayAge, so that an older
		// stamp would appear more recent than it is.
		r.hasStamp = now-at <= maxRelayAge
		r.stamp, r.age = l.clock.stamp, now-at
	}
	return r
}

// packUpstreams packs the digests that the partner is furthest behind on, new
// facts first. Load reports stay within a zone; that an upstream gets no work
// is sent to all zones.
func (m *Machine) packUpstreams(now time.Duration, to *member) []byte {
	w := topEntries[*upstream]{size: upstreamWindow, entries: make([]ranked[*upstream], 0, upstreamWindow)}
	for _, u := range m.sortedUpstreams {
		if u.incarnation == 0 {
			continue
		}
		if rank := m.upstreamRank(now, to, u); rank > 0 {
			w.offer(rank, u)
		}
	}
	var out []byte
	for _, e := range w.entries {
		u := e.entry
		d := u.digest(now)
		to.setKnownReport(u.key, knownReport{incarnation: u.incarnation, measuredAt: u.measuredAt, sentAt: now})
		u.urgentSends = max(u.urgentSends-1, 0)
		out = d.Append(out)
	}
	return out
}

// upstreamRank returns the rank of an upstream's digest for a partner, 0 if
// there is nothing to send.
func (m *Machine) upstreamRank(now time.Duration, to *member, u *upstream) time.Duration {
	stops := u.leaving || u.refused() || u.reportedMissing()
	inZone := to.zone == m.self.Zone && u.zone == m.self.Zone
	if u.urgentSends == 0 && !stops && !(inZone && u.hasReport) {
		return 0
	}
	t, ok := to.knownReports[u.key]
	switch {
	case u.urgentSends > 0:
		return urgentRank + now - t.sentAt
	case stops:
		return min(now-t.sentAt, neverSentLag)
	case !ok || t.incarnation < u.incarnation:
		return neverSentLag
	default:
		return u.measuredAt - t.measuredAt
	}
}

// digest returns the compact form of what is known about the upstream.
func (u *upstream) digest(now time.Duration) UpstreamDigest {
	d := UpstreamDigest{
		Key:         uint64(u.key),
		Incarnation: u.incarnation,
		Leaving:     u.leaving,
	}
	if u.hasReport {
		r := u.report
		d.HasReport, d.Sequence = true, r.Sequence
		d.Running, d.Slots, d.Waiting = r.Running, r.Slots, r.Waiting
		d.PiecesUsed, d.QueuedTokens = r.PiecesUsed, r.QueuedTokens
		d.Age = now - u.measuredAt
	}
	d.Down = u.down.after > d.Sequence
	d.Missing = u.missing.after > d.Sequence
	return d
}
