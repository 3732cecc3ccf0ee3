package lease

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/table"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// state is the state of a reservation at its holder.
type state int

const (
	// stateAsked means that the ask was sent and the grantor has not answered.
	stateAsked state = iota + 1
	// stateQueued means that the grantor has queued the ask.
	stateQueued
	// stateHeld means that this instance may use the slot.
	stateHeld
)

// hold is one reservation of this instance.
type hold struct {
	key      slotkit.Key
	id       ident.AttemptID
	upstream ident.UpstreamID
	ask      Ask
	state    state
	// grantor is the instance that may know about the reservation, or empty if
	// none does.
	grantor ident.InstanceID
	// seq is the sequence number of the last ask for the reservation.
	seq uint64
	// requestedAt is when the kernel requested the reservation, askedAt when the
	// grantor was last asked.
	requestedAt time.Time
	askedAt     time.Time
	// timeoutAt is when an open ask times out.
	timeoutAt time.Time
	// usedAt is when the use of the slot began, or is expected to begin if
	// started is false.
	usedAt  time.Time
	started bool
}

// grantorRecord is a holder's record of a grantor.
type grantorRecord struct {
	// incarnation is the grantor's incarnation in the last view, or 0 if the
	// view did not list it.
	incarnation ident.Incarnation
	// failures counts the consecutive times that the grantor did not answer.
	failures int
	// backoffUntil is the end of the backoff.
	backoffUntil time.Time
	// pendingRenews is the number of Renews still to be sent to the grantor. It
	// is not zero for some time after the last Release, so that the grantor
	// learns that nothing is held any more even if a message is lost.
	pendingRenews int
}

// renewsAfterRelease is the minimum number of Renews sent after the last
// Release. With two, the grantor learns of the release even if the Release and
// one Renew are lost.
const renewsAfterRelease = 2

// availabilityReport is the availability of an engine as last reported by its
// grantor.
type availabilityReport struct {
	at       time.Time
	free     int
	nextFree time.Duration
}

// answer is the answer to a reservation that has not been passed to the kernel
// yet.
type answer struct {
	id      ident.AttemptID
	granted bool
	retryAt time.Time
}

// holder is the part of a Policy that manages this instance's reservations.
type holder struct {
	holds map[slotkit.Key]*hold
	// open are the holds in stateAsked or stateQueued, in the order in which the
	// kernel requested them.
	open []*hold
	// held is the number of slots in stateHeld for each upstream.
	held     map[ident.UpstreamID]int
	grantors map[ident.InstanceID]*grantorRecord
	// failingGrantors is the number of grantors that have failures.
	failingGrantors int
	reports         table.Table[availabilityReport]
	// refusedUntil is the time until which the static share is not used after
	// the engine refused a request.
	refusedUntil map[ident.UpstreamID]time.Time
	answers      []answer
	flushing     bool
	// seq is the sequence number of the last message.
	seq             uint64
	nextRenew       time.Time
	nextOrphanCheck time.Time
}

func (o *holder) init() {
	o.holds = map[slotkit.Key]*hold{}
	o.held = map[ident.UpstreamID]int{}
	o.grantors = map[ident.InstanceID]*grantorRecord{}
	o.refusedUntil = map[ident.UpstreamID]time.Time{}
}

// nextSeq returns the sequence number for the next message.
func (o *holder) nextSeq() uint64 {
	o.seq++
	return o.seq
}

// clearFailures clears the failures of a grantor that has answered.
func (o *holder) clearFailures(id ident.InstanceID) {
	g := o.grantors[id]
	if g == nil || g.failures == 0 {
		return
	}
	g.failures = 0
	g.backoffUntil = time.Time{}
	o.countFailingGrantors()
}

// hasUnansweredAsk reports whether an ask to the grantor has not been answered
// at all.
func (o *holder) hasUnansweredAsk(id ident.InstanceID) bool {
	return slices.ContainsFunc(o.open, func(h *hold) bool {
		return h.grantor == id && h.state == stateAsked
	})
}

// countFailingGrantors recomputes the number of grantors that have failures.
func (o *holder) countFailingGrantors() {
	o.failingGrantors = 0
	for _, g := range o.grantors {
		if g.failures > 0 {
			o.failingGrantors++
		}
	}
}

// recordReport records a grantor's report on an engine unless a newer one is
// known.
func (o *holder) recordReport(u *kernel.Upstream, r availabilityReport) {
	if known := o.reports.At(u); !r.at.Before(known.at) {
		*known = r
	}
}

// add records a new reservation.
func (o *holder) add(h *hold) {
	o.holds[h.key] = h
	if h.state == stateHeld {
		o.held[h.upstream]++
		return
	}
	o.open = append(o.open, h)
}

// markHeld changes an open reservation to stateHeld.
func (o *holder) markHeld(h *hold) {
	if h.state == stateHeld {
		return
	}
	o.removeOpen(h)
	h.state = stateHeld
	o.held[h.upstream]++
}

// drop removes a reservation.
func (o *holder) drop(h *hold) {
	delete(o.holds, h.key)
	if h.state != stateHeld {
		o.removeOpen(h)
		return
	}
	if o.held[h.upstream]--; o.held[h.upstream] == 0 {
		delete(o.held, h.upstream)
	}
}

// removeOpen removes a reservation from the open ones.
func (o *holder) removeOpen(h *hold) {
	if i := slices.Index(o.open, h); i >= 0 {
		o.open = slices.Delete(o.open, i, i+1)
	}
}

// sorted returns the reservations sorted by key. Iterating over them in this
// order, not in that of the map, makes runs repeatable.
func (o *holder) sorted() []*hold {
	all := make([]*hold, 0, len(o.holds))
	for _, h := range o.holds {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b *hold) int {
		if a.key.Before(b.key) {
			return -1
		}
		return 1
	})
	return all
}
