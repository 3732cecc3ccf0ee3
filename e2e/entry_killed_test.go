package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/testbed"
)

// slowCallTime is the duration of service calls that must still be running when a
// failure is injected.
const slowCallTime = 4 * time.Second

// endlessTokens is the number of output tokens of an answer that does not end
// during a test.
const endlessTokens = 20_000

// TestKilledEntryRunsNoOrderTwice verifies "An order, confirmation or dispatch
// marked as not repeatable runs at most once" and "When we are told not run, the
// request truly did not run": the instance that executes the calls is killed, and
// their callers retry with their tickets at every other instance.
func TestKilledEntryRunsNoOrderTwice(t *testing.T) {
	b := newBed(t)
	victim := b.Instances[0]
	b.setServiceFaults(control.ServiceFaults{DelayMS: slowCallTime.Milliseconds()})

	var calls []*client.ServiceCall
	var sent []*pending
	for _, in := range b.Instances {
		// The victim issues the ticket of each call, whichever instance it is
		// sent to.
		call := b.withTicket(order(victim))
		call.Target = in.Callers
		calls = append(calls, call)
		sent = append(sent, b.startServiceCall(call))
	}
	b.awaitServiceCalls(len(calls))
	unused := b.withTicket(order(victim))
	assert.NilError(t, victim.Entry.Kill())

	for i, p := range sent {
		r := b.await(p)
		assert.Assert(t, connectionLost(r) || r.Outcome == api.Unknown, "%s: %s", p.id, describe(r))
		if calls[i].Target != victim.Callers {
			assert.Equal(t, r.Outcome, api.Unknown, "%s: %s", p.id, describe(r))
		}
	}
	retryAll := func() {
		for _, call := range append(calls, unused) {
			for _, in := range b.others(victim) {
				again := *call
				again.Target = in.Callers
				r := b.await(b.startServiceCall(&again))
				assert.Equal(t, r.Outcome, api.Unknown, "%s: %s", call.RequestID, describe(r))
			}
		}
	}
	retryAll()
	// After its restart, the victim knows no more of the calls than its peers do.
	assert.NilError(t, b.StartEntry(victim))
	assert.NilError(t, b.WaitReady(b.ctx, victim))
	retryAll()
	for _, call := range append(calls, unused) {
		again := *call
		again.Target = victim.Callers
		r := b.await(b.startServiceCall(&again))
		assert.Equal(t, r.Outcome, api.Unknown, "%s: %s", call.RequestID, describe(r))
	}

	ran := b.runs()
	for _, call := range calls {
		assert.Equal(t, ran.KeyRuns(call.IdempotencyKey), 1, call.RequestID)
	}
	assert.Equal(t, ran.KeyRuns(unused.IdempotencyKey), 0)
}

// TestKilledEntryLeavesNothingHeld verifies "No engine memory stays held by a
// request whose caller is gone": the killed instance cannot cancel its streams,
// so its peers must find and release them, long before their deadlines. The other
// instances must continue to give complete answers.
func TestKilledEntryLeavesNothingHeld(t *testing.T) {
	killedEntryLeavesNothingHeld(t, func(_ *bed, in *testbed.Instance) error { return in.Entry.Kill() })
}

// TestKilledInstanceLeavesNothingHeld is TestKilledEntryLeavesNothingHeld with the
// agent killed too, so that no process can report the end of the entry.
func TestKilledInstanceLeavesNothingHeld(t *testing.T) {
	killedEntryLeavesNothingHeld(t, func(b *bed, in *testbed.Instance) error { return b.KillInstance(in) })
}

func killedEntryLeavesNothingHeld(t *testing.T, kill func(*bed, *testbed.Instance) error) {
	b := newBed(t)
	victim := b.Instances[0]
	// Places streams on the decode engines of both zones: the other engine refuses
	// each time.
	var sent []*pending
	for _, refusing := range []ident.UpstreamID{decodeA, decodeB} {
		b.setEngineFaults(control.EngineFaults{Refuse: true}, refusing)
		sent = append(sent, b.startStream(review(victim, 200, endlessTokens)), b.startStream(triage(victim, 200, endlessTokens)))
		b.setEngineFaults(control.EngineFaults{}, refusing)
	}
	assert.Equal(t, b.engineReport(decodeA).Held.Attempts, 2)
	assert.Equal(t, b.engineReport(decodeB).Held.Attempts, 2)

	began := time.Now()
	assert.NilError(t, kill(b, victim))
	for _, p := range sent {
		assert.Assert(t, connectionLost(b.await(p)), p.id)
	}
	b.awaitNothingHeld()
	t.Logf("everything released %v after the kill", time.Since(began).Round(100*time.Millisecond))
	assert.Assert(t, time.Since(began) < deadline, "released only after the deadline")

	ran := b.runs()
	for _, p := range sent {
		assert.Equal(t, ran.Request(p.id).Completed, 0, "%s ran to its end", p.id)
		assert.Equal(t, ran.Request(p.id).DecodeRuns, 1)
	}
	for _, in := range b.others(victim) {
		b.requireComplete(b.startCompletion(review(in, 200, 20)))
	}
}

// TestKilledEntryUnderTraffic kills and restarts the instances one after the other
// under mixed traffic, whose callers retry at other instances. One of the
// instances is the dispatcher that places all requests.
func TestKilledEntryUnderTraffic(t *testing.T) {
	b := newBed(t)
	tr := b.startTraffic(b.CallerAddresses())
	for _, victim := range b.Instances {
		b.wait(time.Second)
		assert.NilError(t, b.KillInstance(victim))
		b.wait(time.Second)
		assert.NilError(t, b.StartInstance(victim))
		assert.NilError(t, b.WaitReady(b.ctx, victim))
	}
	b.wait(time.Second)
	b.requireGuarantees(tr.stop(), true)
}

// TestKilledDispatcherDuringPrefills kills two instances at a time during prefills
// for the other two. One of the two pairs includes the dispatcher that places all
// requests: another instance must take over, and all requests of the surviving
// instances must get complete answers, long before their deadlines.
func TestKilledDispatcherDuringPrefills(t *testing.T) {
	b := newBed(t)
	for _, victims := range [][]*testbed.Instance{b.Instances[:2], b.Instances[2:]} {
		// One second per 500 tokens, so that the prefills are still running when
		// the victims are killed.
		b.setEngineFaults(control.EngineFaults{SlowFactor: 200}, prefillA, prefillB)
		var sent []*pending
		for _, in := range b.Instances {
			if in != victims[0] && in != victims[1] {
				sent = append(sent, b.startCompletion(review(in, 1500, 20)), b.startCompletion(review(in, 1500, 20)))
			}
		}
		b.awaitStage("prefill", 2, prefillA, prefillB)
		for _, in := range victims {
			assert.NilError(t, in.Entry.Kill())
		}
		b.setEngineFaults(control.EngineFaults{}, prefillA, prefillB)
		for _, p := range sent {
			b.requireComplete(p)
		}
		for _, in := range victims {
			assert.NilError(t, b.StartEntry(in))
			assert.NilError(t, b.WaitReady(b.ctx, in))
		}
	}
	b.awaitNothingHeld()
}
