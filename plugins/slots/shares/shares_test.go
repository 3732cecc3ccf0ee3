package shares

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// newTestBed returns a simulated system (see slottest) with three instances and one
// engine of six slots, so that each instance's share is two slots.
func newTestBed(seed uint64, network slottest.Network) *slottest.TestBed {
	b := slottest.NewTestBed(slottest.Options{
		Seed: seed, Instances: 3, Engines: 1, Slots: 6, Network: network,
		Policy: func() kernel.SlotPolicy { return &Policy{} },
	})
	b.Run(time.Second)
	return b
}

func policyOf(n *slottest.Node) *Policy { return n.Policy.(*Policy) }

// assertIdle checks that no instance has a reservation or a slot that is held,
// lent or borrowed.
func assertIdle(t assert.TestingT, b *slottest.TestBed) {
	for _, n := range b.Nodes {
		if n.Killed() {
			continue
		}
		p := policyOf(n)
		assert.Equal(t, len(p.holds), 0)
		assert.Equal(t, len(p.waiting), 0)
		for _, e := range p.engines {
			assert.Equal(t, e.held, 0)
			assert.Equal(t, e.borrowed(), 0, "borrowed by %s", n.ID())
			assert.Equal(t, e.lentOut(), 0, "lent by %s", n.ID())
		}
	}
}

func TestOwnShareNeedsNoMessage(t *testing.T) {
	b := newTestBed(1, slottest.Network{})
	for _, n := range b.Nodes {
		for range 2 {
			assert.Assert(t, b.Reserve(n, b.Engines[0], time.Millisecond, time.Second).Granted)
		}
	}
	b.Run(10 * time.Millisecond)
	assert.Equal(t, b.Traffic.Messages, 0)
	assert.Equal(t, b.Engines[0].Running(), 6)
}

func TestIdleSlotsAreLentAndComeBack(t *testing.T) {
	b := newTestBed(1, slottest.Network{})
	e := b.Engines[0]
	for range 6 {
		b.Reserve(b.Nodes[0], e, time.Millisecond, 500*time.Millisecond)
	}
	b.Run(50 * time.Millisecond)
	assert.Equal(t, e.Running(), 6)
	// The owner recalls a slot and gets it when it becomes free.
	u := b.Reserve(b.Nodes[1], e, time.Millisecond, 500*time.Millisecond)
	assert.Assert(t, u.Pending)
	b.Run(500 * time.Millisecond)
	assert.Assert(t, u.Granted)
	b.Run(5 * time.Second)
	assert.Equal(t, b.Refused, 0)
	assertIdle(t, b)
}

func TestNothingToBorrow(t *testing.T) {
	b := newTestBed(1, slottest.Network{})
	for _, n := range b.Nodes {
		for range 2 {
			b.Reserve(n, b.Engines[0], time.Millisecond, time.Minute)
		}
	}
	u := b.Reserve(b.Nodes[0], b.Engines[0], time.Millisecond, time.Second)
	b.Run(20 * time.Millisecond)
	assert.Assert(t, !u.Pending && !u.Granted, "denied when all were asked")
}

func TestBorrowerDead(t *testing.T) {
	b := newTestBed(1, slottest.Network{})
	for range 6 {
		b.Reserve(b.Nodes[0], b.Engines[0], time.Millisecond, time.Second)
	}
	b.Run(50 * time.Millisecond)
	b.Nodes[0].Kill()
	b.SetLivenessInAllViews(b.Nodes[0], kernel.Dead)
	b.Run(50 * time.Millisecond)
	assert.Equal(t, policyOf(b.Nodes[1]).engines[0].lentOut(), 0)
}

func TestLenderFrozen(t *testing.T) {
	b := newTestBed(1, slottest.Network{})
	b.Nodes[1].Freeze()
	b.Nodes[2].Freeze()
	for range 2 {
		b.Reserve(b.Nodes[0], b.Engines[0], time.Millisecond, time.Minute)
	}
	u := b.Reserve(b.Nodes[0], b.Engines[0], time.Millisecond, time.Second)
	b.Run(3*defaultAskTimeout + 10*time.Millisecond)
	assert.Assert(t, !u.Pending && !u.Granted)
}

// TestRefusalIsHeeded checks that no slot of an engine that refused a request is
// shown as free for a while.
func TestRefusalIsHeeded(t *testing.T) {
	b := newTestBed(1, slottest.Network{})
	n := b.Nodes[0]
	n.Do(func() { n.Policy.Refused(b.Engines[0].ID) })
	assert.Equal(t, n.Policy.Availability(n.Upstream(b.Engines[0].ID)).Free, 0)
	b.Run(refusalTime + time.Millisecond)
	assert.Equal(t, n.Policy.Availability(n.Upstream(b.Engines[0].ID)).Free, 2)
}

// runSession makes random reservations, calls check after each of them, and
// checks that no reservation waited longer than allowed.
func runSession(t *rapid.T, network slottest.Network, check func(b *slottest.TestBed)) *slottest.TestBed {
	b := newTestBed(rapid.Uint64().Draw(t, "seed"), network)
	millis := func(name string, hi int) time.Duration {
		return time.Duration(rapid.IntRange(1, hi).Draw(t, name)) * time.Millisecond
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		n := b.Nodes[rapid.IntRange(0, 2).Draw(t, "node")]
		u := b.Reserve(n, b.Engines[0], millis("lead", 50), millis("hold", 800))
		if rapid.IntRange(0, 9).Draw(t, "withdraw") == 0 {
			b.Withdraw(u)
		}
		b.Run(millis("pass", 150))
		check(b)
	}
	b.Run(3 * time.Second)
	assert.Assert(t, b.MaxAnswerTime <= defaultWait+10*time.Millisecond, "%v", b.MaxAnswerTime)
	return b
}

func TestSharesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := runSession(t, slottest.Network{Jitter: 5 * time.Millisecond}, func(b *slottest.TestBed) {
			assert.Assert(t, b.Held(b.Engines[0]) <= 6)
		})
		assert.Equal(t, b.Refused, 0)
		b.Run(2 * time.Second)
		assertIdle(t, b)
	})
}

func TestLoansEndWhenMessagesAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := runSession(t, slottest.Network{Jitter: 5 * time.Millisecond, Loss: 0.2, Duplicate: 0.1}, func(*slottest.TestBed) {})
		b.SetNetwork(slottest.Network{Delay: time.Millisecond})
		b.Run((maxMissedConfirms + 2) * defaultConfirm)
		assertIdle(t, b)
	})
}
