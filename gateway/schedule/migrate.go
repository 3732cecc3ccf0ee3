package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
)

const (
	// crowdedMemory is the share of an engine's memory above which streams are moved to other
	// engines, by the forecast for the next step. An engine that runs out of memory preempts a
	// request and computes its KV cache again, 8,000 tokens on average, which pauses all of its
	// streams for 300 ms and more. Moving a stream takes about 10 ms.
	crowdedMemory = 0.95
	// leastRemaining is the shortest expected remaining duration for which a stream is moved.
	// Memory that is released within one step does not require a move.
	leastRemaining = forecastStep
)

// Why is the reason for which a stream is moved.
type Why string

// The reasons for moving a stream.
const (
	// WhyCrowded means that the engine is about to run out of memory.
	WhyCrowded Why = "crowded"
	// WhyLeaving means that the engine will shut down before the stream ends.
	WhyLeaving Why = "leaving"
)

// Migrant is a stream that should be moved to another engine.
type Migrant struct {
	Ticket Ticket
	Why    Why
	// Memory is the memory use forecast for the engine, in tokens, if Why is WhyCrowded.
	Memory int
}

// Migrants returns this instance's running streams that should be moved now: at most one from
// each engine that is about to run out of memory, and all from each engine that is leaving or
// no longer listed, except streams that end soon. A stream of the former is returned with a
// probability equal to this instance's share of the engine's memory, so that all instances
// together move about one stream at a time.
func (b *Books) Migrants(now time.Time, list []dialect.Upstream, e *routing.Engine) []Migrant {
	b.mu.Lock()
	defer b.mu.Unlock()
	staying := map[string]bool{}
	var out []Migrant
	for _, u := range list {
		if u.Stage != dialect.StageDecode {
			continue
		}
		staying[string(u.ID)] = true
		k := b.of(u)
		if u.Leaving {
			out = append(out, b.leavers(k)...)
			continue
		}
		if m, ok := b.crowded(now, k, e); ok {
			out = append(out, m)
		}
	}
	service := serviceOf(list)
	for id, k := range b.books {
		if k.up.Service == service && !staying[string(id)] && k.up.Stage == dialect.StageDecode && b.stateIn(now, k) == stateGood {
			out = append(out, b.leavers(k)...)
		}
	}
	return out
}

// remaining returns how long a stream is expected to continue. The caller holds mu.
func (b *Books) remaining(k *book, s running) time.Duration {
	r := b.rateOf(k.up.Service)
	left := expectedOutput(float64(s.estimate), float64(s.produced), r.spread()) - float64(s.produced)
	return time.Duration(left * r.tokenTime * float64(time.Second))
}

// leavers returns the running streams to move from a leaving engine. The caller holds mu.
func (b *Books) leavers(k *book) []Migrant {
	var out []Migrant
	for number, s := range k.streams {
		if s.begun && b.remaining(k, s) > leastRemaining {
			out = append(out, Migrant{Ticket: Ticket{Upstream: k.up, number: number}, Why: WhyLeaving})
		}
	}
	return out
}

// crowded chooses the stream to move from an engine that is about to run out of memory: the one
// expected to continue longest. It reports false if none is to be moved. The caller holds mu.
func (b *Books) crowded(now time.Time, k *book, e *routing.Engine) (Migrant, bool) {
	f := b.ownForecast(k)
	own := f[0]
	f.add(k.peerForecast)
	soon := max(f[0], f[1]) + k.unexplainedNow(now)
	if float64(soon) <= crowdedMemory*float64(e.KVTokens) || b.random.Float64()*float64(soon) > float64(own) {
		return Migrant{}, false
	}
	longest, found := leastRemaining, Migrant{}
	for number, s := range k.streams {
		if left := b.remaining(k, s); s.begun && left > longest {
			longest = left
			found = Migrant{Ticket: Ticket{Upstream: k.up, number: number}, Why: WhyCrowded, Memory: soon}
		}
	}
	return found, found.Why != ""
}
