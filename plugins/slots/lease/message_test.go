package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// grantorAndHolder returns the first engine's grantor and another instance.
func grantorAndHolder(b *testBed) (grantor, holder *slottest.Node) {
	grantor = b.grantor(b.Nodes[0], b.Engines[0])
	return grantor, without(b.Nodes, grantor)[0]
}

// ledgerAt returns a node's first ledger.
func ledgerAt(n *slottest.Node) *ledger { return policyOf(n).grantor.ledgers[0] }

// setLossy sets whether the network loses all messages or none.
func setLossy(b *testBed, all bool) {
	n := slottest.Network{Delay: time.Millisecond}
	if all {
		n.Loss = 1
	}
	b.SetNetwork(n)
}

func TestAskLost(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	_, holder := grantorAndHolder(b)
	setLossy(b, true)
	u := b.Reserve(holder, b.Engines[0], time.Millisecond, time.Second)
	setLossy(b, false)
	b.Run(defaultAskTimeout + 10*time.Millisecond)
	assert.Assert(t, u.Granted, "from the share")
	b.Run(10 * time.Second)
	assertIdle(t, b)
}

// TestGrantLost checks that a holder whose Grant was lost uses its static share,
// and that the lease in the grantor's ledger then counts for that slot, so that
// the reservation is not counted twice.
func TestGrantLost(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	u := b.Reserve(holder, b.Engines[0], 10*time.Millisecond, 8*time.Second)
	setLossy(b, true)
	b.Run(5 * time.Millisecond)
	setLossy(b, false)
	assert.Assert(t, u.Pending)
	assert.Equal(t, len(ledgerAt(g).leases), 1)
	b.Run(defaultAskTimeout)
	assert.Assert(t, u.Granted)
	b.Run(5 * time.Second)
	assert.Equal(t, len(ledgerAt(g).leases), 1, "one lease for the one slot")
	b.Run(10 * time.Second)
	assertIdle(t, b)
}

func TestReleaseLost(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	u := b.Reserve(holder, b.Engines[0], 10*time.Millisecond, 100*time.Millisecond)
	b.Run(50 * time.Millisecond)
	assert.Assert(t, u.Granted)
	setLossy(b, true)
	b.Run(100 * time.Millisecond)
	setLossy(b, false)
	assert.Assert(t, u.Over)
	assert.Equal(t, len(ledgerAt(g).leases), 1)
	b.Run(defaultRenewInterval + 10*time.Millisecond)
	assert.Equal(t, len(ledgerAt(g).leases), 0, "the next Renew does not list it")
}

// TestGrantAfterWithdrawal checks that a holder releases a lease at once if the
// request ended before the Grant arrived.
func TestGrantAfterWithdrawal(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	u := b.Reserve(holder, b.Engines[0], time.Millisecond, time.Second)
	policyOf(holder).holder.drop(policyOf(holder).holder.holds[slotkit.KeyOf(u.ID)])
	u.Pending, u.Over = false, true
	b.Run(1500 * time.Microsecond)
	assert.Equal(t, len(ledgerAt(g).leases), 1)
	b.Run(3 * time.Millisecond)
	assert.Equal(t, len(ledgerAt(g).leases), 0, "given back at once")
}

// TestDenyAfterWithdrawal checks that a Deny of an earlier ask does not end a
// newer ask for the same reservation, nor does the Release of the earlier ask if
// it arrives after the newer ask.
func TestDenyAfterWithdrawal(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	e := b.Engines[0]
	for range 4 {
		b.Reserve(g, e, time.Millisecond, time.Minute)
	}
	u := b.Reserve(holder, e, time.Millisecond, time.Second)
	first := policyOf(holder).holder.holds[slotkit.KeyOf(u.ID)].seq
	b.Run(10 * time.Millisecond)
	b.Withdraw(u)
	request := kernel.SlotRequest{Reservation: u.ID, Upstream: e.ID, FirstOutputBy: b.Now().Add(5 * time.Second)}
	holder.Do(func() { holder.Policy.Reserve(request) })
	holder.Do(func() {
		policyOf(holder).Receive(g.ID(), &Deny{Reservation: slotkit.Reservation(u.ID), Upstream: e.ID, Seq: first})
	})
	assert.Equal(t, len(policyOf(holder).holder.open), 1)
	// The Release of the first ask arrives after the newer ask and must not end
	// it.
	b.Run(5 * time.Millisecond)
	g.Do(func() {
		policyOf(g).Receive(holder.ID(), &Release{Reservation: slotkit.Reservation(u.ID), Upstream: e.ID, Seq: first})
	})
	b.Run(10 * time.Millisecond)
	assert.Equal(t, len(ledgerAt(g).queue), 1)
}

