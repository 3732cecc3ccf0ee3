package e2e

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/standin/control"
)

// TestStalledTransfersOfOneEngine stalls all KV transfers of one prefill engine.
// Repeatable requests must get complete answers through the other engine. The
// others may also end with outcome unknown, since the decode engine had accepted
// them. Nothing may stay held.
func TestStalledTransfersOfOneEngine(t *testing.T) {
	b := newBed(t)
	b.setEngineFaults(control.EngineFaults{StallTransfers: true}, prefillA)
	// Makes all requests start at the engine that stalls.
	b.setEngineFaults(control.EngineFaults{Refuse: true}, prefillB)
	var reviews, triages []*pending
	for _, in := range b.Instances {
		reviews = append(reviews, b.startCompletion(review(in, 1000, 50)))
		triages = append(triages, b.startCompletion(triage(in, 1000, 50)))
	}
	b.awaitStage("receiving", 1, decodeA, decodeB)
	b.setEngineFaults(control.EngineFaults{}, prefillB)
	for _, p := range triages {
		r := b.await(p)
		assert.Check(t, r.Complete() || r.Outcome == api.Unknown, "%s: %s", p.id, describe(r))
	}
	for _, p := range reviews {
		r := b.await(p)
		assert.Check(t, r.Complete(), "%s: %s", p.id, describe(r))
	}
	b.awaitNothingHeld()
	ran := b.runs()
	for _, p := range append(reviews, triages...) {
		assert.Check(t, ran.Request(p.id).Completed <= 1, p.id)
	}
}

// TestStalledTransfersEverywhere stalls all KV transfers: no request may be
// answered with outcome not-run after its prefill, and nothing may stay held. Once
// transfers work again, requests must get complete answers.
func TestStalledTransfersEverywhere(t *testing.T) {
	b := newBed(t)
	b.setEngineFaults(control.EngineFaults{StallTransfers: true}, prefillA, prefillB)
	var sent []*pending
	for _, in := range b.Instances {
		sent = append(sent, b.startCompletion(review(in, 1000, 50)), b.startCompletion(triage(in, 1000, 50)))
	}
	results := map[string]api.Outcome{}
	for _, p := range sent {
		r := b.await(p)
		assert.Assert(t, !r.Complete(), "%s: %s", p.id, describe(r))
		results[p.id] = r.Outcome
	}
	b.awaitNothingHeld()
	ran := b.runs()
	for id, outcome := range results {
		assert.Assert(t, outcome == api.Unknown || !ran.Request(id).Ran(), "%s: %s, %+v", id, outcome, ran.Request(id))
	}
	b.setEngineFaults(control.EngineFaults{}, prefillA, prefillB)
	for _, in := range b.Instances {
		b.requireComplete(b.startCompletion(review(in, 200, 20)))
	}
}
