package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
)

const (
	// reportLag is the most by which a report is older than its arrival. What
	// requests were known to take at any time since may explain it.
	reportLag = 1500 * time.Millisecond
	// unexplainedFor is how long a report is believed without a newer one.
	unexplainedFor = 2500 * time.Millisecond
	// refusingWhileSwitching is how long an engine that reports a change of stage
	// is passed over: until the next report.
	refusingWhileSwitching = 1200 * time.Millisecond
)

// knownMemory is the memory that all instances' requests took of an engine at a
// time, in tokens.
type knownMemory struct {
	at     time.Time
	tokens int
}

// remember notes the memory known now and forgets what is older than reports are.
// The caller holds mu.
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

// Reported takes in an engine's report, and returns how much memory it names that
// no known request explains: of instances that died or are cut off, whose streams
// the engine still runs, or of outputs longer than was heard of. Without it such
// engines were filled beyond their memory, and preempted running requests.
func (b *Books) Reported(now time.Time, u dialect.Upstream, r dialect.Report) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	if r.Switching {
		k.refusingUntil = now.Add(refusingWhileSwitching)
	}
	b.remember(now, k)
	if b.peersSince.IsZero() || now.Sub(b.peersSince) < reportLag {
		// An instance that has just started doesn't know what others have there.
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

// ownUnexplained is the unexplained memory of the newest own report. The caller
// holds mu.
func (k *book) ownUnexplained(now time.Time) int {
	if now.Sub(k.unexplainedAt) > unexplainedFor {
		return 0
	}
	return k.unexplained
}

// inUseFor is how long an engine counts as in use after its last request: one that lost the
// instance that used it may still hold its memory.
const inUseFor = 5 * time.Second

// InUse reports whether any instance is known to have, or to have had lately, requests at an
// engine, or whether its memory is taken by requests that no instance explains.
func (b *Books) InUse(now time.Time, u dialect.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	if k.requests+k.peerRequests > 0 || k.unexplainedNow(now) > 0 {
		k.usedAt = now
	}
	return !k.usedAt.IsZero() && now.Sub(k.usedAt) <= inUseFor
}

// unexplainedNow is the unexplained memory of an engine, from own or peers'
// reports. The caller holds mu.
func (k *book) unexplainedNow(now time.Time) int {
	return max(k.ownUnexplained(now), k.peerUnexplained)
}
