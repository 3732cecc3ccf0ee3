package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// Refuses takes in that an engine refused what it had promised: a request for which
// it had reserved memory, or the fetching of a prefill result that it had just
// computed. It is passed over for a while, also by peers.
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

// Kept takes in that an engine kept a promise.
func (b *Books) Kept(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(u).refusals = 0
}

// Switching takes in that an engine was ordered to change its stage: it accepts
// reservations and refuses requests until it is done.
func (b *Books) Switching(now time.Time, id ident.UpstreamID, to dialect.Stage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.books[id]; k != nil {
		k.switching, k.switchingUntil = to, now.Add(switchingMost)
	}
}

// away reports whether an engine can't be expected to keep its promises now. The
// caller holds mu.
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

// Away is what an instance tells its peers of engines that don't keep promises.
type Away struct {
	// Refusing is how much longer engines are passed over.
	Refusing map[ident.UpstreamID]time.Duration
	// Switching names the stages that engines were ordered to take.
	Switching map[ident.UpstreamID]dialect.Stage
}

// Away returns what this instance itself found of engines.
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

// SetAway takes in what peers found of engines.
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

// Staged returns a list with the engines' stages as they will be once their
// orders are carried out.
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
