package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
)

const (
	// reportLag is the maximum age of a report when it arrives. The highest known memory use
	// within that time may account for what it says.
	reportLag = 1500 * time.Millisecond
	// unexplainedFor is how long a report remains valid without a newer one.
	unexplainedFor = 2500 * time.Millisecond
	// refusingWhileSwitching is how long an engine that reports a stage change gets no
	// requests. It lasts until the next report.
	refusingWhileSwitching = 1200 * time.Millisecond
)

// knownMemory is the memory that the known requests of all instances took at an engine at a
// time, in tokens.
type knownMemory struct {
	at     time.Time
	tokens int
}

// remember records the currently known memory use and drops samples older than reportLag. The
// caller holds mu.
func (b *Books) remember(now time.Time, k *book) {
	if k.up.Stage != dialect.StageDecode {
		return
	}
	f := b.ownForecast(k)
	if tokens := f[0] + k.peerForecast[0]; tokens != 0 {
		k.known = append(k.known, knownMemory{at: now, tokens: tokens})
	}
	old := 0
	for old < len(k.known) && now.Sub(k.known[old].at) > reportLag {
		old++
	}
	k.known = append(k.known[:0], k.known[old:]...)
}

// Reported records an engine's report and returns how much memory it contains that no known
// request accounts for, in tokens. Such memory belongs to streams of instances that have
// crashed or are disconnected, which the engine still runs, or to outputs longer than reported.
// When it was not counted, such engines were filled beyond their memory and preempted running
// requests.
func (b *Books) Reported(now time.Time, u dialect.Upstream, r dialect.Report) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	if r.Switching {
		k.refusingUntil = now.Add(refusingWhileSwitching)
	}
	b.remember(now, k)
	if b.peersSince.IsZero() || now.Sub(b.peersSince) < reportLag {
		// An instance that has just started does not know the requests of its peers yet.
		return 0
	}
	explained := 0
	for _, m := range k.known {
		explained = max(explained, m.tokens)
	}
	k.unexplained, k.unexplainedAt = max(0, r.UsedTokens-explained), now
	if k.unexplained > 0 {
		b.active[u.ID] = true
	}
	return k.unexplained
}

// ownUnexplained returns the unaccounted memory by the newest report that this instance
// received. The caller holds mu.
func (k *book) ownUnexplained(now time.Time) int {
	if now.Sub(k.unexplainedAt) > unexplainedFor {
		return 0
	}
	return k.unexplained
}

// inUseFor is how long an engine counts as in use after its last request. If the instance that
// used it has crashed, the engine may still hold memory for its requests.
const inUseFor = 5 * time.Second

// InUse reports whether an engine has, or recently had, known requests of any instance, or
// memory that no known request accounts for.
func (b *Books) InUse(now time.Time, u dialect.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	if k.requests+k.peerRequests > 0 || k.unexplainedNow(now) > 0 {
		k.usedAt = now
	}
	return !k.usedAt.IsZero() && now.Sub(k.usedAt) <= inUseFor
}

// unexplainedNow returns the unaccounted memory of an engine, by reports to this instance or to
// its peers. The caller holds mu.
func (k *book) unexplainedNow(now time.Time) int {
	return max(k.ownUnexplained(now), k.peerUnexplained)
}
