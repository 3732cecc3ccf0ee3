package membership

import (
	"cmp"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Report is an upstream's report of its own load.
type Report struct {
	// Incarnation is the upstream's, 0 if it doesn't say.
	Incarnation ident.Incarnation
	// Sequence rises with each report of an incarnation.
	Sequence uint32
	// Running and Waiting count requests; Slots is the most that run at once.
	Running int
	Waiting int
	Slots   int
	// PiecesUsed counts KV memory pieces in use.
	PiecesUsed int
	// QueuedTokens is the uncomputed prompt work, in tokens.
	QueuedTokens int
	// Leaving says that the upstream takes no new work. It is only an input:
	// Upstream.Leaving is what is believed.
	Leaving bool
}

// newer reports whether r was made after o.
func (r Report) newer(o Report) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}

// upstream is what is known of one back end.
type upstream struct {
	id      ident.UpstreamID
	key     recordKey
	zone    ident.Zone
	address string
	listed  bool
	since   time.Duration
	// marked says that the newest list shows the ID as leaving without naming
	// its incarnation.
	marked bool

	incarnation ident.Incarnation
	// learned is when the incarnation became known.
	learned time.Duration
	// leaving is sticky for the incarnation.
	leaving bool

	hasReport bool
	report    Report
	// measured is when the report was made; of equal reports the least estimate
	// counts, since delays only make it look later.
	measured time.Duration

	// down says that a connection was refused, here or at a peer; missing that
	// an instance of the upstream's zone got no answer, nor heard of anyone who
	// did.
	down, missing absence
	// missGap and missAt bound how often this instance says so.
	missGap, missAt time.Duration

	// Evidence of this instance's own traffic.
	reached  time.Duration
	failed   time.Duration
	failKind FailKind
	// silentSince is the first failure after the last sign of life.
	silentSince time.Duration

	// Dissemination.
	urgent int
}

// compare orders upstreams by their ID.
func (u *upstream) compare(id ident.UpstreamID) int { return cmp.Compare(u.id, id) }

// renew starts what is known of a new incarnation.
func (u *upstream) renew(now time.Duration, inc ident.Incarnation) {
	u.incarnation, u.learned = inc, now
	u.leaving = false
	u.hasReport, u.report = false, Report{}
	u.down, u.missing = absence{}, absence{}
	u.reached, u.failed = never, never
}

// advance takes in an incarnation. It reports false for an old one. What comes
// without an incarnation is about the one that is known.
func (u *upstream) advance(now time.Duration, inc ident.Incarnation) bool {
	if inc < u.incarnation {
		return inc == 0
	}
	if inc > u.incarnation {
		u.renew(now, inc)
	}
	return true
}

// mergeReport takes in a load report made at the given time. It reports whether
// the upstream is newly leaving.
func (u *upstream) mergeReport(now time.Duration, r Report, measured time.Duration) bool {
	if !u.advance(now, r.Incarnation) {
		return false
	}
	// The mark is kept apart: relayed copies of one report may carry it or not.
	leaving := r.Leaving
	r.Leaving = false
	switch {
	case !u.hasReport || r.newer(u.report):
		u.hasReport, u.report, u.measured = true, r, measured
	case r.Sequence == u.report.Sequence && r.Incarnation == u.report.Incarnation:
		u.measured = min(u.measured, measured)
	}
	return u.leave(leaving)
}

// newest returns the sequence of the newest report, 0 if there is none.
func (u *upstream) newest() uint32 {
	if !u.hasReport {
		return 0
	}
	return u.report.Sequence
}

// refused reports whether a connection was refused after the newest report, and
// nothing of this instance's traffic says otherwise.
func (u *upstream) refused() bool { return u.down.holds(u.newest(), u.reached) }

// missed reports whether its zone misses it since the newest report, and nothing
// of this instance's traffic says otherwise.
func (u *upstream) missed() bool { return u.missing.holds(u.newest(), u.reached) }

// absent reports whether it is marked as refusing or missing since the newest
// report, whatever this instance's own traffic says.
func (u *upstream) absent() bool {
	return u.down.after > u.newest() || u.missing.after > u.newest()
}

// alive returns when the last sign of life was given.
func (u *upstream) alive() time.Duration {
	if u.hasReport {
		return max(u.reached, u.measured)
	}
	return u.reached
}

// leave marks the incarnation as leaving. It reports whether that is new.
func (u *upstream) leave(leaving bool) bool {
	news := leaving && !u.leaving
	u.leaving = u.leaving || leaving
	return news
}

// fail takes in a failure to reach the upstream.
func (u *upstream) fail(at time.Duration, kind FailKind) {
	if at > u.alive() && u.failed <= u.alive() {
		u.silentSince = at
	}
	if at > u.failed || at == u.failed && kind == FailRefused {
		u.failed, u.failKind = at, kind
	}
}

// isLeaving reports whether the upstream gets no new work.
func (u *upstream) isLeaving() bool { return u.leaving || u.marked }

// state decides what is believed of the upstream.
func (u *upstream) state(now time.Duration, fresh time.Duration) State {
	alive := u.alive()
	switch {
	case u.failed > alive:
		return downState(u.failKind)
	case u.refused():
		return Dead
	case u.missed():
		return Unreachable
	case now-alive <= fresh:
		return Alive
	default:
		return Suspect
	}
}

// downState maps the kind of a failure to a state.
func downState(k FailKind) State {
	switch k {
	case FailRefused:
		return Dead
	case FailSilent:
		return Frozen
	default:
		return Unreachable
	}
}
