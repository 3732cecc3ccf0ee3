package lease

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/table"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// state is how far a reservation has come.
type state int

const (
	// stateAsked: the grantor has not answered.
	stateAsked state = iota + 1
	// stateQueued: the grantor will answer when a slot falls free.
	stateQueued
	// stateHeld: the slot is this instance's.
	stateHeld
)

// hold is one reservation of this instance.
type hold struct {
	key      slotkit.Key
	id       ident.AttemptID
	upstream ident.UpstreamID
	ask      Ask
	state    state
	// grantor is the instance that may know of the reservation, empty if none.
	grantor ident.InstanceID
	seq     uint64
	// since is when the kernel asked, askedAt when the grantor was asked.
	since   time.Time
	askedAt time.Time
	// until is when an unanswered ask is given up.
	until time.Time
	// usedAt is when the slot was, or is expected to be, put to use.
	usedAt  time.Time
	started bool
}

// contact is what a holder remembers of a grantor.
type contact struct {
	// incarnation is the life that the view last showed, 0 if it has none.
	incarnation ident.Incarnation
	// failures counts asks in a row that were not answered.
	failures int
	// downUntil is when the grantor may be asked again.
	downUntil time.Time
	// owed counts the Renews that must still be sent after the last Release, so
	// that a grantor hears that nothing is held, even if one is lost.
	owed int
}

// renewsOwed is the number of Renews that follow the last Release at least.
const renewsOwed = 2

// word is what a grantor last said of an engine's free slots.
type word struct {
	at       time.Time
	free     int
	nextFree time.Duration
}

// answer is a reservation's answer that the kernel was not told yet.
type answer struct {
	id      ident.AttemptID
	granted bool
	retryAt time.Time
}

// holder is the part of a Policy that keeps this instance's reservations.
type holder struct {
	holds map[slotkit.Key]*hold
	// open are the holds that are not answered yet, in the order asked.
	open []*hold
	// held counts the slots held by upstream.
	held     map[ident.UpstreamID]int
	contacts map[ident.InstanceID]*contact
	// troubled is how many contacts have failures.
	troubled int
	words    table.Table[word]
	// refused is until when the engine's last refusal is heeded.
	refused   map[ident.UpstreamID]time.Time
	answers   []answer
	flushing  bool
	seq       uint64
	nextRenew time.Time
	nextTidy  time.Time
}

func (o *holder) init() {
	o.holds = map[slotkit.Key]*hold{}
	o.held = map[ident.UpstreamID]int{}
	o.contacts = map[ident.InstanceID]*contact{}
	o.refused = map[ident.UpstreamID]time.Time{}
}

// nextSeq numbers the next message.
func (o *holder) nextSeq() uint64 {
	o.seq++
	return o.seq
}

// answered notes that a grantor answers.
func (o *holder) answered(id ident.InstanceID) {
	c := o.contacts[id]
	if c == nil || c.failures == 0 {
		return
	}
	c.failures = 0
	c.downUntil = time.Time{}
	o.countTroubled()
}

// asking reports whether an ask to the grantor waits for its first answer.
func (o *holder) asking(id ident.InstanceID) bool {
	return slices.ContainsFunc(o.open, func(h *hold) bool {
		return h.grantor == id && h.state == stateAsked
	})
}

// countTroubled counts the contacts that have failures.
func (o *holder) countTroubled() {
	o.troubled = 0
	for _, c := range o.contacts {
		if c.failures > 0 {
			o.troubled++
		}
	}
}

// heard takes a grantor's word unless a newer one is known.
func (o *holder) heard(u *kernel.Upstream, w word) {
	if known := o.words.At(u); !w.at.Before(known.at) {
		*known = w
	}
}

// add enters a new reservation.
func (o *holder) add(h *hold) {
	o.holds[h.key] = h
	if h.state == stateHeld {
		o.held[h.upstream]++
		return
	}
	o.open = append(o.open, h)
}

// keep makes an open reservation a held one.
func (o *holder) keep(h *hold) {
	if h.state == stateHeld {
		return
	}
	o.close(h)
	h.state = stateHeld
	o.held[h.upstream]++
}

// drop removes a reservation.
func (o *holder) drop(h *hold) {
	delete(o.holds, h.key)
	if h.state != stateHeld {
		o.close(h)
		return
	}
	if o.held[h.upstream]--; o.held[h.upstream] == 0 {
		delete(o.held, h.upstream)
	}
}

// close takes a reservation out of the open ones.
func (o *holder) close(h *hold) {
	if i := slices.Index(o.open, h); i >= 0 {
		o.open = slices.Delete(o.open, i, i+1)
	}
}

// sorted returns the reservations in the order of their keys.
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
