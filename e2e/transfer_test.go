package e2e

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/standin/control"
)

// TestStalledTransfersOfOneEngine stalls all KV transfers of one prefill engine:
// requests get their whole answers by the other one, and nothing stays held.
func TestStalledTransfersOfOneEngine(t *testing.T) {
	b := newBed(t)
	b.engineFaults(control.EngineFaults{StallTransfers: true}, prefillA)
	// All have to begin at the engine that stalls.
	b.engineFaults(control.EngineFaults{Refuse: true}, prefillB)
	var sent []*pending
	for _, in := range b.Instances {
		sent = append(sent, b.complete(review(in, 1000, 50)), b.complete(triage(in, 1000, 50)))
	}
	b.held(1)
	b.engineFaults(control.EngineFaults{}, prefillB)
	for _, p := range sent {
		r := b.done(p)
		// The decode engine had the request, and did not attest that it did not
		// begin: a request that is not repeatable ends there.
		assert.Assert(t, r.Complete() || r.Outcome == api.Unknown, "%s: %s", p.id, describe(r))
	}
	b.nothingHeld()
	ran := b.ran()
	for _, p := range sent {
		assert.Assert(t, ran.Request(p.id).Completed <= 1, p.id)
	}
}

// TestStalledTransfersEverywhere stalls all KV transfers: every request is
// answered honestly, none as "not run" after its prefill, and nothing stays
// held. When the links are well again, requests are answered whole.
func TestStalledTransfersEverywhere(t *testing.T) {
	b := newBed(t)
	b.engineFaults(control.EngineFaults{StallTransfers: true}, prefillA, prefillB)
	var sent []*pending
	for _, in := range b.Instances {
		sent = append(sent, b.complete(review(in, 1000, 50)), b.complete(triage(in, 1000, 50)))
	}
	results := map[string]api.Outcome{}
	for _, p := range sent {
		r := b.done(p)
		assert.Assert(t, !r.Complete(), "%s: %s", p.id, describe(r))
		results[p.id] = r.Outcome
	}
	b.nothingHeld()
	ran := b.ran()
	for id, outcome := range results {
		assert.Assert(t, outcome == api.Unknown || !ran.Request(id).Ran(), "%s: %s, %+v", id, outcome, ran.Request(id))
	}
	b.engineFaults(control.EngineFaults{}, prefillA, prefillB)
	for _, in := range b.Instances {
		b.whole(b.complete(review(in, 200, 20)))
	}
}
