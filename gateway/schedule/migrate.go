package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
)

const (
	// nearFullMemoryShare is the share of an engine's memory above which streams are moved to
	// other engines, by the forecast for the next step. An engine that runs out of memory
	// preempts a request and computes its KV cache again, 8,000 tokens on average, which pauses
	// all of its streams for 300 ms and more. Moving a stream takes about 10 ms.
	nearFullMemoryShare = 0.95
	// minRemaining is the shortest expected remaining duration for which a stream is moved.
	// Memory that is released within one step does not require a move.
	minRemaining = forecastStep
)

// MoveReason is the reason for which a stream is moved.
type MoveReason string

// The reasons for moving a stream.
const (
	// ReasonNearFull means that the engine is about to run out of memory.
	ReasonNearFull MoveReason = "crowded"
	// ReasonLeaving means that the engine will shut down before the stream ends.
	ReasonLeaving MoveReason = "leaving"
)

// Migrant is a stream that should be moved to another engine.
type Migrant struct {
	Ticket Ticket
	Reason MoveReason
	// Memory is the memory use forecast for the engine, in tokens, if Reason is ReasonNearFull.
	Memory int
}

// Migrants returns this instance's running streams that should be moved now: at most one from
// each engine that is about to run out of memory, and all from each engine that is leaving or
// no longer listed, except streams that end soon. A stream of the former is returned with a
// probability equal to this instance's share of the engine's memory, so that all instances
// together move about one stream at a time.
func (b *Scheduler) Migrants(now time.Time, list []dialect.Upstream, e *routing.Engine) []Migrant {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := map[string]bool{}
	var out []Migrant
	for _, u := range list {
		if u.Stage != dialect.StageDecode {
			continue
		}
		listed[string(u.ID)] = true
		rec := b.recordOf(u)
		if u.Leaving {
			out = append(out, b.migrantsFromLeaving(now, rec)...)
			continue
		}
		if m, ok := b.migrantFromFull(now, rec, e); ok {
			out = append(out, m)
		}
	}
	service := serviceOf(list)
	for id, rec := range b.records {
		if rec.up.Service == service && !listed[string(id)] && rec.up.Stage == dialect.StageDecode && b.stateWithZone(now, rec) == stateHealthy {
			out = append(out, b.migrantsFromLeaving(now, rec)...)
		}
	}
	return out
}

// remaining returns how long a stream is expected to continue. The caller holds mu.
func (b *Scheduler) remaining(now time.Time, rec *upstreamRecord, s runningStream) time.Duration {
	r := b.performanceOf(rec.up.Service)
	left := expectedOutput(float64(s.estimate), float64(s.produced), r.spread()) - float64(s.produced)
	return time.Duration(left * b.tokenTimeOf(now, rec) * float64(time.Second))
}

// migrantsFromLeaving returns the running streams to move from a leaving engine. The caller
// holds mu.
func (b *Scheduler) migrantsFromLeaving(now time.Time, rec *upstreamRecord) []Migrant {
	var out []Migrant
	for number, s := range rec.streams {
		if s.started && b.remaining(now, rec, s) > minRemaining {
			out = append(out, Migrant{Ticket: Ticket{Upstream: rec.up, number: number}, Reason: ReasonLeaving})
		}
	}
	return out
}

// migrantFromFull chooses the stream to move from an engine that is about to run out of memory:
// the one expected to continue longest. It reports false if none is to be moved. The caller
// holds mu.
func (b *Scheduler) migrantFromFull(now time.Time, rec *upstreamRecord, e *routing.Engine) (Migrant, bool) {
	f := b.ownForecast(now, rec)
	own := f[0]
	f.add(rec.peerForecast)
	expectedUse := max(f[0], f[1]) + rec.unaccountedMemory(now)
	if float64(expectedUse) <= nearFullMemoryShare*float64(e.KVTokens) || b.random.Float64()*float64(expectedUse) > float64(own) {
		return Migrant{}, false
	}
	longest, found := minRemaining, Migrant{}
	for number, s := range rec.streams {
		if left := b.remaining(now, rec, s); s.started && left > longest {
			longest = left
			found = Migrant{Ticket: Ticket{Upstream: rec.up, number: number}, Reason: ReasonNearFull, Memory: expectedUse}
		}
	}
	return found, found.Reason != ""
}
