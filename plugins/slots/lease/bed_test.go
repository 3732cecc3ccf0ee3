package lease

import (
	"fmt"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// use is one use of a slot in a test, from the reservation to the release.
type use struct {
	node     *slottest.Node
	engine   *slottest.Engine
	id       ident.AttemptID
	lead     time.Duration
	hold     time.Duration
	pieces   int
	asked    time.Time
	pending  bool
	answered int
	granted  bool
	running  bool
	over     bool
}

// bed is a world in which tests make and follow uses of slots.
type bed struct {
	*slottest.World
	uses []*use
	byID map[string]*use
	// slowest is the longest time to an answer.
	slowest time.Duration
	refused int
}

func newBed(o slottest.Options, settings Settings) *bed {
	o.Policy = func() kernel.SlotPolicy { return &Policy{Settings: settings} }
	if o.Network.Delay == 0 {
		o.Network.Delay = time.Millisecond
	}
	b := &bed{World: slottest.NewWorld(o), byID: map[string]*use{}}
	for _, n := range b.Nodes {
		n.Granted = func(id ident.AttemptID) { b.answer(id, true) }
		n.Denied = func(id ident.AttemptID, _ time.Time) { b.answer(id, false) }
	}
	return b
}

func policyOf(n *slottest.Node) *Policy { return n.Policy.(*Policy) }

// reserve begins a use, nil if the node does not run.
func (b *bed) reserve(n *slottest.Node, e *slottest.Engine, lead, hold time.Duration) *use {
	u := &use{node: n, engine: e, lead: lead, hold: hold, pieces: 1, asked: b.Now()}
	u.id = n.Reservation(30 * time.Second)
	ran := n.Do(func() {
		b.uses = append(b.uses, u)
		b.byID[u.id.String()] = u
		answer := n.Policy.Reserve(kernel.SlotAsk{
			Reservation: u.id, Upstream: e.ID, Pieces: u.pieces, Lead: lead,
			OutputTokens: 100, FirstOutputBy: b.Now().Add(5 * time.Second),
		})
		switch answer.Verdict {
		case kernel.SlotHeld:
			b.take(u)
		case kernel.SlotWaits:
			u.pending = true
		case kernel.SlotNone:
			u.over = true
		}
	})
	if !ran {
		return nil
	}
	return u
}

// answer follows up the answer to a pending use.
func (b *bed) answer(id ident.AttemptID, granted bool) {
	u := b.byID[id.String()]
	if !u.pending {
		panic(fmt.Sprintf("answer for %s which does not wait", id))
	}
	u.pending = false
	u.answered++
	b.slowest = max(b.slowest, b.Now().Sub(u.asked))
	if granted {
		b.take(u)
		return
	}
	u.over = true
}

// take goes on with a granted use: to the engine after the lead.
func (b *bed) take(u *use) {
	u.granted = true
	b.After(u.lead, func() { b.begin(u) })
}

func (b *bed) begin(u *use) {
	if u.over {
		return
	}
	ran := u.node.Do(func() {
		if !u.engine.Start(u.id, u.pieces) {
			b.refused++
			u.node.Policy.Refused(u.engine.ID)
			b.release(u)
			return
		}
		u.running = true
		u.node.Policy.Started(u.id)
		b.After(u.hold, func() { b.finish(u) })
	})
	if !ran && !u.node.Killed() {
		b.After(100*time.Millisecond, func() { b.begin(u) })
	}
}

// finish ends a use. The engine ends its part also when the node does not run.
func (b *bed) finish(u *use) {
	u.engine.End(u.id)
	u.running = false
	if u.over {
		return
	}
	ran := u.node.Do(func() { b.release(u) })
	if !ran && !u.node.Killed() {
		b.After(100*time.Millisecond, func() { b.finish(u) })
	}
}

// withdraw ends a use early.
func (b *bed) withdraw(u *use) {
	if u.over {
		return
	}
	u.node.Do(func() { b.release(u) })
	u.engine.End(u.id)
	u.running = false
}

func (b *bed) release(u *use) {
	u.over = true
	u.pending = false
	u.node.Policy.Release(u.id)
}

// held counts the uses that hold a slot of the engine, over all nodes that run.
func (b *bed) held(e *slottest.Engine) int {
	n := 0
	for _, u := range b.uses {
		if u.engine == e && u.granted && !u.over && !u.node.Killed() {
			n++
		}
	}
	return n
}

// grantor returns the node that grants the engine's slots by n's view.
func (b *bed) grantor(n *slottest.Node, e *slottest.Engine) *slottest.Node {
	var id ident.InstanceID
	n.Do(func() {
		p := policyOf(n)
		p.followView()
		id = p.roster.Grantor(n.Upstream(e.ID))
	})
	return b.Node(id)
}

// all changes what every node believes of another one.
func (b *bed) all(other *slottest.Node, life kernel.Life) {
	for _, n := range b.Nodes {
		if n != other {
			n.Believe(other, life)
		}
	}
}
