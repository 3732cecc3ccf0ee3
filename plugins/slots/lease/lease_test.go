package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// three is a world of three instances that share one engine of four slots.
func three(settings Settings) *bed {
	b := newBed(slottest.Options{
		Seed: 1, Instances: 3, Engines: 1, Slots: 4, Pieces: 100,
		LoadEvery: 500 * time.Millisecond, LoadLag: 200 * time.Millisecond,
	}, settings)
	b.Run(2 * time.Second)
	return b
}

func TestSlotsAreSharedWithoutOvercommitting(t *testing.T) {
	b := three(Settings{})
	for range 4 {
		for _, n := range b.Nodes {
			b.Reserve(n, b.Engines[0], 10*time.Millisecond, 600*time.Millisecond)
		}
	}
	b.Run(100 * time.Millisecond)
	assert.Equal(t, b.Held(b.Engines[0]), 4)
	assert.Equal(t, b.Engines[0].Running(), 4)
	b.Run(600 * time.Millisecond)
	// Those that waited were granted the slots that fell free, in one message.
	assert.Equal(t, b.Engines[0].Running(), 4)
	assert.Equal(t, b.Refused, 0)
	b.Run(10 * time.Second)
	assertQuiet(t, b)
}

// assertQuiet checks that nothing is held, waits or is remembered as leased.
func assertQuiet(t assert.TestingT, b *bed) {
	for _, n := range b.Nodes {
		if n.Killed() {
			continue
		}
		p := policyOf(n)
		assert.Equal(t, len(p.holder.holds), 0, "holds at %s", n.ID())
		assert.Equal(t, len(p.holder.open), 0, "open asks at %s", n.ID())
		assert.Equal(t, len(p.holder.held), 0, "held counts at %s", n.ID())
		assert.Equal(t, len(p.holder.answers), 0, "answers at %s", n.ID())
		for _, l := range p.grantor.ledgers {
			assert.Equal(t, len(l.leases), 0, "leases at %s", n.ID())
			assert.Equal(t, len(l.queue), 0, "queue at %s", n.ID())
		}
	}
}

