package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// machine is the state machine of the property tests. It performs random
// sequences of reservations and faults and checks invariants after each step.
type machine struct {
	*testBed
	t      *rapid.T
	frozen map[*slottest.Node]bool
	// everFrozen are the nodes that have been frozen at some time.
	everFrozen map[*slottest.Node]bool
	// faultFreeSince is the start of the test as long as there has been no
	// fault, and zero after the first fault.
	faultFreeSince time.Time
	// faults counts the faults so far.
	faults int
}

func newMachine(t *rapid.T, network slottest.Network) *machine {
	network.Delay = time.Millisecond
	m := &machine{
		t:          t,
		frozen:     map[*slottest.Node]bool{},
		everFrozen: map[*slottest.Node]bool{},
		testBed: newTestBed(slottest.Options{
			Seed: rapid.Uint64().Draw(t, "seed"), Instances: 4, Engines: 2, Slots: 5, Pieces: 8, Zones: 2,
			Network: network, LoadEvery: 500 * time.Millisecond, LoadLag: 300 * time.Millisecond,
		}, Settings{}),
	}
	m.Run(1500 * time.Millisecond)
	m.faultFreeSince = m.Now()
	return m
}

func (m *machine) node() *slottest.Node {
	return m.Nodes[rapid.IntRange(0, len(m.Nodes)-1).Draw(m.t, "node")]
}

func (m *machine) engine() *slottest.Engine {
	return m.Engines[rapid.IntRange(0, len(m.Engines)-1).Draw(m.t, "engine")]
}

func (m *machine) millis(name string, lo, hi int) time.Duration {
	return time.Duration(rapid.IntRange(lo, hi).Draw(m.t, name)) * time.Millisecond
}

func (m *machine) reserveOne(*rapid.T) {
	m.Reserve(m.node(), m.engine(), m.millis("lead", 1, 200), m.millis("hold", 1, 1500))
}

func (m *machine) reserveMany(*rapid.T) {
	n, e := m.node(), m.engine()
	for range rapid.IntRange(2, 8).Draw(m.t, "count") {
		m.Reserve(n, e, m.millis("lead", 1, 200), m.millis("hold", 1, 1500))
	}
}

func (m *machine) withdrawOne(*rapid.T) {
	open := make([]*slottest.Use, 0, len(m.Uses))
	for _, u := range m.Uses {
		if !u.Over {
			open = append(open, u)
		}
	}
	if len(open) > 0 {
		m.Withdraw(open[rapid.IntRange(0, len(open)-1).Draw(m.t, "use")])
	}
}

func (m *machine) advance(*rapid.T) { m.Run(m.millis("pass", 1, 400)) }

func (m *machine) kill(*rapid.T) {
	n := m.node()
	if n.Killed() || m.frozen[n] {
		return
	}
	m.fault()
	n.Kill()
	for _, u := range m.Uses {
		if u.Node == n && !u.Over {
			// After a while the engine notices that the connection is closed, or
			// another instance cancels the request.
			u.Over, u.Pending = true, false
			m.After(m.millis("cleanup", 100, 2000), func() { u.Engine.End(u.ID) })
		}
	}
	m.After(m.millis("noticed", 1, 1500), func() {
		if n.Killed() {
			m.SetLivenessInAllViews(n, kernel.Dead)
		}
	})
}

func (m *machine) restart(*rapid.T) {
	for _, n := range m.Nodes {
		if n.Killed() {
			m.fault()
			n.Restart()
			m.after(n, func() { m.SetLivenessInAllViews(n, kernel.Live) })
		}
	}
}

// after calls do after a random delay, unless the node has been killed by then.
func (m *machine) after(n *slottest.Node, do func()) {
	m.After(m.millis("noticed", 1, 500), func() {
		if !n.Killed() {
			do()
		}
	})
}

func (m *machine) freeze(*rapid.T) {
	n := m.node()
	if n.Killed() || m.frozen[n] {
		return
	}
	m.fault()
	n.Freeze()
	m.frozen[n] = true
	m.everFrozen[n] = true
	m.After(m.millis("noticed", 1, 1500), func() {
		if m.frozen[n] {
			m.SetLivenessInAllViews(n, kernel.Unreachable)
		}
	})
}

func (m *machine) thaw(*rapid.T) {
	for _, n := range m.Nodes {
		if m.frozen[n] {
			m.fault()
			delete(m.frozen, n)
			n.Thaw()
			m.after(n, func() { m.SetLivenessInAllViews(n, kernel.Live) })
		}
	}
}

func (m *machine) cut(*rapid.T) {
	m.fault()
	m.Cut(m.node(), m.node())
}

func (m *machine) heal(*rapid.T) {
	m.fault()
	m.RemoveCuts()
}

// disagree makes one instance believe for a while that another is unreachable.
func (m *machine) disagree(*rapid.T) {
	a, b := m.node(), m.node()
	if a == b || m.frozen[a] {
		return
	}
	m.fault()
	a.SetLivenessInView(b, kernel.Unreachable)
	m.after(a, func() { a.SetLivenessInView(b, kernel.Live) })
}

