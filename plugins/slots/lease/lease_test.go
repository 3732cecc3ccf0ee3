package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// newThreeNodeBed returns a test bed with three instances and one engine of four
// slots.
func newThreeNodeBed(settings Settings) *testBed {
	b := newTestBed(slottest.Options{
		Seed: 1, Instances: 3, Engines: 1, Slots: 4, Pieces: 100,
		LoadEvery: 500 * time.Millisecond, LoadLag: 200 * time.Millisecond,
	}, settings)
	b.Run(2 * time.Second)
	return b
}

func TestSlotsAreSharedWithoutOvercommitting(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	for range 4 {
		for _, n := range b.Nodes {
			b.Reserve(n, b.Engines[0], 10*time.Millisecond, 600*time.Millisecond)
		}
	}
	b.Run(100 * time.Millisecond)
	assert.Equal(t, b.Held(b.Engines[0]), 4)
	assert.Equal(t, b.Engines[0].Running(), 4)
	b.Run(600 * time.Millisecond)
	// The waiting asks were granted the slots that became free, with one message
	// each.
	assert.Equal(t, b.Engines[0].Running(), 4)
	assert.Equal(t, b.Refused, 0)
	b.Run(10 * time.Second)
	assertIdle(t, b)
}

// assertIdle checks that no instance holds a slot, has an open or queued ask or
// has a lease in a ledger.
func assertIdle(t assert.TestingT, b *testBed) {
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
	b := newThreeNodeBed(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	others := without(b.Nodes, g)
	b.Reserve(others[0], e, 10*time.Millisecond, 4*time.Second)
	b.Run(100 * time.Millisecond)
	g.Kill()
	// The others fall back to their static shares as soon as an ask is reported
	// as undelivered: a third of four slots, of which the first use has taken
	// one.
	u := b.Reserve(others[1], e, 10*time.Millisecond, 4*time.Second)
	b.Run(200 * time.Millisecond)
	assert.Assert(t, u.Granted)
	b.SetLivenessInAllViews(g, kernel.Dead)
	b.Run(1200 * time.Millisecond)
	next := b.grantor(others[0], e)
	assert.Assert(t, next != g)
	// The new grantor has learned about both leases.
	assert.Equal(t, len(policyOf(next).grantor.ledgers[0].leases), 2)
	for range 4 {
		b.Reserve(others[0], e, 10*time.Millisecond, time.Second)
	}
	b.Run(100 * time.Millisecond)
	assert.Equal(t, b.Held(e), 4)
	b.Run(10 * time.Second)
	assert.Equal(t, b.Refused, 0)
	assertIdle(t, b)
}

// without returns the nodes other than gone.
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
	b := newThreeNodeBed(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	others := without(b.Nodes, g)
	g.Freeze()
	u := b.Reserve(others[0], e, 10*time.Millisecond, time.Second)
	b.Run(100 * time.Millisecond)
	assert.Assert(t, u.Pending)
	b.Run(100 * time.Millisecond)
	assert.Assert(t, u.Granted, "granted from the share after the timeout")
	assert.Assert(t, b.MaxAnswerTime <= defaultAskTimeout+time.Millisecond, "%v", b.MaxAnswerTime)
	// During the backoff, the next reservation is answered without an ask.
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
	assertIdle(t, b)
}

// TestSharesWithoutGrantor checks that instances whose grantor does not answer
// use no more than their static shares.
func TestSharesWithoutGrantor(t *testing.T) {
	b := newThreeNodeBed(Settings{})
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
	b := newThreeNodeBed(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	others := without(b.Nodes, g)
	for _, n := range others {
		b.Cut(g, n)
	}
	u := b.Reserve(others[0], e, 10*time.Millisecond, 6*time.Second)
	b.Run(200 * time.Millisecond)
	assert.Assert(t, u.Granted)
	b.RemoveCuts()
	b.Run(3 * time.Second)
	// The next Renew tells the grantor about the slot taken from the static
	// share.
	assert.Equal(t, len(policyOf(g).grantor.ledgers[0].leases), 1)
	b.Run(10 * time.Second)
	assertIdle(t, b)
}

func TestHolderDead(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	h := without(b.Nodes, g)[0]
	for range 4 {
		b.Reserve(h, e, 10*time.Millisecond, 3*time.Second)
	}
	b.Run(500 * time.Millisecond)
	h.Kill()
	b.SetLivenessInAllViews(h, kernel.Dead)
	b.Run(time.Second)
	l := policyOf(g).grantor.ledgers[0]
	assert.Equal(t, len(l.leases), 4, "its requests still run")
	b.Run(4 * time.Second)
	assert.Equal(t, len(l.leases), 0, "the engine showed the slots free")
}

// TestWithdrawnTry guards against a holder that never asks a grantor again.
// After the backoff only one ask at a time is sent; if that ask is withdrawn
// before it is answered, the next reservation must send a new one.
func TestWithdrawnTry(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	h := without(b.Nodes, g)[0]
	b.Cut(g, h)
	b.Reserve(h, e, time.Millisecond, time.Millisecond)
	b.Run(time.Second)
	b.Withdraw(b.Reserve(h, e, time.Millisecond, time.Millisecond))
	b.RemoveCuts()
	b.Run(time.Millisecond)
	asks := b.Traffic.ByKind[KindAsk]
	b.Reserve(h, e, time.Millisecond, time.Millisecond)
	assert.Equal(t, b.Traffic.ByKind[KindAsk], asks+1)
}

// TestNoShareBesideTheGrantor checks that old failures of a grantor are
// forgotten: long after it did not answer, all asks are sent to it at once.
// Otherwise some would use the static share while the healthy grantor leases
// the same slots.
func TestNoShareBesideTheGrantor(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	h := without(b.Nodes, g)[0]
	b.Cut(g, h)
	b.Reserve(h, e, time.Millisecond, time.Millisecond)
	b.Run(time.Second)
	b.RemoveCuts()
	b.Run(10 * time.Second)
	asks := b.Traffic.ByKind[KindAsk]
	for range 4 {
		b.Reserve(h, e, 10*time.Millisecond, time.Second)
	}
	assert.Equal(t, b.Traffic.ByKind[KindAsk], asks+4)
}

// TestHolderCutOff checks that the leases of an unreachable holder end as the
// engine's load report shows that its requests have ended, and that the leases
// of its running requests are still known after the connection is restored.
func TestHolderCutOff(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	e := b.Engines[0]
	g := b.grantor(b.Nodes[0], e)
	h := without(b.Nodes, g)[0]
	b.Reserve(h, e, 10*time.Millisecond, 3*time.Second)
	b.Reserve(h, e, 10*time.Millisecond, 20*time.Second)
	b.Run(500 * time.Millisecond)
	b.Cut(g, h)
	g.SetLivenessInView(h, kernel.Unreachable)
	h.SetLivenessInView(g, kernel.Unreachable)
	l := policyOf(g).grantor.ledgers[0]
	b.Run(2 * time.Second)
	assert.Equal(t, len(l.leases), 2, "both requests run")
	b.Run(3 * time.Second)
	assert.Equal(t, len(l.leases), 1)
	b.RemoveCuts()
	g.SetLivenessInView(h, kernel.Live)
	h.SetLivenessInView(g, kernel.Live)
	b.Run(time.Second)
	assert.Equal(t, len(l.leases), 1)
	b.Run(20 * time.Second)
	assert.Equal(t, b.Refused, 0)
	assertIdle(t, b)
}
