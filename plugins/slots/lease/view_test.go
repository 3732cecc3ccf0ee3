package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// TestNewGrantorWaitsForHolders checks that a new grantor leases only the slots
// that the engine's load report shows as free, less a margin, until the holders
// have sent it their leases. Otherwise it would lease slots that its predecessor
// has already leased.
func TestNewGrantorWaitsForHolders(t *testing.T) {
	b := newTestBed(slottest.Options{
		Seed: 1, Instances: 3, Engines: 1, Slots: 6,
		LoadEvery: 100 * time.Millisecond, LoadLag: 50 * time.Millisecond,
	}, Settings{})
	e := b.Engines[0]
	b.Run(2 * time.Second)
	g, holder := grantorAndHolder(b)
	// Two slots are in use, two are leased for later use.
	for _, lead := range []time.Duration{time.Millisecond, time.Millisecond, 800 * time.Millisecond, 800 * time.Millisecond} {
		b.Reserve(holder, e, lead, 5*time.Second)
	}
	b.Run(300 * time.Millisecond)
	g.Kill()
	next := without(b.Nodes, g)
	// Only the next grantor has noticed that g is dead.
	for _, n := range next {
		n.SetLivenessInView(g, kernel.Dead)
		if b.grantor(n, e) == n {
			break
		}
	}
	successor := b.grantor(next[0], e)
	if successor == holder {
		t.Fatal("the seed makes the holder the next grantor")
	}
	successor.SetLivenessInView(g, kernel.Dead)
	for range 4 {
		b.Reserve(successor, e, time.Millisecond, 5*time.Second)
	}
	b.Run(100 * time.Millisecond)
	// The new grantor leases two slots: six, less two in use, less the margin of
	// two.
	assert.Equal(t, b.Held(e), 4+2)
	holder.SetLivenessInView(g, kernel.Dead)
	b.Run(4 * time.Second)
	assert.Equal(t, b.Refused, 0)
	assert.Equal(t, len(ledgerAt(successor).leases), 6)
}

// TestTwoGrantors checks that few requests (less than 4 %) are refused while two
// instances with different views both act as grantor of one engine, because each
// sees the other's requests in the engine's load report. After the views agree
// again, no request is refused.
func TestTwoGrantors(t *testing.T) {
	b := newTestBed(slottest.Options{
		Seed: 1, Instances: 2, Engines: 1, Slots: 20,
		LoadEvery: 200 * time.Millisecond, LoadLag: 200 * time.Millisecond,
	}, Settings{})
	e := b.Engines[0]
	b.Run(2 * time.Second)
	b.Nodes[0].SetLivenessInView(b.Nodes[1], kernel.Unreachable)
	b.Nodes[1].SetLivenessInView(b.Nodes[0], kernel.Unreachable)
	b.Run(2 * time.Second)
	tries := 0
	for range 200 {
		for _, n := range b.Nodes {
			b.Reserve(n, e, 50*time.Millisecond, 1500*time.Millisecond)
			tries++
		}
		b.Run(50 * time.Millisecond)
	}
	assert.Assert(t, b.Refused*100 < tries*4, "%d of %d refused", b.Refused, tries)
	refused := b.Refused
	b.Nodes[0].SetLivenessInView(b.Nodes[1], kernel.Live)
	b.Nodes[1].SetLivenessInView(b.Nodes[0], kernel.Live)
	b.Run(4 * time.Second)
	for range 30 {
		for _, n := range b.Nodes {
			b.Reserve(n, e, 50*time.Millisecond, 500*time.Millisecond)
		}
		b.Run(50 * time.Millisecond)
		assert.Assert(t, b.Held(e) <= e.Slots)
	}
	assert.Equal(t, b.Refused, refused, "none after they agree")
	b.Run(10 * time.Second)
	assertIdle(t, b)
}

// TestAskToNonGrantor checks that an instance that is not the grantor in its own
// view denies an Ask with NotGrantor, and that the holder then uses its static
// share.
func TestAskToNonGrantor(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	e := b.Engines[0]
	g, holder := grantorAndHolder(b)
	holder.SetLivenessInView(g, kernel.Unreachable)
	other := b.grantor(holder, e)
	if other == holder {
		holder = without(without(b.Nodes, g), holder)[0]
		holder.SetLivenessInView(g, kernel.Unreachable)
		other = b.grantor(holder, e)
	}
	assert.Assert(t, other != g && other != holder)
	u := b.Reserve(holder, e, time.Millisecond, 100*time.Millisecond)
	b.Run(5 * time.Millisecond)
	assert.Assert(t, u.Granted)
	b.Run(10 * time.Second)
	holder.SetLivenessInView(g, kernel.Live)
	b.Run(10 * time.Second)
	assertIdle(t, b)
}

