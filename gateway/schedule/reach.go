package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// reachable leaves out the upstreams that could not be connected to lately, or are
// in a zone that seems cut off. The caller holds mu.
func (b *Books) reachable(now time.Time, list []dialect.Upstream) []dialect.Upstream {
	var out []dialect.Upstream
	for _, u := range list {
		k := b.of(u)
		if k.unreachable && k.state(now) != stateGood || b.doubted(now, k) {
			continue
		}
		out = append(out, u)
	}
	return out
}

// Reachable returns the engines of a stage that are in reach and take work.
func (b *Books) Reachable(now time.Time, list []dialect.Upstream, stage dialect.Stage) []dialect.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doubtQuiet(now)
	var out []dialect.Upstream
	for _, u := range list {
		if u.Stage == stage && !u.Leaving && b.open(now, b.of(u)) {
			out = append(out, u)
		}
	}
	return out
}

// PrefillReachable reports whether any prefill engine of a list is in reach.
func (b *Books) PrefillReachable(now time.Time, list []dialect.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doubtQuiet(now)
	for _, u := range b.reachable(now, prefillEngines(list)) {
		if k := b.of(u); !k.replaced && !u.Leaving && !k.away(now) {
			return true
		}
	}
	return false
}
