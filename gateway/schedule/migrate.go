package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
)

const (
	// crowdedMemory is the share of an engine's memory, as foreseen one step ahead,
	// above which streams are moved to other engines. An engine that runs out
	// preempts a request and reads it in again, 8,000 tokens on average, for which all
	// of its streams pause for 300 ms and more; a move takes some 10 ms.
	crowdedMemory = 0.95
	// leastRemaining is how long a stream must be expected to go on for a move to be
	// worth it: memory that becomes free within one step needs none.
	leastRemaining = forecastStep
)

// Why says why a stream is moved.
type Why string

// The reasons.
const (
	// WhyCrowded engines are about to run out of memory.
	WhyCrowded Why = "crowded"
	// WhyLeaving engines end before their streams do.
	WhyLeaving Why = "leaving"
)

// Migrant is a stream that had better go on at another engine.
type Migrant struct {
	Ticket Ticket
	Why    Why
	// Memory is what the engine is foreseen to take, in tokens.
	Memory int
}

// Migrants returns the own running streams that should be moved now: of each crowded
// engine one at the most, by chance as often as its memory is this instance's, so that
// all instances together move about one at a time; of each leaving engine all.
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

// remaining is how long a stream is expected to go on. The caller holds mu.
func (b *Books) remaining(k *book, s running) time.Duration {
	r := b.rateOf(k.up.Service)
	left := expectedOutput(float64(s.estimate), float64(s.produced), r.spread()) - float64(s.produced)
	return time.Duration(left * r.tokenTime * float64(time.Second))
}

// leavers returns the running streams of an engine that ends. The caller holds mu.
func (b *Books) leavers(k *book) []Migrant {
	var out []Migrant
	for number, s := range k.streams {
		if s.begun && b.remaining(k, s) > leastRemaining {
			out = append(out, Migrant{Ticket: Ticket{Upstream: k.up, number: number}, Why: WhyLeaving})
		}
	}
	return out
}

// crowded chooses the stream to move from a crowded engine: the one that goes on
// longest. The caller holds mu.
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
