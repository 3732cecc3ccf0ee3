package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// beginExchange starts the exchange with the other instance that is due at d,
// and returns its heartbeat.
func beginExchange(t *testing.T, m *Machine, d time.Duration) Heartbeat {
	t.Helper()
	for _, due := range m.Due(timeAt(d)) {
		if due.Kind == DueHeartbeat && due.To == other {
			return m.Heartbeat(timeAt(d), other)
		}
	}
	t.Fatal("no exchange is due")
	return Heartbeat{}
}

// finishExchange completes at d an exchange that was started at began.
func finishExchange(t *testing.T, m *Machine, began, d time.Duration) {
	t.Helper()
	assert.NilError(t, m.HeartbeatAnswered(timeAt(d), timeAt(began), other, heartbeatAfter(5, d)))
}

// TestNewsDuringAnExchange checks that a fact that came up during an exchange,
// too late to be carried by it, is sent right after it and not an interval
// later.
func TestNewsDuringAnExchange(t *testing.T) {
	const began = time.Second
	gap := DefaultMinInterval / expediteGapDivisor
	m := newMachineWithPeer()
	assert.Assert(t, !beginExchange(t, m, began).Gone)
	m.SetSelf(timeAt(began), SelfState{Incarnation: 1000, Ended: true})
	finishExchange(t, m, began, began+10*time.Millisecond)
	assert.Assert(t, beginExchange(t, m, began+gap).Gone)
}

// TestNewsOfAnAnswer checks that a fact learned from a partner causes no extra
// exchange with that partner.
func TestNewsOfAnAnswer(t *testing.T) {
	const began = time.Second
	m := newMachineWithPeer()
	beginExchange(t, m, began)
	hb := heartbeatAfter(5, began)
	hb.Leaving = true
	assert.NilError(t, m.HeartbeatAnswered(timeAt(began), timeAt(began), other, hb))
	assert.Assert(t, m.AllPartnersNotified(timeAt(began)))
	assert.Equal(t, len(m.Due(timeAt(began+DefaultMinInterval/expediteGapDivisor))), 0)
}

// TestToldNeedsEveryPartner checks that both partners must be told that the
// entry has ended; one is told in the answer to its own call.
func TestToldNeedsEveryPartner(t *testing.T) {
	const second ident.InstanceID = "entry-a2"
	m := newMachineWithPeer()
	m.ApplyInstanceList(timeAt(0), timeAt(0), 2, []ListedInstance{{ID: other, Zone: "hall-a"}, {ID: second, Zone: "hall-a"}})
	m.Due(timeAt(time.Second))
	m.Heartbeat(timeAt(time.Second), other)
	m.Heartbeat(timeAt(time.Second), second)
	assert.Assert(t, m.AllPartnersNotified(timeAt(time.Second)))

	m.SetSelf(timeAt(2*time.Second), SelfState{Incarnation: 1000, Ended: true})
	assert.Assert(t, !m.AllPartnersNotified(timeAt(2*time.Second)))
	beginExchange(t, m, 2*time.Second)
	assert.Assert(t, !m.AllPartnersNotified(timeAt(2*time.Second)))
	answer, err := m.Receive(timeAt(2*time.Second), second, heartbeatAfter(7, time.Second))
	assert.NilError(t, err)
	assert.Assert(t, answer.Gone)
	assert.Assert(t, m.AllPartnersNotified(timeAt(2*time.Second)))
}
