package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// Refuses records that an engine rejected a request for which it had reserved memory, or the
// transfer of a prefill result that it had just computed. The engine gets no requests for a
// while, from this instance and from its peers. The time doubles with each rejection in a row,
// from refusingFirst to refusingMost.
func (b *Books) Refuses(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	if now.Before(k.refusingUntil) {
		return
	}
	k.refusingUntil = now.Add(min(refusingMost, refusingFirst<<min(k.refusals, 4)))
	k.refusals++
}

// Kept records that an engine accepted a request or transfer that it had reserved. It resets
// the count of rejections in a row.
func (b *Books) Kept(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(u).refusals = 0
}

// Switching records that an engine was ordered to change its stage. Until the change is
// complete the engine accepts reservations but rejects requests.
func (b *Books) Switching(now time.Time, id ident.UpstreamID, to dialect.Stage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.books[id]; k != nil {
		k.switching, k.switchingUntil = to, now.Add(switchingMost)
	}
}

// away reports whether an engine is expected to reject requests now, since it did so recently
// or is changing its stage. The caller holds mu.
func (k *book) away(now time.Time) bool {
	if now.Before(k.refusingUntil) || now.Before(k.peerRefusing) {
		return true
	}
	return k.switches(now)
}

// switches reports whether the engine is changing its stage. The caller holds mu.
func (k *book) switches(now time.Time) bool {
	return k.switching != "" && k.switching != k.up.Stage && now.Before(k.switchingUntil)
}

// Away lists the engines that get no new requests at present, as instances exchange it with
// their peers.
type Away struct {
	// Refusing holds how much longer each engine gets no requests.
	Refusing map[ident.UpstreamID]time.Duration
	// Switching holds the stage that each engine was ordered to change to.
	Switching map[ident.UpstreamID]dialect.Stage
}

// Away returns the unavailable engines that this instance itself has detected. What peers
// reported is not passed on, except for ordered stage changes.
func (b *Books) Away(now time.Time) Away {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := Away{Refusing: map[ident.UpstreamID]time.Duration{}, Switching: map[ident.UpstreamID]dialect.Stage{}}
	for id, k := range b.books {
		if now.Before(k.refusingUntil) {
			a.Refusing[id] = k.refusingUntil.Sub(now)
		}
		if k.replaced {
			a.Refusing[id] = refusingMost
		} else if k.down(now) {
			a.Refusing[id] = max(refusingFirst, k.ejectedUntil.Sub(now))
		}
		if k.switches(now) {
			a.Switching[id] = k.switching
		}
	}
	return a
}

// SetAway records the unavailable engines that peers have detected.
func (b *Books) SetAway(now time.Time, a Away) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, left := range a.Refusing {
		if k := b.books[id]; k != nil {
			k.peerRefusing = now.Add(min(refusingMost, left))
		}
	}
	for id, stage := range a.Switching {
		if k := b.books[id]; k != nil && k.switching != stage {
			k.switching, k.switchingUntil = stage, now.Add(switchingMost)
		}
	}
}

// Staged returns a copy of list in which engines with a pending stage change have their new
// stage.
func (b *Books) Staged(now time.Time, list []dialect.Upstream) []dialect.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	staged := append([]dialect.Upstream(nil), list...)
	for i := range staged {
		if k := b.books[staged[i].ID]; k != nil && k.switches(now) {
			staged[i].Stage = k.switching
		}
	}
	return staged
}
