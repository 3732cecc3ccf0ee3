package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
)

const (
	// maxReportAge is the maximum age of a report when it arrives. The highest known memory use
	// within that time may account for what it says.
	maxReportAge = 1500 * time.Millisecond
	// unaccountedTTL is how long a report remains valid without a newer one.
	unaccountedTTL = 2500 * time.Millisecond
	// stageChangeBackoff is how long an engine that reports a stage change gets no requests. It
	// lasts until the next report.
	stageChangeBackoff = 1200 * time.Millisecond
)

// loadSample is the number of known requests of all instances at an engine at a time, and the memory that
// they took, in tokens.
type loadSample struct {
	at       time.Time
	requests int
	tokens   int
}

// recordLoad records the currently known requests and their memory use, and drops samples older than
// maxReportAge. The caller holds mu.
func (b *Scheduler) recordLoad(now time.Time, rec *upstreamRecord) {
	if rec.up.Stage != dialect.StageDecode {
		return
	}
	f := b.ownForecast(now, rec)
	s := loadSample{at: now, requests: rec.requests + rec.peerRequests, tokens: f[0] + rec.peerForecast[0]}
	if s.requests != 0 || s.tokens != 0 {
		rec.loadSamples = append(rec.loadSamples, s)
	}
	expired := 0
	for expired < len(rec.loadSamples) && now.Sub(rec.loadSamples[expired].at) > maxReportAge {
		expired++
	}
	rec.loadSamples = append(rec.loadSamples[:0], rec.loadSamples[expired:]...)
}

// RecordReport records an engine's report and returns how much memory it contains that no known
// request accounts for, in tokens. Such memory belongs to streams of instances that have
// crashed or are disconnected, which the engine still runs, or to outputs longer than reported.
// When it was not counted, such engines were filled beyond their memory and preempted running
// requests.
func (b *Scheduler) RecordReport(now time.Time, u dialect.Upstream, r dialect.Report) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.recordOf(u)
	if r.Switching {
		rec.rejectingUntil = now.Add(stageChangeBackoff)
	}
	b.recordLoad(now, rec)
	known := 0
	for _, s := range rec.loadSamples {
		known = max(known, s.requests)
	}
	if r.Running+r.Waiting > known {
		b.unknownRequestsAt = now
	}
	if b.firstPeerReport.IsZero() || now.Sub(b.firstPeerReport) < maxReportAge {
		// An instance that has just started does not know the requests of its peers yet.
		return 0
	}
	accounted := 0
	for _, s := range rec.loadSamples {
		accounted = max(accounted, s.tokens)
	}
	rec.unaccounted, rec.unaccountedAt = max(0, r.UsedTokens-accounted), now
	if rec.unaccounted > 0 {
		b.active[u.ID] = true
	}
	return rec.unaccounted
}

// UnknownRequestsAt returns when an engine last reported more requests than those of this instance and of the
// peers that it knows, zero if none has.
func (b *Scheduler) UnknownRequestsAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unknownRequestsAt
}

// ownUnaccounted returns the unaccounted memory by the newest report that this instance
// received. The caller holds mu.
func (rec *upstreamRecord) ownUnaccounted(now time.Time) int {
	if now.Sub(rec.unaccountedAt) > unaccountedTTL {
		return 0
	}
	return rec.unaccounted
}

// inUseTTL is how long an engine counts as in use after its last request. If the instance that
// used it has crashed, the engine may still hold memory for its requests.
const inUseTTL = 5 * time.Second

// InUse reports whether an engine has, or recently had, known requests of any instance, or
// memory that no known request accounts for.
func (b *Scheduler) InUse(now time.Time, u dialect.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.recordOf(u)
	if rec.requests+rec.peerRequests > 0 || rec.unaccountedMemory(now) > 0 {
		rec.lastUsed = now
	}
	return !rec.lastUsed.IsZero() && now.Sub(rec.lastUsed) <= inUseTTL
}

// unaccountedMemory returns the unaccounted memory of an engine, by reports to this instance or
// to its peers. The caller holds mu.
func (rec *upstreamRecord) unaccountedMemory(now time.Time) int {
	return max(rec.ownUnaccounted(now), rec.peerUnaccounted)
}
