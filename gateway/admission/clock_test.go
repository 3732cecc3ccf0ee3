package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDecisionBeforeTheLastSumsOfPeers guards against a panic, and a request without an answer, when sums of
// the peers arrive between the time of a decision and the decision, as in an instance that was paused.
func TestDecisionBeforeTheLastSumsOfPeers(t *testing.T) {
	const step = 300 * time.Millisecond
	supply := Supply{Places: []float64{100, 110, 120}, Step: step, Rate: 50}
	for _, paused := range []time.Duration{step / 2, step, 2 * step, 10 * step} {
		t.Run(paused.String(), func(t *testing.T) {
			defer func() {
				if p := recover(); p != nil {
					t.Errorf("panic: %v", p)
				}
			}()
			c := New(1)
			now := time.Now()
			w := c.Enter(now, Request{Service: "s", ID: plainID(), Arrived: now, Deadline: now.Add(14 * time.Second), Timeout: 14 * time.Second, Objective: time.Second})
			c.SetPeers(now.Add(paused), Peers{Instances: 2})
			v := w.Decide(now, supply, 0)
			assert.Assert(t, !v.Refuse, "%+v", v)
			assert.Assert(t, v.Places > 0 && v.Places <= supply.Places[0], "%+v", v)
		})
	}
}
