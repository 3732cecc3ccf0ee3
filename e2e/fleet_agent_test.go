package e2e

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/testbed"
)

// requireServed sends n model requests, lookups and orders at once to an
// instance and fails the test unless all answers are complete.
func (b *bed) requireServed(in *testbed.Instance, n int) {
	b.t.Helper()
	var sent []*pending
	for range n {
		sent = append(sent, b.startCompletion(review(in, 200, 10)), b.startServiceCall(lookup(in)), b.startServiceCall(b.withTicket(order(in))))
	}
	for _, p := range sent {
		b.requireComplete(p)
	}
}

// TestKilledAgent verifies that an entry whose agent is killed continues with its
// last view and bundle, and that the restarted agent passes it the version that
// was rolled in the meantime.
func TestKilledAgent(t *testing.T) {
	b := newBed(t)
	w := b.watchBundles()
	victim := b.Instances[0]
	b.awaitVersion(1, b.Instances...)
	streams := []*pending{b.startStream(review(victim, 200, 700)), b.startStream(triage(victim, 200, 700))}

	assert.NilError(t, victim.Agent.Kill())
	b.requireAnswers(1, victim)
	assert.Equal(t, b.roll(), uint64(2))
	b.awaitVersion(2, b.others(victim)...)
	// When these streams end, the load reports that the entry has are stale.
	for _, p := range streams {
		b.requireComplete(p)
	}
	b.requireAnswers(1, victim)
	b.requireServed(victim, 5)
	assert.Assert(t, b.ready(victim))

	assert.NilError(t, b.StartAgent(victim))
	b.awaitVersion(2, b.Instances...)
	b.requireAnswers(2, b.Instances...)
	assert.Equal(t, b.roll(), uint64(3))
	b.awaitVersion(3, b.Instances...)
	b.requireAnswers(3, b.Instances...)
	w.requireNoRevert()
}
