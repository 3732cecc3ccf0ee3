package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// Failure is the way in which a request to an upstream failed.
type Failure int

// The kinds of failures that reflect on the upstream.
const (
	// Soft failures are responses: an error of the upstream itself, or a rejection.
	Soft Failure = iota + 1
	// Hard failures are connection resets, time-outs and invalid responses.
	Hard
	// Unreachable upstreams refuse connections or do not answer them.
	Unreachable
	// Misdirected requests reached another incarnation, or an engine of another stage.
	Misdirected
	// Closed upstreams refuse connections, since nothing listens on their address.
	Closed
)

// quietAfter is how long an engine with running streams may send no event before it gets no
// more requests. Events normally arrive every 40 to 70 ms. A working engine exceeds this time
// only while it preempts requests to free memory, which pauses its streams for 300 to 600 ms.
const quietAfter = 400 * time.Millisecond

// Answered records a successful response and its latency. It ends any ejection.
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

// heard records that a message arrived from an upstream. It clears the suspicion that the
// upstream's zone is unreachable. The caller holds mu.
func (b *Books) heard(now time.Time, k *book) {
	k.lastGood = now
	delete(b.doubts, k.up.Zone)
}

// Heard records that an engine answered a call that the gateway made on its own behalf.
func (b *Books) Heard(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard(now, b.of(u))
}

// Replaced records that the upstream's address is now used by another incarnation. The upstream
// no longer exists and gets no more requests, although the store may still list it for a while.
func (b *Books) Replaced(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(u).replaced = true
}

// down reports whether the upstream's address has shown that the upstream does not serve now:
// it refused a connection, or another incarnation answered. This is reported to peers, so that
// each of them need not lose a request there. Time-outs may be caused by the network path and
// are not reported. The caller holds mu.
func (k *book) down(now time.Time) bool {
	return k.attested && k.state(now) != stateGood
}

// quiet reports whether an engine that runs streams of this instance has sent nothing for
// longer than quietAfter. The caller holds mu.
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

// AnsweredSince reports whether any message has arrived from an upstream since a time. If so,
// an upstream that has not answered a request is busy rather than down.
func (b *Books) AnsweredSince(u dialect.Upstream, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(u).lastGood.After(since)
}

// Failed records a failure and reports whether the upstream was ejected for it.
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

// silent reports whether any request of this instance has gone without a response for much
// longer than usual. The caller holds mu.
func (k *book) silent(now time.Time) bool {
	limit := max(overdueLeast, overdueFactor*k.latency)
	for _, start := range k.starts {
		if now.Sub(start) > limit {
			return true
		}
	}
	return false
}

// state determines whether an upstream should get requests.
type state int

const (
	stateGood state = iota
	// stateTrial upstreams may be tried again: their ejection time has passed, their streams
	// have stalled, or their zone is suspected to be unreachable.
	stateTrial
	stateEjected
)

// state returns the state of the upstream by its own failures. The caller holds mu.
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

// stateIn returns the state of the upstream, also considering stalled streams and suspected
// zones. The caller holds mu.
func (b *Books) stateIn(now time.Time, k *book) state {
	s := k.state(now)
	if s == stateGood && (k.quiet(now) || b.doubted(now, k)) {
		return stateTrial
	}
	return s
}

// Readmit records that an ejected engine answered a probe, which ends the ejection. A single
// further failure ejects it again, for longer.
func (b *Books) Readmit(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	k.readmitted = true
	b.heard(now, k)
}

// zoneProbes is the maximum number of engines to probe at a time in a zone that is suspected to
// be unreachable. One answer clears the suspicion, and in a large fleet each instance would
// otherwise probe every engine there.
const zoneProbes = 3

// Trials returns the engines of a list to probe: those whose ejection time has passed or whose
// streams have stalled, and at most zoneProbes random ones of each zone that is suspected to be
// unreachable.
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