// fault records that there has been a fault.
func (m *machine) fault() {
	m.faults++
	m.faultFreeSince = time.Time{}
}

// maxAskTime is the maximum time until an ask is answered. It is reached if the
// grantor changes just before the ask would have been denied, because the new
// grantor then queues it again.
const maxAskTime = 2*(defaultQueueWait+defaultAskTimeout) + 10*time.Millisecond

// check checks the invariants after each step. Without any fault so far, the
// slots held never exceed an engine's slots and no engine refuses a request.
func (m *machine) check(t *rapid.T) {
	for _, u := range m.Uses {
		if u.Pending && !u.Node.Killed() && !m.everFrozen[u.Node] {
			assert.Assert(t, m.Now().Sub(u.Asked) <= maxAskTime, "ask of %s waits too long", u.Node.ID())
		}
	}
	for _, n := range m.Nodes {
		m.checkBounds(t, policyOf(n))
	}
	if m.faultFreeSince.IsZero() {
		return
	}
	for _, e := range m.Engines {
		assert.Assert(t, m.Held(e) <= e.Slots, "%d leases of %d slots", m.Held(e), e.Slots)
	}
	assert.Equal(t, m.Refused, 0)
}

// checkBounds checks that the records of one policy do not exceed their limits
// and that no reservation is leased twice, or both leased and queued.
func (m *machine) checkBounds(t *rapid.T, p *Policy) {
	assert.Assert(t, len(p.holder.grantors) <= len(m.Nodes))
	assert.Assert(t, len(p.grantor.peers) <= len(m.Nodes))
	assert.Assert(t, len(p.grantor.ledgers) <= len(m.Engines))
	for _, l := range p.grantor.ledgers {
		assert.Assert(t, len(l.queue) <= p.QueueLimit)
		assert.Assert(t, len(l.leases) <= maxLeases*5)
		assert.Assert(t, len(l.ended) <= maxEnded*5)
		keys := map[any]bool{}
		for i := range l.leases {
			assert.Assert(t, !keys[l.leases[i].key], "a lease twice")
			keys[l.leases[i].key] = true
			assert.Assert(t, l.queue.find(l.leases[i].key) < 0, "leased and queued")
		}
	}
}

// checkRecovery ends all faults, finishes all uses, and checks that every ask
// was answered and that nothing stays leased.
func (m *machine) checkRecovery(t *rapid.T) {
	m.SetNetwork(slottest.Network{Delay: time.Millisecond})
	m.RemoveCuts()
	m.thaw(t)
	m.restart(t)
	m.Run(2 * time.Second)
	for _, a := range m.Nodes {
		m.SetLivenessInAllViews(a, kernel.Live)
	}
	m.Run(3 * time.Second)
	for _, u := range m.Uses {
		assert.Assert(t, !u.Pending, "an ask of %s was never answered", u.Node.ID())
		if !u.Over {
			m.Finish(u)
		}
	}
	// After these 4 s, one RenewInterval, only leases of dead instances are
	// left. These expire at their deadlines, at most 30 s later.
	m.Run(4 * time.Second)
	if m.faults > 0 {
		m.Run(30 * time.Second)
	}
	assertIdle(t, m.testBed)
	m.checkBurst(t)
}

// checkBurst checks that after the end of all faults the slots held do not
// exceed the engine's slots under load, and that the engine refuses no request.
func (m *machine) checkBurst(t *rapid.T) {
	refused := m.Refused
	for range 10 {
		for _, n := range m.Nodes {
			m.Reserve(n, m.Engines[0], 10*time.Millisecond, 100*time.Millisecond)
		}
		m.Run(20 * time.Millisecond)
		assert.Assert(t, m.Held(m.Engines[0]) <= m.Engines[0].Slots)
	}
	m.Run(2 * time.Second)
	assert.Equal(t, m.Refused, refused)
	assertIdle(t, m.testBed)
}

func (m *machine) actions(faults bool) map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"":         m.check,
		"reserve":  m.reserveOne,
		"many":     m.reserveMany,
		"withdraw": m.withdrawOne,
		"pass":     m.advance,
		"pass2":    m.advance,
	}
	if faults {
		all["kill"] = m.kill
		all["restart"] = m.restart
		all["freeze"] = m.freeze
		all["thaw"] = m.thaw
		all["cut"] = m.cut
		all["heal"] = m.heal
		all["disagree"] = m.disagree
	}
	return all
}

// TestLeasesNeverExceedSlots checks that without faults of instances the slots
// held never exceed an engine's slots and no engine refuses a request, even if
// messages are reordered and duplicated.
func TestLeasesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, slottest.Network{Jitter: 20 * time.Millisecond, Duplicate: 0.2})
		t.Repeat(m.actions(false))
		m.checkRecovery(t)
	})
}

// TestNothingLeaksUnderFaults checks that every ask is answered and nothing
// stays leased when instances are killed, frozen, cut off or have different
// views, and when messages are reordered, duplicated and lost.
func TestNothingLeaksUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, slottest.Network{Jitter: 20 * time.Millisecond, Duplicate: 0.1, Loss: 0.1})
		t.Repeat(m.actions(true))
		m.checkRecovery(t)
	})
}
