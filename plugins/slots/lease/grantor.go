package lease

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// grantor is the part of a Policy that leases slots to holders.
type grantor struct {
	// ledgers has one ledger for each engine whose grantor is this instance,
	// sorted by upstream ID.
	ledgers []*ledger
	peers   map[ident.InstanceID]*peer
}

// peer records how far a holder's messages have been processed, so that the
// grantor can recognize outdated ones.
type peer struct {
	incarnation ident.Incarnation
	// lastRenewSeq and lastReleaseSeq are the highest sequence numbers of a
	// Renew and of a Release received from the holder.
	lastRenewSeq, lastReleaseSeq uint64
}

func (g *grantor) init() { g.peers = map[ident.InstanceID]*peer{} }

// ledger returns the upstream's ledger, or nil if this instance has none.
func (g *grantor) ledger(id ident.UpstreamID) *ledger {
	i, ok := g.ledgerIndex(id)
	if !ok {
		return nil
	}
	return g.ledgers[i]
}

// ledgerIndex returns the index at which the upstream's ledger is, or would
// have to be inserted, and whether it exists.
func (g *grantor) ledgerIndex(id ident.UpstreamID) (int, bool) {
	return slices.BinarySearchFunc(g.ledgers, id, func(l *ledger, id ident.UpstreamID) int {
		switch {
		case l.upstream < id:
			return -1
		case l.upstream > id:
			return 1
		}
		return 0
	})
}

// peer returns the record of a holder, creating or resetting it if the
// incarnation is new. It returns nil if a later incarnation of the holder is
// known, in which case the message is outdated and must be ignored.
func (g *grantor) peer(id ident.InstanceID, incarnation ident.Incarnation) *peer {
	known := g.peers[id]
	switch {
	case known == nil || known.incarnation < incarnation:
		known = &peer{incarnation: incarnation}
		g.peers[id] = known
	case known.incarnation > incarnation:
		return nil
	}
	return known
}

// decision is a grantor's decision on an ask.
type decision int

const (
	decisionGranted decision = iota + 1
	decisionQueued
	decisionDenied
)

// decide grants, queues or denies an ask. A repeated ask for a reservation that
// is already leased or queued gets the same decision again.
func (p *Policy) decide(l *ledger, u *kernel.Upstream, holder ident.InstanceID, ask Ask) decision {
	key := ask.Reservation.Key()
	if l.find(key) >= 0 {
		return decisionGranted
	}
	if l.queue.find(key) >= 0 {
		return decisionQueued
	}
	now := p.host.Now()
	l.observeAsk(&ask)
	w := waitingAsk{ask: ask, key: key, holder: holder, dueAt: dueTime(ask, now), waitEnd: now.Add(p.QueueWait)}
	if p.canGrant(l, u, &w) && len(l.queue) == 0 {
		p.recordLease(l, u, &w)
		return decisionGranted
	}
	if ask.NoWait || !p.enqueue(l, w) {
		return decisionDenied
	}
	p.serveQueue(l, u)
	if l.find(key) >= 0 {
		return decisionGranted
	}
	if l.queue.find(key) < 0 {
		return decisionDenied
	}
	return decisionQueued
}

// dueTime returns when the ask's first output is due. This is the reservation's
// deadline if the ask has no due time, or if its due time has passed: the
// request is then still wanted although it is late, for example because an
// interrupted output is resumed.
func dueTime(ask Ask, now time.Time) time.Time {
	by := time.UnixMilli(ask.FirstOutputBy)
	if !by.After(now) {
		return ask.Reservation.Deadline
	}
	return by
}

// enqueue adds an ask to the queue and reports whether it did. An ask that
// cannot meet its due time is not queued. If the queue is full, the ask with the
// latest due time is denied in favor of an ask that is due earlier.
func (p *Policy) enqueue(l *ledger, w waitingAsk) bool {
	if !w.feasible(p.host.Now()) {
		return false
	}
	if len(l.queue) >= p.QueueLimit {
		last := len(l.queue) - 1
		if !w.dueAt.Before(l.queue[last].dueAt) {
			return false
		}
		p.deny(l, l.queue.remove(last))
	}
	l.queue.insert(w)
	return true
}

// canGrant reports whether the engine has a slot and enough memory to grant the
// ask now. It does not consider the asks that are queued before it.
func (p *Policy) canGrant(l *ledger, u *kernel.Upstream, w *waitingAsk) bool {
	now := p.host.Now()
	if !slotkit.Usable(u) || !p.fitsMemory(l, u, w.ask.Pieces) {
		return false
	}
	return len(l.leases) < l.limit(u, now, p.Margin)
}

// fitsMemory reports whether the given number of pieces fits into the part of
// the engine's KV memory that is not leased. It is always true if the engine's
// memory is not known or nothing is leased. So an ask for more than the whole
// memory is granted when the engine is empty, and the engine refuses it;
// otherwise it could never leave the queue.
func (p *Policy) fitsMemory(l *ledger, u *kernel.Upstream, pieces int) bool {
	total := slotkit.Pieces(u)
	return total == 0 || len(l.leases) == 0 || l.pieces()+pieces <= total
}

