package slottest

import (
	"fmt"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Use is one use of a slot in a test, from the reservation to the release.
type Use struct {
	Node   *Node
	Engine *Engine
	ID     ident.AttemptID
	// Lead is the time from the grant to the use, Hold the length of the use.
	Lead, Hold time.Duration
	Pieces     int
	// Due is when the first output is due.
	Due   time.Time
	Asked time.Time
	// Pending is set while the reservation waits for its answer, Over once it
	// was denied or released.
	Pending, Granted, Running, Over bool
	// Answered counts the answers to the pending reservation.
	Answered int
}

// Bed is a world in which tests make and follow uses of slots.
type Bed struct {
	*World
	Uses []*Use
	// Slowest is the longest time to an answer.
	Slowest time.Duration
	// Refused counts the uses that an engine refused.
	Refused int

	byID map[string]*Use
}

const (
	// usualDue and usualDeadline are the times that Reserve gives a use.
	usualDue      = 5 * time.Second
	usualDeadline = 30 * time.Second
	// tryAgain is when a step is tried again whose node is frozen.
	tryAgain = 100 * time.Millisecond
)

// NewBed makes a bed. Messages take a millisecond unless the options say
// otherwise.
func NewBed(o Options) *Bed {
	if o.Network.Delay == 0 {
		o.Network.Delay = time.Millisecond
	}
	b := &Bed{World: NewWorld(o), byID: map[string]*Use{}}
	for _, n := range b.Nodes {
		n.Granted = func(id ident.AttemptID) { b.answer(id, true) }
		n.Denied = func(id ident.AttemptID, _ time.Time) { b.answer(id, false) }
	}
	return b
}

// Reserve begins a use of one piece of memory, unless the node does not run.
func (b *Bed) Reserve(n *Node, e *Engine, lead, hold time.Duration) *Use {
	u := &Use{Node: n, Engine: e, Lead: lead, Hold: hold, Pieces: 1, Due: b.Now().Add(usualDue)}
	b.Ask(u)
	return u
}

// Ask begins a use whose first part is filled in.
func (b *Bed) Ask(u *Use) {
	u.ID = u.Node.Reservation(usualDeadline)
	u.Asked = b.Now()
	u.Node.Do(func() {
		b.Uses = append(b.Uses, u)
		b.byID[u.ID.String()] = u
		answer := u.Node.Policy.Reserve(kernel.SlotAsk{
			Reservation:   u.ID,
			Upstream:      u.Engine.ID,
			Pieces:        u.Pieces,
			Lead:          u.Lead,
			FirstOutputBy: u.Due,
		})
		switch answer.Verdict {
		case kernel.SlotHeld:
			b.take(u)
		case kernel.SlotWaits:
			u.Pending = true
		case kernel.SlotNone:
			u.Over = true
		}
	})
}

// answer follows up the answer to a pending use.
func (b *Bed) answer(id ident.AttemptID, granted bool) {
	u := b.byID[id.String()]
	if !u.Pending {
		panic(fmt.Sprintf("answer for %s which does not wait", id))
	}
	u.Pending = false
	u.Answered++
	b.Slowest = max(b.Slowest, b.Now().Sub(u.Asked))
	if granted {
		b.take(u)
		return
	}
	u.Over = true
}

// take goes on with a granted use: to the engine after the lead.
func (b *Bed) take(u *Use) {
	u.Granted = true
	b.After(u.Lead, func() { b.begin(u) })
}

// begin puts the slot to use.
func (b *Bed) begin(u *Use) {
	if u.Over {
		return
	}
	ran := u.Node.Do(func() {
		if !u.Engine.Start(u.ID, u.Pieces) {
			b.Refused++
			u.Node.Policy.Refused(u.Engine.ID)
			b.Release(u)
			return
		}
		u.Running = true
		u.Node.Policy.Started(u.ID)
		b.After(u.Hold, func() { b.Finish(u) })
	})
	if !ran && !u.Node.Killed() {
		b.After(tryAgain, func() { b.begin(u) })
	}
}

// Finish ends a use. The engine ends its part also when the node does not run.
func (b *Bed) Finish(u *Use) {
	u.Engine.End(u.ID)
	u.Running = false
	if u.Over {
		return
	}
	ran := u.Node.Do(func() { b.Release(u) })
	if !ran && !u.Node.Killed() {
		b.After(tryAgain, func() { b.Finish(u) })
	}
}

// Withdraw ends a use early.
func (b *Bed) Withdraw(u *Use) {
	if u.Over {
		return
	}
	u.Node.Do(func() { b.Release(u) })
	u.Engine.End(u.ID)
	u.Running = false
}

// Release gives the use's reservation back, or withdraws it.
func (b *Bed) Release(u *Use) {
	u.Over = true
	u.Pending = false
	u.Node.Policy.Release(u.ID)
}

// Held counts the uses that hold a slot of the engine, over all nodes that run.
func (b *Bed) Held(e *Engine) int {
	n := 0
	for _, u := range b.Uses {
		if u.Engine == e && u.Granted && !u.Over && !u.Node.Killed() {
			n++
		}
	}
	return n
}

// All changes what every node believes of another one.
func (b *Bed) All(other *Node, life kernel.Life) {
	for _, n := range b.Nodes {
		if n != other {
			n.Believe(other, life)
		}
	}
}
