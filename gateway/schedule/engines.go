package schedule

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

const (
	// usableMemory is the share of an engine's memory that is planned with: the
	// engine rounds each request up to whole blocks of memory.
	usableMemory = 0.98
	// fullFor is how long an engine that refused a reservation is not asked for as
	// much again: a stream ends somewhere every 50 to 80 ms at the peak.
	fullFor = 60 * time.Millisecond
	// closeEnough is the share of memory by which two engines count as equally
	// free; between them the choice is random, so that instances that see the
	// same don't all choose the same.
	closeEnough = 0.08
)

// PlaceDecode chooses the decode engine for a request that will take tokens of
// memory: of those with room the one with the most of it. It reports false if
// none has room.
func (b *Books) PlaceDecode(now time.Time, list []dialect.Upstream, e *routing.Engine, tokens int, exclude []ident.UpstreamID) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *book
	most := 0.0
	for _, u := range list {
		if u.Stage != dialect.StageDecode || !usable(u, exclude) {
			continue
		}
		k := b.of(u)
		free, ok := b.free(now, k, e, tokens)
		if !ok {
			continue
		}
		free += closeEnough * b.random.Float64()
		if best == nil || free > most {
			best, most = k, free
		}
	}
	if best == nil {
		return Ticket{}, false
	}
	return b.place(now, best, tokens), true
}

// free returns the share of an engine's memory that would stay free, and whether
// a request of the given size fits. The caller holds mu.
func (b *Books) free(now time.Time, k *book, e *routing.Engine, tokens int) (float64, bool) {
	if k.state(now) == stateEjected || k.state(now) == stateTrial && k.requests > 0 {
		return 0, false
	}
	if now.Before(k.fullUntil) && tokens >= k.fullTokens {
		return 0, false
	}
	if k.requests+k.peerRequests >= e.Slots {
		return 0, false
	}
	total := usableMemory * float64(e.KVTokens)
	left := total - float64(k.tokens+k.peerTokens+tokens)
	return left / total, left >= 0
}

// Full takes in that an engine refused a reservation.
func (b *Books) Full(now time.Time, u dialect.Upstream, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	if now.Before(k.fullUntil) {
		tokens = min(tokens, k.fullTokens)
	}
	k.fullUntil = now.Add(fullFor)
	k.fullTokens = tokens
}

// PlacePrefill chooses the prefill engine for a prompt: the one that is expected
// to be done with it first. near is the zone of the decode engine.
func (b *Books) PlacePrefill(now time.Time, list []dialect.Upstream, tokens int, near ident.Zone, exclude []ident.UpstreamID) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *book
	least := math.Inf(1)
	for _, u := range list {
		if u.Stage != dialect.StagePrefill || !usable(u, exclude) {
			continue
		}
		k := b.of(u)
		if s := k.state(now); s == stateEjected || s == stateTrial && k.requests > 0 {
			continue
		}
		if c := b.prefillCost(now, k, tokens, near); c < least {
			best, least = k, c
		}
	}
	if best == nil {
		return Ticket{}, false
	}
	return b.place(now, best, tokens), true
}

// prefillCost is the work before a prompt's result at an engine, in tokens; more
// for engines that fail, or are slower than their like. The caller holds mu.
func (b *Books) prefillCost(now time.Time, k *book, tokens int, near ident.Zone) float64 {
	c := float64(k.tokens + k.peerTokens + tokens)
	if k.latency > 0 {
		c *= math.Max(1, k.latency.Seconds()/b.usualLatency(dialect.StagePrefill))
	}
	c /= math.Pow(math.Max(k.success, 0.05), 2)
	if k.up.Zone != near {
		c *= otherZone
	}
	if k.silent(now) {
		c *= overdueFactor
	}
	return c * (1 + 0.1*b.random.Float64())
}

// usualLatency returns the lowest latency of the engines of a stage, in seconds.
// The caller holds mu.
func (b *Books) usualLatency(s dialect.Stage) float64 {
	lowest := math.Inf(1)
	for _, k := range b.books {
		if k.up.Stage == s && k.latency > 0 {
			lowest = math.Min(lowest, k.latency.Seconds())
		}
	}
	return lowest
}

// HasStage reports whether a list has engines of a stage that take new work.
func HasStage(list []dialect.Upstream, s dialect.Stage) bool {
	for _, u := range list {
		if u.Stage == s && !u.Leaving {
			return true
		}
	}
	return false
}