func TestEngineRestarted(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	for range 4 {
		b.Reserve(holder, b.Engines[0], time.Millisecond, time.Minute)
	}
	b.Run(100 * time.Millisecond)
	assert.Equal(t, len(ledgerAt(g).leases), 4)
	g.ChangeView(func(v *kernel.View) { v.Upstreams[0].Incarnation++ })
	b.Run(5 * time.Millisecond)
	assert.Equal(t, len(ledgerAt(g).leases), 0, "the engine has lost its requests")
}

// TestGrantorRestarted checks that holders send their leases at once to a
// grantor that has restarted.
func TestGrantorRestarted(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	for range 3 {
		b.Reserve(holder, b.Engines[0], time.Millisecond, 8*time.Second)
	}
	b.Run(100 * time.Millisecond)
	g.Kill()
	g.Restart()
	b.SetLivenessInAllViews(g, kernel.Live)
	b.Run(100 * time.Millisecond)
	assert.Equal(t, len(ledgerAt(g).leases), 3)
}

// TestHolderRestarted checks that the leases of a holder's earlier incarnation
// end when the engine's load report shows their slots as free, and that
// messages of the earlier incarnation are ignored.
func TestHolderRestarted(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	e := b.Engines[0]
	g, holder := grantorAndHolder(b)
	old := b.Reserve(holder, e, time.Millisecond, 2*time.Second)
	b.Run(100 * time.Millisecond)
	holder.Kill()
	holder.Restart()
	b.SetLivenessInAllViews(holder, kernel.Live)
	u := b.Reserve(holder, e, time.Millisecond, 8*time.Second)
	b.Run(time.Second)
	assert.Assert(t, u.Granted)
	assert.Equal(t, len(ledgerAt(g).leases), 2)
	g.Do(func() { policyOf(g).Receive(holder.ID(), &Renew{Incarnation: 1, Seq: 1000}) })
	assert.Equal(t, len(ledgerAt(g).leases), 2)
	old.Over = true
	b.Run(4 * time.Second)
	assert.Equal(t, len(ledgerAt(g).leases), 1)
}

// TestGrantorLeaves checks that in a planned stop of the grantor its leases move
// to the next grantor.
func TestGrantorLeaves(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	e := b.Engines[0]
	g, holder := grantorAndHolder(b)
	b.Reserve(holder, e, time.Millisecond, 3*time.Second)
	b.Reserve(g, e, time.Millisecond, 3*time.Second)
	b.Run(50 * time.Millisecond)
	g.ChangeView(func(v *kernel.View) {
		for i := range v.Instances {
			if v.Instances[i].ID == g.ID() {
				v.Instances[i].Liveness = kernel.Leaving
			}
		}
	})
	b.SetLivenessInAllViews(g, kernel.Leaving)
	b.Run(100 * time.Millisecond)
	next := b.grantor(holder, e)
	assert.Assert(t, next != g)
	assert.Equal(t, len(policyOf(g).grantor.ledgers), 0)
	assert.Equal(t, len(ledgerAt(next).leases), 2)
}

// TestPausedGrantor checks that a grantor that was paused starts another
// take-over when it resumes, because another instance may have granted leases
// in the meantime.
func TestPausedGrantor(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, _ := grantorAndHolder(b)
	assert.Assert(t, ledgerAt(g).takeOverDone)
	g.Freeze()
	b.Run(3 * time.Second)
	g.Thaw()
	assert.Assert(t, !ledgerAt(g).takeOverDone)
	b.Run(defaultTakeOver + 100*time.Millisecond)
	assert.Assert(t, ledgerAt(g).takeOverDone)
}

// TestDeadlineEndsLease checks that the lease of a holder that stopped
// responding, but is not known to be dead, ends at its deadline and not before.
func TestDeadlineEndsLease(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	b.Reserve(holder, b.Engines[0], time.Millisecond, time.Second)
	b.Run(10 * time.Millisecond)
	holder.Freeze()
	b.Run(20 * time.Second)
	assert.Equal(t, len(ledgerAt(g).leases), 1)
	b.Run(12 * time.Second)
	assert.Equal(t, len(ledgerAt(g).leases), 0)
}
