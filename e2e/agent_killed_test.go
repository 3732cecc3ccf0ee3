package e2e

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestAgentRestartDisturbsNothing restarts the agents of all instances during
// streams: the streams continue to their end, and each is decoded once.
func TestAgentRestartDisturbsNothing(t *testing.T) {
	b := newBed(t)
	var sent []*pending
	for _, in := range b.Instances {
		sent = append(sent, b.startStream(review(in, 200, 600)), b.startStream(triage(in, 200, 600)))
	}
	for _, in := range b.Instances {
		assert.NilError(t, in.Agent.Kill())
		assert.NilError(t, b.StartAgent(in))
	}
	for _, in := range b.Instances {
		assert.NilError(t, b.WaitReady(b.ctx, in))
	}
	for _, p := range sent {
		b.requireComplete(p)
	}
	b.awaitNothingHeld()
	ran := b.runs()
	for _, p := range sent {
		assert.Equal(t, ran.Request(p.id).DecodeRuns, 1, p.id)
	}
}
