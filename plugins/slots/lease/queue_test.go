package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// fillEngine makes the first engine's grantor reserve all of the engine's slots.
func fillEngine(b *testBed, hold time.Duration) {
	g := b.grantor(b.Nodes[0], b.Engines[0])
	for range b.Engines[0].Slots {
		b.Reserve(g, b.Engines[0], time.Millisecond, hold)
	}
	b.Run(5 * time.Millisecond)
}

// askFor makes an instance other than the grantor reserve a slot of the first
// engine. due is the time from now until the first output is due.
func (b *testBed) askFor(due time.Duration, pieces int) *slottest.Use {
	_, holder := grantorAndHolder(b)
	u := &slottest.Use{
		Node: holder, Engine: b.Engines[0], Lead: 10 * time.Millisecond, Hold: time.Minute,
		Pieces: pieces, Due: b.Now().Add(due),
	}
	b.StartUse(u)
	return u
}

func TestQueueServesTheEarliestDue(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	fillEngine(b, 300*time.Millisecond)
	var granted []ident.AttemptID
	_, holder := grantorAndHolder(b)
	answer := holder.Granted
	holder.Granted = func(id ident.AttemptID) {
		granted = append(granted, id)
		answer(id)
	}
	late := b.askFor(900*time.Millisecond, 1)
	soon := b.askFor(500*time.Millisecond, 1)
	middle := b.askFor(700*time.Millisecond, 1)
	b.Run(400 * time.Millisecond)
	assert.DeepEqual(t, granted, []ident.AttemptID{soon.ID, middle.ID, late.ID})
}

func TestQueueDeniesTheInfeasible(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	fillEngine(b, time.Second)
	u := b.askFor(200*time.Millisecond, 1)
	b.Run(150 * time.Millisecond)
	assert.Assert(t, u.Pending)
	b.Run(50 * time.Millisecond)
	assert.Assert(t, !u.Pending && !u.Granted, "denied when a slot would come too late")
	w := b.askFor(5*time.Millisecond, 1)
	b.Run(5 * time.Millisecond)
	assert.Assert(t, !w.Pending && !w.Granted, "denied at once")
	// A request whose due time has already passed is still queued.
	x := b.askFor(-time.Second, 1)
	b.Run(100 * time.Millisecond)
	assert.Assert(t, x.Pending)
}

func TestQueueIsBounded(t *testing.T) {
	b := newThreeNodeBed(Settings{QueueLimit: 2})
	fillEngine(b, 800*time.Millisecond)
	late := b.askFor(3*time.Second, 1)
	first := b.askFor(2*time.Second, 1)
	b.Run(10 * time.Millisecond)
	second := b.askFor(1500*time.Millisecond, 1)
	b.Run(10 * time.Millisecond)
	assert.Assert(t, !late.Pending && !late.Granted, "the one due last makes room")
	further := b.askFor(4*time.Second, 1)
	b.Run(10 * time.Millisecond)
	assert.Assert(t, !further.Pending && !further.Granted)
	b.Run(800 * time.Millisecond)
	assert.Assert(t, first.Granted && second.Granted)
}

func TestQueueEndsAfterItsTime(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	fillEngine(b, time.Minute)
	u := b.askFor(20*time.Second, 1)
	b.Run(defaultQueueWait + 10*time.Millisecond)
	assert.Assert(t, !u.Pending && !u.Granted)
}

// TestMemoryIsCounted checks that an ask that needs more memory than is free
// waits until memory is released, while an ask that needs less is granted.
func TestMemoryIsCounted(t *testing.T) {
	b := newThreeNodeBed(Settings{QueueWait: 10 * time.Second})
	big := b.askFor(9*time.Second, 80)
	b.Run(10 * time.Millisecond)
	assert.Assert(t, big.Granted)
	second := b.askFor(8*time.Second, 40)
	b.Run(10 * time.Millisecond)
	assert.Assert(t, second.Pending)
	small := b.askFor(9*time.Second, 1)
	b.Run(10 * time.Millisecond)
	assert.Assert(t, small.Granted)
	b.Withdraw(big)
	b.Run(10 * time.Millisecond)
	assert.Assert(t, second.Granted)
}

// TestNoWaitIsDeniedAtOnce checks that a NoWait ask for a full engine is denied
// and not queued.
func TestNoWaitIsDeniedAtOnce(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	fillEngine(b, time.Second)
	g, holder := grantorAndHolder(b)
	l := ledgerAt(g)
	ask := Ask{Reservation: slotkit.Reservation(holder.Reservation(time.Second)), Upstream: b.Engines[0].ID, Seq: 1000, NoWait: true}
	g.Do(func() {
		assert.Equal(t, policyOf(g).decide(l, g.Upstream(l.upstream), holder.ID(), ask), decisionDenied)
	})
	assert.Equal(t, len(l.queue), 0)
}

// TestRefusalLowersBelief checks that fewer slots are leased for a while after
// the engine refused a request.
func TestRefusalLowersBelief(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	holder.Do(func() { holder.Policy.Refused(b.Engines[0].ID) })
	b.Run(5 * time.Millisecond)
	u := g.Upstream(b.Engines[0].ID)
	assert.Equal(t, ledgerAt(g).limit(u, b.Now(), 0), 3)
	b.Run(2 * time.Second)
	assert.Equal(t, ledgerAt(g).limit(u, b.Now(), 0), 4)
}

// TestBackoff checks that a grantor that does not answer is sent only a few
// asks, one at a time: at most 6 in 5 s.
func TestBackoff(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	g.Freeze()
	asks := func() int { return b.Traffic.ByKind[KindAsk] }
	b.Reserve(holder, b.Engines[0], time.Millisecond, time.Millisecond)
	b.Run(200 * time.Millisecond)
	before := asks()
	for range 100 {
		b.Reserve(holder, b.Engines[0], time.Millisecond, time.Millisecond)
		b.Run(50 * time.Millisecond)
	}
	assert.Assert(t, asks()-before <= 6, "%d asks in 5 s", asks()-before)
}
