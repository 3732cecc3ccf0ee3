package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// begin starts the exchange with the other instance that is due at d, and
// returns its heartbeat.
func begin(t *testing.T, m *Machine, d time.Duration) Heartbeat {
	t.Helper()
	for _, due := range m.Due(at(d)) {
		if due.Kind == DueHeartbeat && due.To == other {
			return m.Heartbeat(at(d), other)
		}
	}
	t.Fatal("no exchange is due")
	return Heartbeat{}
}

// answer completes at d an exchange that was started at began.
func answer(t *testing.T, m *Machine, began, d time.Duration) {
	t.Helper()
	assert.NilError(t, m.Answered(at(d), at(began), other, beat(5, d)))
}

// TestNewsDuringAnExchange checks that a fact that came up during an exchange,
// too late to be carried by it, is sent right after it and not an interval
// later.
func TestNewsDuringAnExchange(t *testing.T) {
	const began = time.Second
	gap := DefaultMinInterval / rushGapDivisor
	m := lone()
	assert.Assert(t, !begin(t, m, began).Gone)
	m.SetSelf(at(began), SelfState{Incarnation: 1000, Gone: true})
	answer(t, m, began, began+10*time.Millisecond)
	assert.Assert(t, begin(t, m, began+gap).Gone)
}

// TestNewsOfAnAnswer checks that a fact learned from a partner causes no extra
// exchange with that partner.
func TestNewsOfAnAnswer(t *testing.T) {
	const began = time.Second
	m := lone()
	begin(t, m, began)
	hb := beat(5, began)
	hb.Leaving = true
	assert.NilError(t, m.Answered(at(began), at(began), other, hb))
	assert.Assert(t, m.Told(at(began)))
	assert.Equal(t, len(m.Due(at(began+DefaultMinInterval/rushGapDivisor))), 0)
}

// TestToldNeedsEveryPartner checks that both partners must be told that the
// entry has ended; one is told in the answer to its own call.
func TestToldNeedsEveryPartner(t *testing.T) {
	const second ident.InstanceID = "entry-a2"
	m := lone()
	m.Instances(at(0), at(0), 2, []ListedInstance{{ID: other, Zone: "hall-a"}, {ID: second, Zone: "hall-a"}})
	m.Due(at(time.Second))
	m.Heartbeat(at(time.Second), other)
	m.Heartbeat(at(time.Second), second)
	assert.Assert(t, m.Told(at(time.Second)))

	m.SetSelf(at(2*time.Second), SelfState{Incarnation: 1000, Gone: true})
	assert.Assert(t, !m.Told(at(2*time.Second)))
	begin(t, m, 2*time.Second)
	assert.Assert(t, !m.Told(at(2*time.Second)))
	answer, err := m.Receive(at(2*time.Second), second, beat(7, time.Second))
	assert.NilError(t, err)
	assert.Assert(t, answer.Gone)
	assert.Assert(t, m.Told(at(2*time.Second)))
}
