package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// reachable returns the upstreams of a list without those that have not recovered since a
// connection to them failed, and without those in a zone that is suspected to be unreachable.
// The caller holds mu.
func (b *Scheduler) reachable(now time.Time, list []dialect.Upstream) []dialect.Upstream {
	var out []dialect.Upstream
	for _, u := range list {
		rec := b.recordOf(u)
		if rec.unreachable && rec.state(now) != stateHealthy || b.inSuspectedZone(now, rec) {
			continue
		}
		out = append(out, u)
	}
	return out
}

// Reachable returns the engines of a stage that are healthy and accept new requests.
func (b *Scheduler) Reachable(now time.Time, list []dialect.Upstream, stage dialect.Stage) []dialect.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspectStalledZones(now)
	var out []dialect.Upstream
	for _, u := range list {
		if u.Stage == stage && !u.Leaving && !b.resting(now, u) && b.available(now, b.recordOf(u)) {
			out = append(out, u)
		}
	}
	return out
}

// PrefillReachable reports whether any prefill engine of a list can be connected to and accepts
// requests, even if it is ejected.
func (b *Scheduler) PrefillReachable(now time.Time, list []dialect.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspectStalledZones(now)
	for _, u := range b.reachable(now, prefillEngines(list)) {
		if rec := b.recordOf(u); !rec.replaced && !u.Leaving && !rec.unavailable(now) {
			return true
		}
	}
	return false
}
