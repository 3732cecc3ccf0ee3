package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// Failure is the way in which a request to an upstream failed.
type Failure int

// The kinds of failures that reflect on the upstream.
const (
	// Soft failures are responses: an error of the upstream itself, or a rejection.
	Soft Failure = iota + 1
	// Hard failures are connection resets, time-outs and invalid responses.
	Hard
	// Unreachable upstreams refuse connections or do not answer them.
	Unreachable
	// Misdirected requests reached another incarnation, or an engine of another stage.
	Misdirected
	// Closed upstreams refuse connections, since nothing listens on their address.
	Closed
)

// stallTimeout is how long an engine with running streams may send no event before it gets no
// more requests. Events normally arrive every 40 to 70 ms. A working engine exceeds this time
// only while it preempts requests to free memory, which pauses its streams for 300 to 600 ms.
const stallTimeout = 400 * time.Millisecond

// RecordSuccess records a successful response and its latency. It ends any ejection.
func (b *Scheduler) RecordSuccess(now time.Time, u dialect.Upstream, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.recordOf(u)
	rec.success += successWeight * (1 - rec.success)
	rec.failures, rec.ejections = 0, 0
	rec.ejectedUntil = time.Time{}
	rec.clearDown()
	b.markSeen(now, rec)
	if rec.latency == 0 {
		rec.latency = latency
	}
	rec.latency += time.Duration(latencyWeight * float64(latency-rec.latency))
}

// markSeen records that a message arrived from an upstream. It clears the suspicion that the
// upstream's zone is unreachable. The caller holds mu.
func (b *Scheduler) markSeen(now time.Time, rec *upstreamRecord) {
	rec.lastSeen = now
	delete(b.suspicions, rec.up.Zone)
}

// RecordContact records that an engine answered a call that the gateway made on its own behalf.
func (b *Scheduler) RecordContact(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.markSeen(now, b.recordOf(u))
}

// RecordReplacement records that the upstream's address is now used by another incarnation. The
// upstream no longer exists and gets no more requests, although the store may still list it for a
// while.
func (b *Scheduler) RecordReplacement(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordOf(u).replaced = true
}

// knownDown reports whether the upstream's address has shown that the upstream does not serve
// now: another incarnation answered, or it refused a connection while others accepted them. This
// is reported to peers, so that each of them need not lose a request there. Time-outs, and
// refusals by all upstreams, may be caused by the network path and are not reported. The caller
// holds mu.
func (rec *upstreamRecord) knownDown(now time.Time) bool {
	return rec.downConfirmed && rec.state(now) != stateHealthy
}

// recordDown records whether a failure shows that the upstream does not serve now. The caller holds
// mu.
func (rec *upstreamRecord) recordDown(now time.Time, f Failure) {
	switch {
	case f == Misdirected:
		rec.downConfirmed = true
	case f != Closed:
		rec.clearDown()
	case !rec.downConfirmed:
		rec.refusedAt = now
	}
}

// clearDown drops the evidence that the upstream does not serve. The caller holds mu.
func (rec *upstreamRecord) clearDown() {
	rec.downConfirmed, rec.refusedAt = false, time.Time{}
}

// refusalConfirmWindow is the longest time between a refused connection and a successful one to
// another upstream for the latter to show that the network path was not the cause.
const refusalConfirmWindow = time.Second

// ConfirmRefusals records that a connection to an upstream of a service succeeded: connections that
// others refused shortly before show that these do not serve now.
func (b *Scheduler) ConfirmRefusals(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, rec := range b.records {
		if rec.up.Service == service && !rec.refusedAt.IsZero() && now.Sub(rec.refusedAt) <= refusalConfirmWindow {
			rec.downConfirmed = true
		}
	}
}

// stalled reports whether an engine that runs streams of this instance has sent nothing for
// longer than stallTimeout. The caller holds mu.
func (rec *upstreamRecord) stalled(now time.Time) bool {
	if now.Sub(rec.lastSeen) <= stallTimeout {
		return false
	}
	for _, s := range rec.streams {
		if s.started {
			return true
		}
	}
	return false
}

// AnsweredSince reports whether any message has arrived from an upstream since a time. If so,
// an upstream that has not answered a request is busy rather than down.
func (b *Scheduler) AnsweredSince(u dialect.Upstream, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recordOf(u).lastSeen.After(since)
}

