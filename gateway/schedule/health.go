package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// Failure says how an attempt failed.
type Failure int

// The kinds of failures, as far as they say something of the upstream.
const (
	// Soft failures are answers: the upstream's own error, a refusal.
	Soft Failure = iota + 1
	// Hard failures are resets, silence and bytes that are no answer.
	Hard
	// Unreachable upstreams refuse connections or don't answer them.
	Unreachable
	// Misdirected requests met another incarnation, or an engine of another stage.
	Misdirected
	// Closed upstreams refuse connections: nothing listens there.
	Closed
)

// quietAfter is how long an engine with running streams may send nothing before it
// gets no more requests: events come every 40 to 70 ms, and it would pause its
// streams for 300 to 600 ms anyway while it makes room.
const quietAfter = 400 * time.Millisecond

// Answered takes in a good answer.
func (b *Books) Answered(now time.Time, u dialect.Upstream, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	k.success += successWeight * (1 - k.success)
	k.failures, k.ejections = 0, 0
	k.ejectedUntil = time.Time{}
	b.heard(now, k)
	if k.latency == 0 {
		k.latency = latency
	}
	k.latency += time.Duration(latencyWeight * float64(latency-k.latency))
}

// heard takes in that something came from an upstream. The caller holds mu.
func (b *Books) heard(now time.Time, k *book) {
	k.lastGood = now
	delete(b.doubts, k.up.Zone)
}

// Heard takes in that an engine answered a call of the gateway's own.
func (b *Books) Heard(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard(now, b.of(u))
}

// Replaced takes in that an upstream's address answers as another incarnation: this
// one has ended and gets no more requests, although the store may list it for some
// time yet.
func (b *Books) Replaced(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(u).replaced = true
}

// down reports whether an upstream attested that it doesn't serve now: its address
// refused a connection or answered as another. Peers are told, so that not each of
// them loses a request there; time-outs may lie on the way, and are not passed on. The
// caller holds mu.
func (k *book) down(now time.Time) bool {
	return k.attested && k.state(now) != stateGood
}

// quiet reports whether nothing has come for a while from an engine that runs
// streams of this instance. The caller holds mu.
func (k *book) quiet(now time.Time) bool {
	if now.Sub(k.lastGood) <= quietAfter {
		return false
	}
	for _, s := range k.streams {
		if s.begun {
			return true
		}
	}
	return false
}

// AnsweredSince reports whether an upstream answered any request well since a time:
// one that did is busy, not dead.
func (b *Books) AnsweredSince(u dialect.Upstream, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(u).lastGood.After(since)
}

// Failed takes in a failure and reports whether the upstream was ejected for it.
func (b *Books) Failed(now time.Time, u dialect.Upstream, f Failure) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	k.success -= successWeight * k.success
	if f == Soft {
		return false
	}
	if f == Unreachable {
		b.doubt(now, k)
	}
	k.failures++
	k.readmitted = false
	k.unreachable = f == Unreachable || f == Misdirected || f == Closed
	k.attested = f == Misdirected || f == Closed
	if f == Hard && k.failures < ejectAfter && k.ejections == 0 {
		return false
	}
	if now.Before(k.ejectedUntil) {
		return false
	}
	k.ejectedUntil = now.Add(min(ejectMost, ejectFirst<<min(k.ejections, 6)))
	k.ejections++
	return true
}

// silent reports whether a request in flight has been unanswered for much longer
// than is usual. The caller holds mu.
func (k *book) silent(now time.Time) bool {
	limit := max(overdueLeast, overdueFactor*k.latency)
	for _, start := range k.starts {
		if now.Sub(start) > limit {
			return true
		}
	}
	return false
}

// state says whether an upstream should get requests.
type state int

const (
	stateGood state = iota
	// stateTrial upstreams were ejected for a while and may be tried again.
	stateTrial
	stateEjected
)

// state returns the state of a book. The caller holds mu.
func (k *book) state(now time.Time) state {
	switch {
	case k.replaced:
		return stateEjected
	case k.ejections == 0:
		return stateGood
	case now.Before(k.ejectedUntil):
		return stateEjected
	case k.readmitted:
		return stateGood
	default:
		return stateTrial
	}
}

// stateIn returns the state of a book, taking doubts about its zone into account.
// The caller holds mu.
func (b *Books) stateIn(now time.Time, k *book) state {
	s := k.state(now)
	if s == stateGood && (k.quiet(now) || b.doubted(now, k)) {
		return stateTrial
	}
	return s
}

// Readmit takes in that an ejected engine answered a probe. One further failure
// ejects it again, for longer.
func (b *Books) Readmit(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	k.readmitted = true
	b.heard(now, k)
}

// zoneProbes limits how many engines of a zone that seems cut off are probed at a time. One answer
// ends the doubt, and in a large fleet each instance would otherwise probe every engine there.
const zoneProbes = 3

// Trials returns the engines of a list to probe: those that were ejected or fell silent and may be
// tried again, and at most zoneProbes random ones of each zone that seems cut off.
func (b *Books) Trials(now time.Time, list []dialect.Upstream) []dialect.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []dialect.Upstream
	doubted := map[ident.Zone][]dialect.Upstream{}
	for _, u := range list {
		if u.Stage == "" || b.books[u.ID] == nil && b.doubts[u.Zone] == nil {
			continue
		}
		k := b.of(u)
		switch {
		case b.stateIn(now, k) != stateTrial:
		case k.ejections == 0 && !k.quiet(now):
			doubted[u.Zone] = append(doubted[u.Zone], u)
		default:
			out = append(out, u)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(doubted)) {
		list := doubted[zone]
		b.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		out = append(out, list[:min(zoneProbes, len(list))]...)
	}
	return out
}
