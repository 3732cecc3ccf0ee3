package shares

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// engine is what is known of one engine's shares.
type engine struct {
	id ident.UpstreamID
	// held is the number of slots this instance uses or is about to.
	held int
	// loans are the slots lent out, by borrower, credits the slots borrowed, by
	// owner, each sorted by instance.
	loans   []loan
	credits []credit
	// lender is the instance that lent last.
	lender ident.InstanceID
	// refusedUntil is until when a refusal of the engine is heeded.
	refusedUntil time.Time
}

// loan is the slots lent to one borrower.
type loan struct {
	borrower ident.InstanceID
	count    int
	// given counts the slots lent so far.
	given int
	// confirmed is the number of the borrower's newest Confirm.
	confirmed uint64
	// lent and heard are when a slot was last lent and the loan last confirmed.
	lent, heard time.Time
	recalled    bool
}

// credit is the slots borrowed from one owner.
type credit struct {
	owner ident.InstanceID
	count int
	// got counts the loans heard of; seen are the numbers of the newest.
	got      int
	seen     []uint64
	recalled bool
	// idleSince is since when a slot of it was not needed.
	idleSince time.Time
}

// engineOf returns what is known of an engine.
func (p *Policy) engineOf(id ident.UpstreamID) *engine {
	i, ok := slices.BinarySearchFunc(p.engines, id, func(e *engine, id ident.UpstreamID) int {
		return compare(e.id, id)
	})
	if !ok {
		p.engines = slices.Insert(p.engines, i, &engine{id: id})
	}
	return p.engines[i]
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (e *engine) lentOut() int {
	n := 0
	for i := range e.loans {
		n += e.loans[i].count
	}
	return n
}

func (e *engine) borrowed() int {
	n := 0
	for i := range e.credits {
		n += e.credits[i].count
	}
	return n
}

// loanTo returns the loan to a borrower, opening it if need be.
func (e *engine) loanTo(id ident.InstanceID) *loan {
	i, ok := slices.BinarySearchFunc(e.loans, id, func(l loan, id ident.InstanceID) int {
		return compare(l.borrower, id)
	})
	if !ok {
		e.loans = slices.Insert(e.loans, i, loan{borrower: id})
	}
	return &e.loans[i]
}

// creditFrom returns the credit of an owner, opening it if need be.
func (e *engine) creditFrom(id ident.InstanceID) *credit {
	i, ok := slices.BinarySearchFunc(e.credits, id, func(c credit, id ident.InstanceID) int {
		return compare(c.owner, id)
	})
	if !ok {
		e.credits = slices.Insert(e.credits, i, credit{owner: id})
	}
	return &e.credits[i]
}

// free returns how many more slots this instance may use now.
func (p *Policy) free(e *engine, u *kernel.Upstream) int {
	if p.host.Now().Before(e.refusedUntil) {
		return 0
	}
	own := p.roster.Share(p.self(), u.ID, slotkit.Slots(u))
	return own - e.lentOut() + e.borrowed() - e.held
}