// RecordFailure records a failure and reports whether the upstream was ejected for it.
func (b *Scheduler) RecordFailure(now time.Time, u dialect.Upstream, f Failure) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.recordOf(u)
	rec.success -= successWeight * rec.success
	if f == Soft {
		return false
	}
	if f == Unreachable {
		b.suspectZone(now, rec)
	}
	rec.failures++
	rec.readmitted = false
	rec.unreachable = f == Unreachable || f == Misdirected || f == Closed
	rec.recordDown(now, f)
	if f == Hard && rec.failures < ejectAfter && rec.ejections == 0 {
		return false
	}
	if now.Before(rec.ejectedUntil) {
		return false
	}
	rec.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(rec.ejections, 6)))
	rec.ejections++
	return true
}

// hasOverdueRequest reports whether any request of this instance has gone without a response
// for much longer than usual. The caller holds mu.
func (rec *upstreamRecord) hasOverdueRequest(now time.Time) bool {
	limit := max(minOverdue, overdueFactor*rec.latency)
	for _, start := range rec.startTimes {
		if now.Sub(start) > limit {
			return true
		}
	}
	return false
}

// healthState determines whether an upstream should get requests.
type healthState int

const (
	stateHealthy healthState = iota
	// stateRetry upstreams may be tried again: their ejection time has passed, their streams
	// have stalled, or their zone is suspected to be unreachable.
	stateRetry
	stateEjected
)

// state returns the state of the upstream by its own failures. The caller holds mu.
func (rec *upstreamRecord) state(now time.Time) healthState {
	switch {
	case rec.replaced:
		return stateEjected
	case rec.ejections == 0:
		return stateHealthy
	case now.Before(rec.ejectedUntil):
		return stateEjected
	case rec.readmitted:
		return stateHealthy
	default:
		return stateRetry
	}
}

// stateWithZone returns the state of the upstream, also considering stalled streams and
// suspected zones. The caller holds mu.
func (b *Scheduler) stateWithZone(now time.Time, rec *upstreamRecord) healthState {
	s := rec.state(now)
	if s == stateHealthy && (rec.stalled(now) || b.inSuspectedZone(now, rec)) {
		return stateRetry
	}
	return s
}

// Readmit records that an ejected engine answered a probe, which ends the ejection. A single
// further failure ejects it again, for longer.
func (b *Scheduler) Readmit(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.recordOf(u)
	rec.readmitted = true
	rec.clearDown()
	b.markSeen(now, rec)
}

// ReadmitAll records that this instance reaches upstreams of a service again after it had lost all of
// them: its failures say nothing about the upstreams. A single further failure ejects an upstream
// again.
func (b *Scheduler) ReadmitAll(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.suspicions)
	for _, rec := range b.records {
		if rec.up.Service != service || rec.replaced || rec.state(now) == stateHealthy {
			continue
		}
		rec.readmitted, rec.ejectedUntil = true, time.Time{}
		rec.clearDown()
	}
}

// maxZoneProbes is the maximum number of engines to probe at a time in a zone that is suspected
// to be unreachable. One response clears the suspicion, and in a large fleet each instance would
// otherwise probe every engine there.
const maxZoneProbes = 3

// ProbeCandidates returns the engines of a list to probe: those whose ejection time has passed or
// whose streams have stalled, and at most maxZoneProbes random ones of each zone that is suspected
// to be unreachable.
func (b *Scheduler) ProbeCandidates(now time.Time, list []dialect.Upstream) []dialect.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []dialect.Upstream
	suspected := map[ident.Zone][]dialect.Upstream{}
	for _, u := range list {
		if u.Stage == "" || b.records[u.ID] == nil && b.suspicions[u.Zone] == nil {
			continue
		}
		rec := b.recordOf(u)
		switch {
		case b.stateWithZone(now, rec) != stateRetry:
		case rec.ejections == 0 && !rec.stalled(now):
			suspected[u.Zone] = append(suspected[u.Zone], u)
		default:
			out = append(out, u)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(suspected)) {
		list := suspected[zone]
		b.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		out = append(out, list[:min(maxZoneProbes, len(list))]...)
	}
	return out
}
