package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
)

// firstRequests is the number of requests sent to an entry during its start.
const firstRequests = 300

// TestRestartedEntryKeepsItsFirstRequests sends requests that are not repeatable
// to an entry from the moment it starts: those that it accepts must get complete
// answers, also while its view of the fleet, which it receives from its agent step
// by step, is incomplete.
func TestRestartedEntryKeepsItsFirstRequests(t *testing.T) {
	b := newBed(t)
	in := b.Instances[0]
	assert.NilError(t, in.Entry.Kill())
	assert.NilError(t, b.StartEntry(in))
	var sent []*pending
	for range firstRequests {
		sent = append(sent, b.startCompletion(triage(in, 200, 100)))
		b.wait(5 * time.Millisecond)
	}
	taken := 0
	for _, p := range sent {
		r := b.await(p)
		if connectionLost(r) || r.Outcome == api.NotRun {
			continue
		}
		taken++
		assert.Assert(t, r.Complete(), "%s: %s", p.id, describe(r))
	}
	assert.Assert(t, taken > 0, "no request was accepted")
	t.Logf("%s accepted %d of %d requests", in.ID, taken, len(sent))
}
