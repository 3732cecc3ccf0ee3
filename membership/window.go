package membership

import "time"

// maxRelayAge is the age beyond which a sign of life is no news.
const maxRelayAge = 60 * time.Second

// window keeps the few entries with the highest rank, in order.
type window[T any] struct {
	entries []ranked[T]
	size    int
}

// ranked is an entry and its rank.
type ranked[T any] struct {
	rank  time.Duration
	entry T
}

// offer puts an entry in if it ranks among the first.
func (w *window[T]) offer(rank time.Duration, entry T) {
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

// Ranks are times: how far the partner's knowledge lags behind, or how long ago
// something was told. Weights make some count for more.
const (
	// ownZoneWeight is the weight of the own zone's instances where they don't
	// all hear each other directly.
	ownZoneWeight = 4
	// urgentRank is added for new sticky facts.
	urgentRank = 1 << 60
	// neverSent is the lag of what was never told.
	neverSent = time.Hour
)

// sinceSent returns the time since something was sent.
func sinceSent(now, sentAt time.Duration) time.Duration {
	if sentAt == never {
		return neverSent
	}
	return min(now-sentAt, neverSent)
}

// packMembers packs the records that the partner lacks most.
func (m *Machine) packMembers(now time.Duration, to *member, size int) []byte {
	w := window[*member]{size: size, entries: make([]ranked[*member], 0, size)}
	for _, x := range m.members {
		if x == to || x.life.incarnation == 0 {
			continue
		}
		if rank := m.memberRank(now, to, x); rank > 0 {
			w.offer(rank, x)
		}
	}
	var out []byte
	for _, e := range w.entries {
		x := e.entry
		x.urgent = max(x.urgent-1, 0)
		to.tell(x.key, toldRecord{incarnation: x.life.incarnation, stamp: x.life.clock.stamp, at: now})
		out = appendMember(out, keyedRecord{key: x.key, record: x.record(now)})
	}
	return out
}

// memberRank ranks the record of an instance for a partner, 0 if there is
// nothing to tell.
func (m *Machine) memberRank(now time.Duration, to, x *member) time.Duration {
	l := &x.life
	t, ok := to.told[x.key]
	var rank time.Duration
	switch {
	case !ok || t.incarnation < l.incarnation:
		rank = neverSent
	case l.leaving || l.gone || l.reportedRefused() || l.refusedSince(now):
		// What stops work is repeated: an answer may have been lost.
		rank = now - t.at
	case now-l.heard(now) <= maxRelayAge && l.clock.stamp > t.stamp:
		rank = time.Duration(l.clock.stamp-t.stamp) * stampUnit
	}
	if x.zone == m.self.Zone && m.partnership.sparse {
		rank *= ownZoneWeight
	}
	if x.urgent > 0 {
		rank += urgentRank
	}
	return rank
}

// record returns what to tell of the instance.
func (x *member) record(now time.Duration) record {
	l := &x.life
	r := record{
		incarnation: l.incarnation,
		leaving:     l.leaving,
		gone:        l.gone,
		refused:     l.reportedRefused() || l.refusedSince(now),
	}
	if at, ok := l.clock.heard(now); ok {
		// A packed age ends at maxRelayAge and a little; an older stamp would
		// look fresher than it is.
		r.hasStamp = now-at <= maxRelayAge
		r.stamp, r.age = l.clock.stamp, now-at
	}
	return r
}

// packUpstreams packs the digests that are most due: new facts first, then those
// that say more than when last sent, longest ago first. Load reports stay inside
// a zone; that an upstream gets no work is for everyone.
func (m *Machine) packUpstreams(now time.Duration, ownZone bool) []byte {
	w := window[*upstream]{size: upstreamWindow, entries: make([]ranked[*upstream], 0, upstreamWindow)}
	for _, u := range m.upstreams {
		if u.incarnation == 0 {
			continue
		}
		rank := sinceSent(now, u.sentAt)
		switch {
		case u.urgent > 0:
			w.offer(rank+urgentRank, u)
		case u.leaving || u.refused():
			w.offer(rank, u)
		case ownZone && u.zone == m.self.Zone && u.unsent():
			w.offer(rank, u)
		}
	}
	var out []byte
	for _, e := range w.entries {
		u := e.entry
		d := u.digest(now)
		u.sentAt, u.sentSeq = now, d.Sequence
		u.urgent = max(u.urgent-1, 0)
		out = d.Append(out)
	}
	return out
}

// unsent reports whether there is a report newer than the one last sent.
func (u *upstream) unsent() bool {
	return u.hasReport && (u.sentAt == never || u.report.Sequence != u.sentSeq)
}

// digest returns the compact form of what is known of the upstream.
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
		d.Age = now - u.measured
	}
	if u.down > d.Sequence {
		d.Down = true
	}
	return d
}
