package probe

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// newTestBed returns a test bed of two instances and the given number of engines, which
// have 4 slots and 40 pieces of memory each and send no load reports by
// themselves.
func newTestBed(engines int) *slottest.TestBed {
	b := slottest.NewTestBed(slottest.Options{
		Seed: 1, Instances: 2, Engines: engines, Slots: 4, Pieces: 40,
		Policy: func() kernel.SlotPolicy { return &Policy{} },
	})
	b.Run(time.Second)
	return b
}

// free returns the number of slots of the first engine that the node assumes to
// be free.
func free(b *slottest.TestBed, n *slottest.Node) int {
	return n.Policy.Availability(n.Upstream(b.Engines[0].ID)).Free
}

// TestOwnUsesCountBeforeTheLoadShowsThem checks that an instance's own uses are
// subtracted exactly once: by its own count before a load report includes them,
// and by the report afterwards.
func TestOwnUsesCountBeforeTheLoadShowsThem(t *testing.T) {
	b := newTestBed(1)
	n, e := b.Nodes[0], b.Engines[0]
	assert.Equal(t, free(b, n), 3, "four slots less the margin")
	b.Reserve(n, e, time.Millisecond, time.Second)
	b.Reserve(n, e, 100*time.Millisecond, time.Second)
	assert.Equal(t, free(b, n), 1)
	b.Run(10 * time.Millisecond)
	// The report includes the first use, which must not be counted twice.
	n.ReceiveLoad(e.ID, e.Load())
	assert.Equal(t, free(b, n), 1)
	b.Run(995 * time.Millisecond)
	assert.Equal(t, free(b, n), 2, "the first use has ended since the report")
}

func TestOthersShowInTheLoad(t *testing.T) {
	b := newTestBed(1)
	e := b.Engines[0]
	for range 3 {
		b.Reserve(b.Nodes[1], e, time.Millisecond, time.Second)
	}
	b.Run(10 * time.Millisecond)
	assert.Equal(t, free(b, b.Nodes[0]), 3, "uses not in a load report yet")
	b.Nodes[0].ReceiveLoad(e.ID, e.Load())
	assert.Equal(t, free(b, b.Nodes[0]), 0)
	u := b.Reserve(b.Nodes[0], e, time.Millisecond, time.Second)
	assert.Assert(t, !u.Granted && !u.Pending, "reservation not denied immediately")
}

func TestRefusalsBackOff(t *testing.T) {
	b := newTestBed(1)
	n, e := b.Nodes[0], b.Engines[0]
	n.Policy.Refused(e.ID)
	assert.Equal(t, free(b, n), 0)
	b.Run(defaultBackoff + defaultBackoff/2 + time.Millisecond)
	assert.Equal(t, free(b, n), 3)
	n.Policy.Refused(e.ID)
	b.Run(2*defaultBackoff - time.Millisecond)
	assert.Equal(t, free(b, n), 0, "back-off not doubled after the second consecutive refusal")
}

// TestSampleShowsFewEngines checks that only defaultChoices of the free engines
// are reported as free at one time, and that over time each engine is.
func TestSampleShowsFewEngines(t *testing.T) {
	b := newTestBed(6)
	n := b.Nodes[0]
	shown := func() (count int) {
		for _, e := range b.Engines {
			if n.Policy.Availability(n.Upstream(e.ID)).Free > 0 {
				count++
			}
		}
		return count
	}
	assert.Equal(t, shown(), defaultChoices)
	seen := map[string]bool{}
	for range 100 {
		b.Run(time.Millisecond)
		for _, e := range b.Engines {
			if n.Policy.Availability(n.Upstream(e.ID)).Free > 0 {
				seen[string(e.ID)] = true
			}
		}
	}
	assert.Equal(t, len(seen), 6, "an engine was never sampled")
}

func TestMemoryIsCounted(t *testing.T) {
	b := newTestBed(1)
	u := &slottest.Use{Node: b.Nodes[0], Engine: b.Engines[0], Lead: time.Second, Hold: time.Second, Pieces: 30}
	b.StartUse(u)
	assert.Assert(t, u.Granted)
	v := &slottest.Use{Node: b.Nodes[0], Engine: b.Engines[0], Lead: time.Second, Hold: time.Second, Pieces: 30}
	b.StartUse(v)
	assert.Assert(t, !v.Granted)
}

func TestNothingIsLeftOver(t *testing.T) {
	b := newTestBed(2)
	for range 20 {
		for _, n := range b.Nodes {
			b.Reserve(n, b.Engines[0], 10*time.Millisecond, 100*time.Millisecond)
		}
		b.Run(20 * time.Millisecond)
	}
	b.Run(5 * time.Second)
	for _, n := range b.Nodes {
		p := n.Policy.(*Policy)
		assert.Equal(t, len(p.uses), 0)
		assert.Assert(t, len(p.engines[b.Engines[0].ID].ended) <= maxEnded)
	}
	assert.Equal(t, b.Traffic.Messages, 0)
}

func TestSettings(t *testing.T) {
	for _, s := range []Settings{{Choices: -1}, {Backoff: -1}} {
		p := &Policy{Settings: s}
		assert.NilError(t, p.Provision())
		assert.ErrorType(t, p.Validate(), &SettingError{})
	}
}
