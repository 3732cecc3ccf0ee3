package shares

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// engine is this instance's record of the slots it uses, lends and borrows at
// one engine.
type engine struct {
	id ident.UpstreamID
	// held is the number of slots that this instance has reserved.
	held int
	// loans are the slots lent, by borrower, and credits the slots borrowed, by
	// owner. Both are sorted by instance ID.
	loans   []loan
	credits []credit
	// lender is the instance that last lent a slot to this one.
	lender ident.InstanceID
	// refusedUntil is the time until which no slot is used after the engine
	// refused a request.
	refusedUntil time.Time
}

// loan records the slots lent to one borrower.
type loan struct {
	borrower ident.InstanceID
	count    int
	// totalLent counts the slots lent so far, including those that were
	// returned.
	totalLent int
	// confirmSeq is the sequence number of the borrower's newest Confirm.
	confirmSeq uint64
	// lentAt is when a slot was last lent, lastConfirmed when one was last lent
	// or the loan was last confirmed.
	lentAt, lastConfirmed time.Time
	// recalled is set while a Recall has not been answered.
	recalled bool
}

// credit records the slots borrowed from one owner.
type credit struct {
	owner ident.InstanceID
	count int
	// totalReceived counts the slots received so far; seenSeqs are the sequence
	// numbers of the newest Lend messages.
	totalReceived int
	seenSeqs      []uint64
	// recalled is set while the owner waits for a slot to be returned.
	recalled bool
	// idleSince is the time since which a borrowed slot has not been needed.
	idleSince time.Time
}

// engineOf returns the record of an engine, creating it if there is none.
func (p *Policy) engineOf(id ident.UpstreamID) *engine {
	i, ok := slices.BinarySearchFunc(p.engines, id, func(e *engine, id ident.UpstreamID) int {
		return compare(e.id, id)
	})
	if !ok {
		p.engines = slices.Insert(p.engines, i, &engine{id: id})
	}
	return p.engines[i]
}

// compare returns -1, 0 or 1 as a is less than, equal to or greater than b.
func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// lentOut returns the number of slots lent to other instances.
func (e *engine) lentOut() int {
	n := 0
	for i := range e.loans {
		n += e.loans[i].count
	}
	return n
}

// borrowed returns the number of slots borrowed from other instances.
func (e *engine) borrowed() int {
	n := 0
	for i := range e.credits {
		n += e.credits[i].count
	}
	return n
}

// loanTo returns the loan to a borrower, creating it if there is none.
func (e *engine) loanTo(id ident.InstanceID) *loan {
	i, ok := slices.BinarySearchFunc(e.loans, id, func(l loan, id ident.InstanceID) int {
		return compare(l.borrower, id)
	})
	if !ok {
		e.loans = slices.Insert(e.loans, i, loan{borrower: id})
	}
	return &e.loans[i]
}

// creditFrom returns the credit from an owner, creating it if there is none.
func (e *engine) creditFrom(id ident.InstanceID) *credit {
	i, ok := slices.BinarySearchFunc(e.credits, id, func(c credit, id ident.InstanceID) int {
		return compare(c.owner, id)
	})
	if !ok {
		e.credits = slices.Insert(e.credits, i, credit{owner: id})
	}
	return &e.credits[i]
}

// free returns how many more slots this instance may use now. The result may be
// negative.
func (p *Policy) free(e *engine, u *kernel.Upstream) int {
	if p.host.Now().Before(e.refusedUntil) {
		return 0
	}
	own := p.roster.Share(p.self(), u.ID, slotkit.Slots(u))
	return own - e.lentOut() + e.borrowed() - e.held
}
