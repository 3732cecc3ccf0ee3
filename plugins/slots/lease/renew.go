package lease

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// renewAll sends each grantor the list of the leases and open asks that this
// instance has there. Reservations whose deadline has passed are not listed,
// because their leases have expired.
func (p *Policy) renewAll() {
	lists := p.renewLists()
	for _, id := range p.renewTargets(lists) {
		p.sendRenew(id, lists[id])
	}
}

// renewLists groups the reservations by the grantor of their engine. It leaves
// out those whose grantor is this instance.
func (p *Policy) renewLists() map[ident.InstanceID][]*hold {
	lists := map[ident.InstanceID][]*hold{}
	now := p.host.Now()
	for _, h := range p.holder.sorted() {
		u := p.host.Upstream(h.upstream)
		if u == nil || !h.id.Deadline.After(now) {
			continue
		}
		id := p.roster.Grantor(u)
		if id == "" || id == p.self() {
			continue
		}
		lists[id] = append(lists[id], h)
	}
	return lists
}

// renewTargets returns the sorted IDs of the grantors to which a Renew must be
// sent: those in lists, and those to which Renews are still owed after the last
// Release.
func (p *Policy) renewTargets(lists map[ident.InstanceID][]*hold) []ident.InstanceID {
	var due []ident.InstanceID
	for id := range lists {
		p.grantorRecord(id).pendingRenews = renewsAfterRelease
	}
	for id, g := range p.holder.grantors {
		if g.pendingRenews > 0 {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// sendRenew sends a grantor the list of the holds.
func (p *Policy) sendRenew(to ident.InstanceID, holds []*hold) {
	p.grantorRecord(to).pendingRenews--
	m := &Renew{Incarnation: p.host.Self().Incarnation, Seq: p.holder.nextSeq()}
	now := p.host.Now()
	for _, h := range holds {
		h.grantor = to
		m.add(h, now)
	}
	p.host.Send(to, m)
}

// add adds one reservation to the list.
func (m *Renew) add(h *hold, now time.Time) {
	i := slices.IndexFunc(m.Engines, func(e RenewEngine) bool { return e.Upstream == h.upstream })
	if i < 0 {
		i = len(m.Engines)
		m.Engines = append(m.Engines, RenewEngine{Upstream: h.upstream})
	}
	m.Engines[i].Leases = append(m.Engines[i].Leases, RenewLease{
		Sequence: h.key.Sequence,
		Deadline: h.id.Deadline.UnixMilli(),
		Pieces:   h.ask.Pieces,
		Used:     timeInUse(h, now),
		Open:     h.state != stateHeld,
	})
}

// timeInUse returns the value of RenewLease.Used for a hold: at least 1 if the
// slot is in use, otherwise 0 or less. If the expected start of a slot that is
// not in use has already passed, the result is 0.
func timeInUse(h *hold, now time.Time) Milliseconds {
	used := Milliseconds(now.Sub(h.usedAt) / time.Millisecond)
	if !h.started {
		return min(used, 0)
	}
	return max(used, 1)
}

// receiveRenew updates this grantor's ledgers from a holder's list. A Renew that
// is not newer than the last one received is ignored.
func (p *Policy) receiveRenew(from ident.InstanceID, m *Renew) {
	sender := p.grantor.peer(from, m.Incarnation)
	if sender == nil || m.Seq <= sender.lastRenewSeq {
		return
	}
	sender.lastRenewSeq = m.Seq
	overtaken := m.Seq < sender.lastReleaseSeq
	for _, l := range p.grantor.ledgers {
		u := p.host.Upstream(l.upstream)
		if u == nil {
			continue
		}
		var listed []RenewLease
		if i := slices.IndexFunc(m.Engines, func(e RenewEngine) bool { return e.Upstream == l.upstream }); i >= 0 {
			listed = m.Engines[i].Leases
		}
		l.renewedBy[from] = struct{}{}
		p.reconcile(l, u, from, m, listed, overtaken)
		p.endTakeOver(l)
		p.serveQueue(l, u)
	}
}

// reconcile updates one ledger from the part of a Renew that concerns its
// engine. It ends the holder's leases and asks that are not listed and older
// than the Renew, and records listed leases that this grantor does not know. If
// a Release that was sent after the Renew has already arrived (overtaken),
// unknown leases are not recorded, because the Release may have ended them.
func (p *Policy) reconcile(l *ledger, u *kernel.Upstream, from ident.InstanceID, m *Renew, listed []RenewLease, overtaken bool) {
	slots := slotkit.Slots(u)
	now := p.host.Now()
	unlisted := func(key slotkit.Key, seq uint64) bool {
		return key.Instance == from && key.Incarnation == m.Incarnation && seq < m.Seq &&
			!slices.ContainsFunc(listed, func(r RenewLease) bool { return r.Sequence == key.Sequence })
	}
	for i := len(l.leases) - 1; i >= 0; i-- {
		if unlisted(l.leases[i].key, l.leases[i].seq) {
			l.end(i, now, slots)
		}
	}
	l.queue = slices.DeleteFunc(l.queue, func(w waitingAsk) bool { return unlisted(w.key, w.ask.Seq) })
	for _, r := range listed {
		p.reconcileLease(l, u, from, m, r, overtaken)
	}
}

// reconcileLease updates the ledger from one listed lease or open ask.
func (p *Policy) reconcileLease(l *ledger, u *kernel.Upstream, from ident.InstanceID, m *Renew, r RenewLease, overtaken bool) {
	key := slotkit.Key{Instance: from, Incarnation: m.Incarnation, Sequence: r.Sequence}
	usedAt := p.host.Now().Add(-r.Used.Duration())
	i := l.find(key)
	switch {
	case i >= 0 && r.Open:
		p.resendGrant(l, u, &l.leases[i], from)
	case i >= 0:
		l.leases[i].usedAt = usedAt
	case !r.Open && !overtaken:
		p.addUnknownLease(l, u, key, m.Seq, r, usedAt)
	}
}

// resendGrant sends the Grant of a lease again, because the holder still lists
// its ask as open.
func (p *Policy) resendGrant(l *ledger, u *kernel.Upstream, x *lease, to ident.InstanceID) {
	id := ident.AttemptID{
		Instance:    x.key.Instance,
		Incarnation: x.key.Incarnation,
		Sequence:    x.key.Sequence,
		Deadline:    x.expires,
	}
	p.host.Send(to, &Grant{Reservation: slotkit.Reservation(id), Upstream: l.upstream, Free: p.free(l, u)})
}

// addUnknownLease records a lease that another grantor gave or that the holder
// took from its static share.
func (p *Policy) addUnknownLease(l *ledger, u *kernel.Upstream, key slotkit.Key, seq uint64, r RenewLease, usedAt time.Time) {
	now := p.host.Now()
	granted := now
	if usedAt.Before(now) {
		granted = usedAt
	}
	expires := time.UnixMilli(r.Deadline)
	if !expires.After(now) {
		return
	}
	if i := l.queue.find(key); i >= 0 {
		// The holder took a slot without waiting for the answer to its ask.
		l.queue.remove(i)
	}
	l.add(lease{
		key:     key,
		expires: expires,
		pieces:  r.Pieces,
		seq:     seq,
		granted: granted,
		usedAt:  usedAt,
	}, slotkit.Slots(u))
}
