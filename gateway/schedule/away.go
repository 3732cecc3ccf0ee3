package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// RecordRejection records that an engine rejected a request for which it had reserved memory, or
// the transfer of a prefill result that it had just computed. The engine gets no requests for a
// while, from this instance and from its peers. The time doubles with each rejection in a row, from
// minRejectionBackoff to maxRejectionBackoff.
func (b *Scheduler) RecordRejection(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.recordOf(u)
	if now.Before(rec.rejectingUntil) {
		return
	}
	rec.rejectingUntil = now.Add(min(maxRejectionBackoff, minRejectionBackoff<<min(rec.rejections, 4)))
	rec.rejections++
}

// RecordAcceptance records that an engine accepted a request or transfer that it had reserved. It
// resets the count of rejections in a row.
func (b *Scheduler) RecordAcceptance(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordOf(u).rejections = 0
}

// RecordStageOrder records that an engine was ordered to change its stage. Until the change is
// complete the engine accepts reservations but rejects requests.
func (b *Scheduler) RecordStageOrder(now time.Time, id ident.UpstreamID, to dialect.Stage) {
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

// UnavailableEngines lists the engines that get no new requests at present, as instances exchange
// it with their peers.
type UnavailableEngines struct {
	// Rejecting holds how much longer each engine gets no requests.
	Rejecting map[ident.UpstreamID]time.Duration
	// PendingStages holds the stage that each engine was ordered to change to.
	PendingStages map[ident.UpstreamID]dialect.Stage
}

// OwnUnavailable returns the unavailable engines that this instance itself has detected. What peers
// reported is not passed on, except for ordered stage changes.
func (b *Scheduler) OwnUnavailable(now time.Time) UnavailableEngines {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := UnavailableEngines{Rejecting: map[ident.UpstreamID]time.Duration{}, PendingStages: map[ident.UpstreamID]dialect.Stage{}}
	for id, rec := range b.records {
		if now.Before(rec.rejectingUntil) {
			a.Rejecting[id] = rec.rejectingUntil.Sub(now)
		}
		if rec.replaced {
			a.Rejecting[id] = maxRejectionBackoff
		} else if rec.knownDown(now) {
			a.Rejecting[id] = max(minRejectionBackoff, rec.ejectedUntil.Sub(now))
		}
		if rec.changingStage(now) {
			a.PendingStages[id] = rec.pendingStage
		}
	}
	return a
}

// SetPeersUnavailable records the unavailable engines that peers have detected, and returns those
// that were available before.
func (b *Scheduler) SetPeersUnavailable(now time.Time, a UnavailableEngines) []ident.UpstreamID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []ident.UpstreamID
	for id, remaining := range a.Rejecting {
		if rec := b.records[id]; rec != nil {
			if !rec.unavailable(now) {
				added = append(added, id)
			}
			rec.peerRejectingUntil = now.Add(min(maxRejectionBackoff, remaining))
		}
	}
	for id, stage := range a.PendingStages {
		if rec := b.records[id]; rec != nil && rec.pendingStage != stage {
			rec.pendingStage, rec.pendingUntil = stage, now.Add(stageChangeTimeout)
		}
	}
	return added
}

// WithPendingStages returns a copy of list in which engines with a pending stage change have their
// new stage.
func (b *Scheduler) WithPendingStages(now time.Time, list []dialect.Upstream) []dialect.Upstream {
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
