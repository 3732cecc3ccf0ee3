package membership

import "time"

// maxRelayAge is the age beyond which evidence of liveness is not relayed.
const maxRelayAge = 60 * time.Second

// window holds the entries with the highest ranks, in descending order, up to
// size.
type window[T any] struct {
	entries []ranked[T]
	size    int
}

// ranked is an entry with its rank.
type ranked[T any] struct {
	rank  time.Duration
	entry T
}

// offer inserts an entry if its rank is among the highest.
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

// Ranks are durations: how far the partner's knowledge lags behind, or how long
// ago something was sent. Weights give some entries precedence.
const (
	// ownZoneWeight is the weight of the own zone's instances where not every
	// pair exchanges heartbeats.
	ownZoneWeight = 4
	// urgentRank is added for new sticky facts.
	urgentRank = 1 << 60
	// neverSent is the lag of a record that was never sent. remoteNeverSent is
	// the lag for an instance of another zone: there are many of those, and
	// whether the zone is live matters more than each of them.
	neverSent       = time.Hour
	remoteNeverSent = 10 * time.Second
)

// packMembers packs the records that the partner is furthest behind on.
func (m *Machine) packMembers(now time.Duration, to *member, size int) []byte {
	w := window[*member]{size: size, entries: make([]ranked[*member], 0, size)}
	for _, x := range m.roster {
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
		out = appendMember(out, keyedRecord{key: x.key, record: m.record(now, x)})
	}
	return out
}

// memberRank returns the rank of an instance's record for a partner, 0 if there
// is nothing to send.
func (m *Machine) memberRank(now time.Duration, to, x *member) time.Duration {
	l := &x.life
	t, ok := to.told[x.key]
	var rank time.Duration
	switch {
	case !ok && x.zone != m.self.Zone:
		rank = remoteNeverSent
	case !ok || t.incarnation < l.incarnation:
		rank = neverSent
	case l.leaving || l.gone || l.reportedMissing() || m.misses(now, x):
		// Facts that stop work are repeated, since an answer may have been
		// lost.
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

// misses reports whether this instance considers an instance of its own zone
// missing: there has been no evidence of liveness for too long and a later
// attempt to reach it failed as well, or its entry has refused a connection
// since.
func (m *Machine) misses(now time.Duration, x *member) bool {
	if x.zone != m.self.Zone {
		return false
	}
	tried := x.failed > x.life.heard(now)
	return x.life.refusedSince(now) || tried && x.state(now, m.thresholds(x)) >= Unreachable
}

// record returns the record of an instance to send.
func (m *Machine) record(now time.Duration, x *member) record {
	l := &x.life
	r := record{
		incarnation: l.incarnation,
		leaving:     l.leaving,
		gone:        l.gone,
		missing:     l.reportedMissing() || m.misses(now, x),
	}
	if at, ok := l.clock.heard(now); ok {
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
	w := window[*upstream]{size: upstreamWindow, entries: make([]ranked[*upstream], 0, upstreamWindow)}
	for _, u := range m.backends {
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
		to.toldUpstream(u.key, toldReport{incarnation: u.incarnation, measured: u.measured, at: now})
		u.urgent = max(u.urgent-1, 0)
		out = d.Append(out)
	}
	return out
}

// upstreamRank returns the rank of an upstream's digest for a partner, 0 if
// there is nothing to send.
func (m *Machine) upstreamRank(now time.Duration, to *member, u *upstream) time.Duration {
	stops := u.leaving || u.refused() || u.missed()
	inZone := to.zone == m.self.Zone && u.zone == m.self.Zone
	if u.urgent == 0 && !stops && !(inZone && u.hasReport) {
		return 0
	}
	t, ok := to.reports[u.key]
	switch {
	case u.urgent > 0:
		return urgentRank + now - t.at
	case stops:
		return min(now-t.at, neverSent)
	case !ok || t.incarnation < u.incarnation:
		return neverSent
	default:
		return u.measured - t.measured
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
		d.Age = now - u.measured
	}
	d.Down = u.down.after > d.Sequence
	d.Missing = u.missing.after > d.Sequence
	return d
}