func TestGrantorKilled(t *testing.T) {
	b := three(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	others := without(b.Nodes, g)
	b.Reserve(others[0], e, 10*time.Millisecond, 4*time.Second)
	b.Run(100 * time.Millisecond)
	g.Kill()
	// The others fall back to their shares at once: a third of four slots, of
	// which the first use has taken one.
	u := b.Reserve(others[1], e, 10*time.Millisecond, 4*time.Second)
	b.Run(200 * time.Millisecond)
	assert.Assert(t, u.Granted)
	b.All(g, kernel.Dead)
	b.Run(1200 * time.Millisecond)
	next := b.grantor(others[0], e)
	assert.Assert(t, next != g)
	// The new grantor has learned of both.
	assert.Equal(t, len(policyOf(next).grantor.ledgers[0].leases), 2)
	for range 4 {
		b.Reserve(others[0], e, 10*time.Millisecond, time.Second)
	}
	b.Run(100 * time.Millisecond)
	assert.Equal(t, b.Held(e), 4)
	b.Run(10 * time.Second)
	assert.Equal(t, b.Refused, 0)
	assertQuiet(t, b)
}

func without(nodes []*slottest.Node, gone *slottest.Node) []*slottest.Node {
	var rest []*slottest.Node
	for _, n := range nodes {
		if n != gone {
			rest = append(rest, n)
		}
	}
	return rest
}

func TestGrantorFrozen(t *testing.T) {
	b := three(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	others := without(b.Nodes, g)
	g.Freeze()
	u := b.Reserve(others[0], e, 10*time.Millisecond, time.Second)
	b.Run(100 * time.Millisecond)
	assert.Assert(t, u.Pending)
	b.Run(100 * time.Millisecond)
	assert.Assert(t, u.Granted, "granted from the share after the timeout")
	assert.Assert(t, b.Slowest <= defaultAskTimeout+time.Millisecond, "%v", b.Slowest)
	// The next one does not wait for the grantor.
	v := b.Reserve(others[0], e, 10*time.Millisecond, time.Second)
	assert.Assert(t, !v.Pending)
	b.Run(time.Second)
	g.Thaw()
	b.Run(10 * time.Second)
	w := b.Reserve(others[0], e, 10*time.Millisecond, time.Second)
	b.Run(10 * time.Millisecond)
	assert.Assert(t, w.Granted, "asked again once it is back")
	assert.Equal(t, w.Node, others[0])
	b.Run(10 * time.Second)
	assertQuiet(t, b)
}

// TestSharesWithoutGrantor: without their grantor the others use no more than
// their shares.
func TestSharesWithoutGrantor(t *testing.T) {
	b := three(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	others := without(b.Nodes, g)
	g.Freeze()
	for range 4 {
		for _, n := range others {
			b.Reserve(n, e, 10*time.Millisecond, time.Second)
		}
	}
	b.Run(300 * time.Millisecond)
	own := policyOf(g).roster.Share(g.ID(), e.ID, e.Slots)
	assert.Equal(t, b.Held(e), e.Slots-own)
	assert.Equal(t, b.Refused, 0)
}

func TestGrantorCutOffAndHealed(t *testing.T) {
	b := three(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	others := without(b.Nodes, g)
	for _, n := range others {
		b.Cut(g, n)
	}
	u := b.Reserve(others[0], e, 10*time.Millisecond, 6*time.Second)
	b.Run(200 * time.Millisecond)
	assert.Assert(t, u.Granted)
	b.Heal()
	b.Run(3 * time.Second)
	// The lease of the share is known to the grantor by the next renewal.
	assert.Equal(t, len(policyOf(g).grantor.ledgers[0].leases), 1)
	b.Run(10 * time.Second)
	assertQuiet(t, b)
}

func TestHolderDead(t *testing.T) {
	b := three(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	h := without(b.Nodes, g)[0]
	for range 4 {
		b.Reserve(h, e, 10*time.Millisecond, 3*time.Second)
	}
	b.Run(500 * time.Millisecond)
	h.Kill()
	b.All(h, kernel.Dead)
	b.Run(time.Second)
	l := policyOf(g).grantor.ledgers[0]
	assert.Equal(t, len(l.leases), 4, "its requests still run")
	b.Run(4 * time.Second)
	assert.Equal(t, len(l.leases), 0, "the engine showed the slots free")
}

// TestWithdrawnTry: the ask that tries a grantor again is withdrawn; the next one
// must not wait for its answer for ever.
func TestWithdrawnTry(t *testing.T) {
	b := three(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	h := without(b.Nodes, g)[0]
	b.Cut(g, h)
	b.Reserve(h, e, time.Millisecond, time.Millisecond)
	b.Run(time.Second)
	b.Withdraw(b.Reserve(h, e, time.Millisecond, time.Millisecond))
	b.Heal()
	b.Run(time.Millisecond)
	asks := b.Traffic.ByKind[KindAsk]
	b.Reserve(h, e, time.Millisecond, time.Millisecond)
	assert.Equal(t, b.Traffic.ByKind[KindAsk], asks+1)
}

// TestNoShareBesideTheGrantor: long after a grantor did not answer, all asks go
// to it again.
func TestNoShareBesideTheGrantor(t *testing.T) {
	b := three(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	h := without(b.Nodes, g)[0]
	b.Cut(g, h)
	b.Reserve(h, e, time.Millisecond, time.Millisecond)
	b.Run(time.Second)
	b.Heal()
	b.Run(10 * time.Second)
	asks := b.Traffic.ByKind[KindAsk]
	for range 4 {
		b.Reserve(h, e, 10*time.Millisecond, time.Second)
	}
	assert.Equal(t, b.Traffic.ByKind[KindAsk], asks+4)
}

// TestHolderCutOff: its leases lapse as its requests end, and it brings back
// those that have not when it is reached again.
func TestHolderCutOff(t *testing.T) {
	b := three(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	h := without(b.Nodes, g)[0]
	b.Reserve(h, e, 10*time.Millisecond, 3*time.Second)
	b.Reserve(h, e, 10*time.Millisecond, 20*time.Second)
	b.Run(500 * time.Millisecond)
	b.Cut(g, h)
	g.Believe(h, kernel.Unreachable)
	h.Believe(g, kernel.Unreachable)
	l := policyOf(g).grantor.ledgers[0]
	b.Run(2 * time.Second)
	assert.Equal(t, len(l.leases), 2, "both requests run")
	b.Run(3 * time.Second)
	assert.Equal(t, len(l.leases), 1)
	b.Heal()
	g.Believe(h, kernel.Live)
	h.Believe(g, kernel.Live)
	b.Run(time.Second)
	assert.Equal(t, len(l.leases), 1)
	b.Run(20 * time.Second)
	assert.Equal(t, b.Refused, 0)
	assertQuiet(t, b)
}