// recordLease adds the lease for a granted ask to the ledger.
func (p *Policy) recordLease(l *ledger, u *kernel.Upstream, w *waitingAsk) {
	now := p.host.Now()
	l.add(lease{
		key:     w.key,
		expires: w.ask.Reservation.Deadline,
		pieces:  w.ask.Pieces,
		seq:     w.ask.Seq,
		granted: now,
		usedAt:  now.Add(w.ask.Lead.Duration()),
	}, slotkit.Slots(u))
}

// maxOvertakes limits how many later asks that need less memory may be granted
// ahead of an ask whose memory is not available yet, so that it does not starve.
const maxOvertakes = 8

// serveQueue denies the queued asks that have expired and grants those for
// which there is a free slot and memory. Asks are granted in the order of the
// queue, except that an ask waiting for memory may be overtaken up to
// maxOvertakes times.
func (p *Policy) serveQueue(l *ledger, u *kernel.Upstream) {
	p.denyExpired(l)
	for i := 0; i < len(l.queue); {
		w := &l.queue[i]
		if p.canGrant(l, u, w) {
			p.grantQueued(l, u, i)
			i = 0
			continue
		}
		if p.fitsMemory(l, u, w.ask.Pieces) || w.overtakes >= maxOvertakes {
			return
		}
		i++
	}
}

// denyExpired denies the queued asks that have reached their maximum wait or
// can no longer meet their due time.
func (p *Policy) denyExpired(l *ledger) {
	now := p.host.Now()
	for i := 0; i < len(l.queue); {
		if l.queue[i].feasible(now) && now.Before(l.queue[i].waitEnd) {
			i++
			continue
		}
		p.deny(l, l.queue.remove(i))
	}
}

// grantQueued grants the ask at index i of the queue and counts it as having
// overtaken the asks before it.
func (p *Policy) grantQueued(l *ledger, u *kernel.Upstream, i int) {
	for j := range i {
		l.queue[j].overtakes++
	}
	w := l.queue.remove(i)
	p.recordLease(l, u, &w)
	if w.holder == p.self() {
		p.granted(w.key)
		return
	}
	p.host.Send(w.holder, &Grant{Reservation: w.ask.Reservation, Upstream: l.upstream, Free: p.free(l, u)})
}

// deny denies an ask that has been removed from the queue.
func (p *Policy) deny(l *ledger, w waitingAsk) {
	retry := p.queueRetryDelay(l)
	if w.holder == p.self() {
		p.denied(w.key, p.host.Now().Add(retry))
		return
	}
	p.host.Send(w.holder, p.denyMessage(l, w.ask, retry))
}

// denyMessage returns the message that denies an ask and tells the holder to
// retry after the given time.
func (p *Policy) denyMessage(l *ledger, ask Ask, retry time.Duration) *Deny {
	return &Deny{
		Reservation: ask.Reservation,
		Upstream:    l.upstream,
		Seq:         ask.Seq,
		RetryIn:     millis(retry),
		NextFree:    millis(l.wait()),
	}
}

// Bounds on the delay, before jitter, after which a denied holder may ask again.
const (
	minRetry = 20 * time.Millisecond
	maxRetry = 1 * time.Second
)

// denyRetryDelay returns the delay after which a denied holder may ask again.
// It is zero for a NoWait ask: the holder believes that another engine has a
// free slot, and now knows that this engine has none.
func (p *Policy) denyRetryDelay(l *ledger, ask Ask) time.Duration {
	if ask.NoWait {
		return 0
	}
	return p.queueRetryDelay(l)
}

// queueRetryDelay returns the expected time until a new ask would find a free
// slot, within minRetry and maxRetry, plus up to half as much jitter. The
// jitter keeps holders that were denied at the same time from retrying at the
// same time.
func (p *Policy) queueRetryDelay(l *ledger) time.Duration {
	wait := l.nextFree() * time.Duration(len(l.queue)+1)
	wait = min(max(wait, minRetry), maxRetry)
	return wait + time.Duration(p.host.Rand().Int64N(int64(wait)/2+1))
}

// free returns how many slots could be leased to new asks now. It is zero while
// asks are queued, or if the memory left does not suffice for an average ask.
func (p *Policy) free(l *ledger, u *kernel.Upstream) int {
	if len(l.queue) > 0 || !slotkit.Usable(u) || !p.fitsMemory(l, u, int(l.meanPieces)) {
		return 0
	}
	now := p.host.Now()
	return max(l.limit(u, now, p.Margin)-len(l.leases), 0)
}

// release ends a reservation's lease or removes its ask from the queue, unless
// the lease or ask has the same or a higher sequence number than the release.
// held is how long the slot was in use, or 0 if it never was.
func (p *Policy) release(l *ledger, u *kernel.Upstream, key slotkit.Key, seq uint64, held time.Duration) {
	now := p.host.Now()
	if i := l.queue.find(key); i >= 0 && l.queue[i].ask.Seq < seq {
		l.queue.remove(i)
	}
	i := l.find(key)
	if i < 0 || l.leases[i].seq >= seq {
		return
	}
	if held > 0 {
		l.observeHoldTime(held)
	}
	l.end(i, now, slotkit.Slots(u))
	p.serveQueue(l, u)
}
