package membership

import (
	"cmp"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Report is an upstream's report of its own load.
type Report struct {
	// Incarnation is the upstream's incarnation, 0 if the report does not state
	// it.
	Incarnation ident.Incarnation
	// Sequence increases with each report of an incarnation.
	Sequence uint32
	// Running and Waiting count requests; Slots is the maximum that can run at
	// once.
	Running int
	Waiting int
	Slots   int
	// PiecesUsed is the number of KV memory pieces in use.
	PiecesUsed int
	// QueuedTokens is the prompt work not yet computed, in tokens.
	QueuedTokens int
	// Leaving is true if the upstream takes no new work. It is only an input:
	// Upstream.Leaving is the merged result.
	Leaving bool
}

// newer reports whether r was made after o.
func (r Report) newer(o Report) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}

// software is a software version as stated by the platform's list.
type software struct {
	version string
	// incarnation is the incarnation that runs it, 0 if the list does not name it.
	incarnation ident.Incarnation
}

// of returns the software version of an incarnation, "" if it is not known.
func (s software) of(inc ident.Incarnation) string {
	if s.incarnation != 0 && s.incarnation != inc {
		return ""
	}
	return s.version
}

// upstream holds what is known about one upstream.
type upstream struct {
	id       ident.UpstreamID
	key      recordKey
	zone     ident.Zone
	address  string
	listed   bool
	listedAt time.Duration
	// listedLeaving is true if the newest list shows the ID as leaving without
	// naming its incarnation.
	listedLeaving bool

	software    software
	incarnation ident.Incarnation
	// learnedAt is when the incarnation became known.
	learnedAt time.Duration
	// leaving is sticky for the incarnation.
	leaving bool

	hasReport bool
	report    Report
	// measuredAt is when the report was made. For copies of one report the
	// lowest estimate counts, since delays can only make it appear later.
	measuredAt time.Duration

	// down marks that a connection was refused, here or at a peer. missing
	// marks that an instance of the upstream's zone got no answer and had no
	// fresh report through others either.
	down, missing absence
	// missingBackoff and missingAllowedAt limit how often this instance reports
	// the upstream missing.
	missingBackoff, missingAllowedAt time.Duration

	// Evidence from this instance's own traffic.
	reachedAt time.Duration
	failedAt  time.Duration
	failKind  FailKind
	// unresponsiveSince is the first failure after the last evidence of liveness.
	unresponsiveSince time.Duration

	// Dissemination. urgentSends is the number of further messages that carry
	// the upstream's facts ahead of the schedule.
	urgentSends int
}

// compare orders upstreams by ID.
func (u *upstream) compare(id ident.UpstreamID) int { return cmp.Compare(u.id, id) }

// reset resets the facts for a new incarnation.
func (u *upstream) reset(now time.Duration, inc ident.Incarnation) {
	u.incarnation, u.learnedAt = inc, now
	u.leaving = false
	u.hasReport, u.report = false, Report{}
	u.down, u.missing = absence{}, absence{}
	u.reachedAt, u.failedAt = never, never
}

// advance applies an incarnation. It returns false for an old one. Information
// without an incarnation refers to the one that is known.
func (u *upstream) advance(now time.Duration, inc ident.Incarnation) bool {
	if inc < u.incarnation {
		return inc == 0
	}
	if inc > u.incarnation {
		u.reset(now, inc)
	}
	return true
}

// mergeReport merges a load report made at the given time. It reports whether
// the upstream is newly leaving.
func (u *upstream) mergeReport(now time.Duration, r Report, measured time.Duration) bool {
	if !u.advance(now, r.Incarnation) {
		return false
	}
	// The leaving mark is stored separately: relayed copies of one report may
	// or may not carry it.
	leaving := r.Leaving
	r.Leaving = false
	switch {
	case !u.hasReport || r.newer(u.report):
		u.hasReport, u.report, u.measuredAt = true, r, measured
	case r.Sequence == u.report.Sequence && r.Incarnation == u.report.Incarnation:
		u.measuredAt = min(u.measuredAt, measured)
	}
	return u.markLeaving(leaving)
}

// newestSequence returns the sequence of the newest report, 0 if there is none.
func (u *upstream) newestSequence() uint32 {
	if !u.hasReport {
		return 0
	}
	return u.report.Sequence
}

// refused reports whether a connection was refused after the newest report, and
// no later call from this instance has succeeded.
func (u *upstream) refused() bool { return u.down.holds(u.newestSequence(), u.reachedAt) }

// reportedMissing reports whether the upstream's zone has reported it missing
// since the newest report, and no later call from this instance has succeeded.
func (u *upstream) reportedMissing() bool { return u.missing.holds(u.newestSequence(), u.reachedAt) }

// markedAbsent reports whether the upstream is marked as down or missing since
// the newest report, regardless of this instance's own traffic.
func (u *upstream) markedAbsent() bool {
	return u.down.after > u.newestSequence() || u.missing.after > u.newestSequence()
}

// lastLiveAt returns the time of the last evidence of liveness.
func (u *upstream) lastLiveAt() time.Duration {
	if u.hasReport {
		return max(u.reachedAt, u.measuredAt)
	}
	return u.reachedAt
}

// markLeaving marks the incarnation as leaving if leaving is true. It reports
// whether that is new.
func (u *upstream) markLeaving(leaving bool) bool {
	isNew := leaving && !u.leaving
	u.leaving = u.leaving || leaving
	return isNew
}

// recordFailure records a failure to reach the upstream.
func (u *upstream) recordFailure(at time.Duration, kind FailKind) {
	if at > u.lastLiveAt() && u.failedAt <= u.lastLiveAt() {
		u.unresponsiveSince = at
	}
	if at > u.failedAt || at == u.failedAt && kind == FailRefused {
		u.failedAt, u.failKind = at, kind
	}
}

// isLeaving reports whether the upstream gets no new work.
func (u *upstream) isLeaving() bool { return u.leaving || u.listedLeaving }

// state returns the state of the upstream.
func (u *upstream) state(now time.Duration, fresh time.Duration) State {
	alive := u.lastLiveAt()
	switch {
	case u.failedAt > alive:
		return failureState(u.failKind)
	case u.refused():
		return Dead
	case u.reportedMissing():
		return Unreachable
	case now-alive <= fresh:
		return Alive
	default:
		return Suspect
	}
}

// failureState maps the kind of a failure to a state.
func failureState(k FailKind) State {
	switch k {
	case FailRefused:
		return Dead
	case FailNoResponse:
		return Unresponsive
	default:
		return Unreachable
	}
}