// TestRenewOvertakenByRelease checks that a Renew that arrives after a Release
// sent later than the Renew does not restore the released lease.
func TestRenewOvertakenByRelease(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	u := b.Reserve(holder, b.Engines[0], time.Millisecond, time.Second)
	b.Run(10 * time.Millisecond)
	p := policyOf(holder)
	p.holder.seq++
	old := &Renew{Incarnation: 1, Seq: p.holder.seq, Engines: []RenewEngine{{
		Upstream: b.Engines[0].ID,
		Leases:   []RenewLease{{Sequence: u.ID.Sequence, Deadline: u.ID.Deadline.UnixMilli(), Used: 5}},
	}}}
	b.Withdraw(u)
	b.Run(5 * time.Millisecond)
	assert.Equal(t, len(ledgerAt(g).leases), 0)
	g.Do(func() { policyOf(g).Receive(holder.ID(), old) })
	assert.Equal(t, len(ledgerAt(g).leases), 0)
}

// TestRenewOvertakenByAsk checks that a Renew sent before an Ask, but received
// after it, does not end the lease that the Ask got.
func TestRenewOvertakenByAsk(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	p := policyOf(holder)
	p.holder.seq++
	old := &Renew{Incarnation: 1, Seq: p.holder.seq}
	b.Reserve(holder, b.Engines[0], time.Millisecond, time.Second)
	b.Run(10 * time.Millisecond)
	g.Do(func() { policyOf(g).Receive(holder.ID(), old) })
	assert.Equal(t, len(ledgerAt(g).leases), 1)
}

// TestLedgerIsBounded checks that a Renew cannot add more leases to a ledger
// than maxLeases allows.
func TestLedgerIsBounded(t *testing.T) {
	b := newThreeNodeBed(Settings{})
	g, holder := grantorAndHolder(b)
	list := RenewEngine{Upstream: b.Engines[0].ID}
	for i := range 100 {
		list.Leases = append(list.Leases, RenewLease{Sequence: uint64(i), Deadline: b.Now().Add(time.Minute).UnixMilli()})
	}
	g.Do(func() {
		policyOf(g).Receive(holder.ID(), &Renew{Incarnation: 1, Seq: 1, Engines: []RenewEngine{list}})
	})
	assert.Equal(t, len(ledgerAt(g).leases), maxLeases*b.Engines[0].Slots)
}

func TestDoubledMessages(t *testing.T) {
	b := newTestBed(slottest.Options{
		Seed: 1, Instances: 3, Engines: 1, Slots: 4, Pieces: 100,
		Network: slottest.Network{Delay: time.Millisecond, Jitter: 5 * time.Millisecond, Duplicate: 1},
	}, Settings{})
	b.Run(2 * time.Second)
	for range 3 {
		for _, n := range b.Nodes {
			b.Reserve(n, b.Engines[0], 20*time.Millisecond, 200*time.Millisecond)
		}
	}
	b.Run(100 * time.Millisecond)
	assert.Equal(t, b.Held(b.Engines[0]), 4)
	b.Run(10 * time.Second)
	assert.Equal(t, b.Refused, 0)
	for _, u := range b.Uses {
		assert.Assert(t, u.Granted && u.Answered <= 1)
	}
	assertIdle(t, b)
}
