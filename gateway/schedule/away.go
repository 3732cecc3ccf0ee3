package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// Refuses records that an engine rejected a request for which it had reserved memory, or the
// transfer of a prefill result that it had just computed. The engine gets no requests for a
// while, from this instance and from its peers. The time doubles with each rejection in a row,
// from minRejectionBackoff to maxRejectionBackoff.
func (b *Books) Refuses(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.recordOf(u)
	if now.Before(rec.rejectingUntil) {
		return
	}
	rec.rejectingUntil = now.Add(min(maxRejectionBackoff, minRejectionBackoff<<min(rec.rejections, 4)))
	rec.rejections++
}

// Kept records that an engine accepted a request or transfer that it had reserved. It resets
// the count of rejections in a row.
func (b *Books) Kept(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordOf(u).rejections = 0
}

// Switching records that an engine was ordered to change its stage. Until the change is
// complete the engine accepts reservations but rejects requests.
func (b *Books) Switching(now time.Time, id ident.UpstreamID, to dialect.Stage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rec := b.records[id]; rec != nil {
		rec.pendingStage, rec.pendingUntil = to, now.Add(stageChangeTimeout)
	}
}

// unavailable reports whether an engine is expected to reject requests now, since it did so
// recently or is changing its stage. The caller holds mu.
func (rec *upstreamRecord) unavailable(now time.Time) bool {
	if now.Before(rec.rejectingUntil) || now.Before(rec.peerRejectingUntil) {
		return true
	}
	return rec.changingStage(now)
}

// changingStage reports whether the engine is changing its stage. The caller holds mu.
func (rec *upstreamRecord) changingStage(now time.Time) bool {
	return rec.pendingStage != "" && rec.pendingStage != rec.up.Stage && now.Before(rec.pendingUntil)
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
	for id, rec := range b.records {
		if now.Before(rec.rejectingUntil) {
			a.Refusing[id] = rec.rejectingUntil.Sub(now)
		}
		if rec.replaced {
			a.Refusing[id] = maxRejectionBackoff
		} else if rec.knownDown(now) {
			a.Refusing[id] = max(minRejectionBackoff, rec.ejectedUntil.Sub(now))
		}
		if rec.changingStage(now) {
			a.Switching[id] = rec.pendingStage
		}
	}
	return a
}

// SetAway records the unavailable engines that peers have detected.
func (b *Books) SetAway(now time.Time, a Away) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, remaining := range a.Refusing {
		if rec := b.records[id]; rec != nil {
			rec.peerRejectingUntil = now.Add(min(maxRejectionBackoff, remaining))
		}
	}
	for id, stage := range a.Switching {
		if rec := b.records[id]; rec != nil && rec.pendingStage != stage {
			rec.pendingStage, rec.pendingUntil = stage, now.Add(stageChangeTimeout)
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
		if rec := b.records[staged[i].ID]; rec != nil && rec.changingStage(now) {
			staged[i].Stage = rec.pendingStage
		}
	}
	return staged
}
