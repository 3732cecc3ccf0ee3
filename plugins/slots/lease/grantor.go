package lease

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// grantor is the part of a Policy that leases out slots.
type grantor struct {
	// ledgers are kept in the order of their upstreams' IDs.
	ledgers []*ledger
	peers   map[ident.InstanceID]*peer
}

// peer is what a grantor remembers of a holder's messages, so that it can tell
// old ones from new.
type peer struct {
	incarnation ident.Incarnation
	// renewed and released are the numbers of the newest such messages.
	renewed, released uint64
}

func (g *grantor) init() { g.peers = map[ident.InstanceID]*peer{} }

// ledger returns the upstream's ledger, nil if this instance keeps none.
func (g *grantor) ledger(id ident.UpstreamID) *ledger {
	i, ok := g.place(id)
	if !ok {
		return nil
	}
	return g.ledgers[i]
}

func (g *grantor) place(id ident.UpstreamID) (int, bool) {
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

// peer returns what is remembered of a holder in the given incarnation, nil if
// the message comes from an earlier life of it.
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

// verdict is a grantor's answer to an ask.
type verdict int

const (
	verdictGranted verdict = iota + 1
	verdictQueued
	verdictDenied
)

// decide answers an ask, which may be a repeated one.
func (p *Policy) decide(l *ledger, u *kernel.Upstream, holder ident.InstanceID, ask Ask) verdict {
	key := ask.Reservation.Key()
	if l.find(key) >= 0 {
		return verdictGranted
	}
	if l.queue.find(key) >= 0 {
		return verdictQueued
	}
	now := p.host.Now()
	l.noteAsk(&ask)
	w := waitingAsk{ask: ask, key: key, holder: holder, by: dueTime(ask, now), until: now.Add(p.QueueWait)}
	if p.room(l, u, &w) && len(l.queue) == 0 {
		p.enter(l, u, &w)
		return verdictGranted
	}
	if ask.NoWait || !p.enqueue(l, w) {
		return verdictDenied
	}
	p.drain(l, u)
	if l.find(key) >= 0 {
		return verdictGranted
	}
	if l.queue.find(key) < 0 {
		return verdictDenied
	}
	return verdictQueued
}

// dueTime returns when the ask's first output is due. An ask without a due time
// goes by its reservation's deadline, and so does one whose due time is past:
// its request is wanted although it is late, as when an output is resumed.
func dueTime(ask Ask, now time.Time) time.Time {
	by := time.UnixMilli(ask.FirstOutputBy)
	if !by.After(now) {
		return ask.Reservation.Deadline
	}
	return by
}

// enqueue puts an ask in the queue, in place of the last one if it is full.
func (p *Policy) enqueue(l *ledger, w waitingAsk) bool {
	if !w.feasible(p.host.Now()) {
		return false
	}
	if len(l.queue) >= p.QueueLimit {
		last := len(l.queue) - 1
		if !w.by.Before(l.queue[last].by) {
			return false
		}
		p.deny(l, l.queue.take(last))
	}
	l.queue.insert(w)
	return true
}

// room reports whether the ask can be granted now.
func (p *Policy) room(l *ledger, u *kernel.Upstream, w *waitingAsk) bool {
	now := p.host.Now()
	if !slotkit.Usable(u) || !p.roomForPieces(l, u, w.ask.Pieces) {
		return false
	}
	return len(l.leases) < l.limit(u, now, p.Margin)
}

// roomForPieces reports whether the engine's memory has room for more. An ask
// for more than the whole memory is let through when the engine is empty, for
// the engine to refuse.
func (p *Policy) roomForPieces(l *ledger, u *kernel.Upstream, pieces int) bool {
	total := slotkit.Pieces(u)
	return total == 0 || len(l.leases) == 0 || l.pieces()+pieces <= total
}

// enter records the lease that answers an ask.
func (p *Policy) enter(l *ledger, u *kernel.Upstream, w *waitingAsk) {
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

// maxPassed bounds how often an ask that needs much memory is passed by later
// ones that need less.
const maxPassed = 8

// drain answers the asks in the queue that can be answered.
func (p *Policy) drain(l *ledger, u *kernel.Upstream) {
	p.denyHopeless(l)
	for i := 0; i < len(l.queue); {
		w := &l.queue[i]
		if p.room(l, u, w) {
			p.grantQueued(l, u, i)
			i = 0
			continue
		}
		if p.roomForPieces(l, u, w.ask.Pieces) || w.passed >= maxPassed {
			return
		}
		i++
	}
}

// denyHopeless turns away the asks that have waited long enough or can no
// longer be met in time.
func (p *Policy) denyHopeless(l *ledger) {
	now := p.host.Now()
	for i := 0; i < len(l.queue); {
		if l.queue[i].feasible(now) && now.Before(l.queue[i].until) {
			i++
			continue
		}
		p.deny(l, l.queue.take(i))
	}
}

// grantQueued grants the ask at place i of the queue.
func (p *Policy) grantQueued(l *ledger, u *kernel.Upstream, i int) {
	for j := range i {
		l.queue[j].passed++
	}
	w := l.queue.take(i)
	p.enter(l, u, &w)
	if w.holder == p.self() {
		p.granted(w.key)
		return
	}
	p.host.Send(w.holder, &Grant{Reservation: w.ask.Reservation, Upstream: l.upstream, Free: p.free(l, u)})
}

// deny refuses an ask that was queued.
func (p *Policy) deny(l *ledger, w waitingAsk) {
	retry := p.retryIn(l)
	if w.holder == p.self() {
		p.denied(w.key, p.host.Now().Add(retry))
		return
	}
	p.host.Send(w.holder, p.denial(l, w.ask, retry))
}

func (p *Policy) denial(l *ledger, ask Ask, retry time.Duration) *Deny {
	return &Deny{
		Reservation: ask.Reservation,
		Upstream:    l.upstream,
		Seq:         ask.Seq,
		RetryIn:     millis(retry),
		NextFree:    millis(l.wait()),
	}
}

// Bounds on when a denied holder is told to ask again.
const (
	minRetry = 20 * time.Millisecond
	maxRetry = 1 * time.Second
)

// retryAfter returns when a holder is to ask again: at once if it believes that
// another engine has a free slot, having learned that this one has none.
func (p *Policy) retryAfter(l *ledger, ask Ask) time.Duration {
	if ask.NoWait {
		return 0
	}
	return p.retryIn(l)
}

// retryIn returns when an ask made now is likely to find a slot, jittered so
// that holders denied together do not come back together.
func (p *Policy) retryIn(l *ledger) time.Duration {
	wait := l.nextFree() * time.Duration(len(l.queue)+1)
	wait = min(max(wait, minRetry), maxRetry)
	return wait + time.Duration(p.host.Rand().Int64N(int64(wait)/2+1))
}

// free returns how many slots an ask made now could get.
func (p *Policy) free(l *ledger, u *kernel.Upstream) int {
	if len(l.queue) > 0 || !slotkit.Usable(u) || !p.roomForPieces(l, u, int(l.need)) {
		return 0
	}
	now := p.host.Now()
	return max(l.limit(u, now, p.Margin)-len(l.leases), 0)
}

// release ends a lease or takes an ask out of the queue.
func (p *Policy) release(l *ledger, u *kernel.Upstream, key slotkit.Key, seq uint64, held time.Duration) {
	now := p.host.Now()
	if i := l.queue.find(key); i >= 0 && l.queue[i].ask.Seq < seq {
		l.queue.take(i)
	}
	i := l.find(key)
	if i < 0 || l.leases[i].seq >= seq {
		return
	}
	if held > 0 {
		l.noteHold(held)
	}
	l.end(i, now, slotkit.Slots(u))
	p.drain(l, u)
}
