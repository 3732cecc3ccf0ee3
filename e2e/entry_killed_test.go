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

// slowCalls is how long service calls take that must still run when a failure
// comes.
const slowCalls = 4 * time.Second

// endless is an answer that is not over when the test is.
const endless = 20_000

// TestKilledEntryRunsNoOrderTwice shows "An order, confirmation or dispatch
// marked as not repeatable runs at most once" and "When we are told not run, the
// request truly did not run": the instance that holds the calls is killed, and
// their callers try again with their tickets at every other instance.
func TestKilledEntryRunsNoOrderTwice(t *testing.T) {
	b := newBed(t)
	victim := b.Instances[0]
	b.serviceFaults(control.ServiceFaults{DelayMS: slowCalls.Milliseconds()})

	var calls []*client.ServiceCall
	var sent []*pending
	for _, in := range b.Instances {
		// The ticket is the victim's, wherever the call is sent.
		call := b.ticketed(order(victim))
		call.Target = in.Callers
		calls = append(calls, call)
		sent = append(sent, b.serve(call))
	}
	b.running(len(calls))
	unused := b.ticketed(order(victim))
	assert.NilError(t, victim.Entry.Kill())

	for i, p := range sent {
		r := b.done(p)
		assert.Assert(t, lost(r) || r.Outcome == api.Unknown, "%s: %s", p.id, describe(r))
		if calls[i].Target != victim.Callers {
			assert.Equal(t, r.Outcome, api.Unknown, "%s: %s", p.id, describe(r))
		}
	}
	retryAll := func() {
		for _, call := range append(calls, unused) {
			for _, in := range b.others(victim) {
				again := *call
				again.Target = in.Callers
				r := b.done(b.serve(&again))
				assert.Equal(t, r.Outcome, api.Unknown, "%s: %s", call.RequestID, describe(r))
			}
		}
	}
	retryAll()
	// A new life of the victim knows as little of the calls as its peers.
	assert.NilError(t, b.StartEntry(victim))
	assert.NilError(t, b.WaitReady(b.ctx, victim))
	retryAll()
	for _, call := range append(calls, unused) {
		again := *call
		again.Target = victim.Callers
		r := b.done(b.serve(&again))
		assert.Equal(t, r.Outcome, api.Unknown, "%s: %s", call.RequestID, describe(r))
	}

	ran := b.ran()
	for _, call := range calls {
		assert.Equal(t, ran.KeyRuns(call.IdempotencyKey), 1, call.RequestID)
	}
	assert.Equal(t, ran.KeyRuns(unused.IdempotencyKey), 0)
}

// TestKilledEntryLeavesNothingHeld shows "No engine memory stays held by a
// request whose caller is gone": the killed instance cannot cancel its streams,
// so its peers find and release them, long before their deadlines. Callers that
// may repeat their requests get whole answers elsewhere.
func TestKilledEntryLeavesNothingHeld(t *testing.T) {
	killedEntryLeavesNothingHeld(t, func(_ *bed, in *testbed.Instance) error { return in.Entry.Kill() })
}

// TestKilledInstanceLeavesNothingHeld is the same with an instance whose agent
// dies too, so that nobody can say that the entry has ended.
func TestKilledInstanceLeavesNothingHeld(t *testing.T) {
	killedEntryLeavesNothingHeld(t, func(b *bed, in *testbed.Instance) error { return b.KillInstance(in) })
}

func killedEntryLeavesNothingHeld(t *testing.T, kill func(*bed, *testbed.Instance) error) {
	b := newBed(t)
	victim := b.Instances[0]
	// Streams on the engines of both zones, by having the other one refuse.
	var sent []*pending
	for _, refusing := range []ident.UpstreamID{decodeA, decodeB} {
		b.engineFaults(control.EngineFaults{Refuse: true}, refusing)
		sent = append(sent, b.stream(review(victim, 200, endless)), b.stream(triage(victim, 200, endless)))
		b.engineFaults(control.EngineFaults{}, refusing)
	}
	assert.Equal(t, b.engine(decodeA).Held.Attempts, 2)
	assert.Equal(t, b.engine(decodeB).Held.Attempts, 2)

	began := time.Now()
	assert.NilError(t, kill(b, victim))
	for _, p := range sent {
		assert.Assert(t, lost(b.done(p)), p.id)
	}
	b.nothingHeld()
	t.Logf("nothing held %v after the kill", time.Since(began).Round(100*time.Millisecond))
	assert.Assert(t, time.Since(began) < deadline, "released by deadline only")

	ran := b.ran()
	for _, p := range sent {
		assert.Equal(t, ran.Request(p.id).Completed, 0, "%s ended by itself", p.id)
		assert.Equal(t, ran.Request(p.id).DecodeRuns, 1)
	}
	for _, in := range b.others(victim) {
		b.whole(b.complete(review(in, 200, 20)))
	}
}

// TestKilledEntryUnderTraffic kills the instances one after the other in the
// middle of mixed traffic whose callers try again elsewhere, and lets each come
// back. One of them places the requests of all.
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
	b.check(tr.stop(), true)
}

// TestKilledDispatcherDuringPrefills kills two instances at a time while prefills
// of the others run. The instance that places the requests of all is among them
// once: another one takes over, and all requests of those that live are answered
// whole, long before their deadlines.
func TestKilledDispatcherDuringPrefills(t *testing.T) {
	b := newBed(t)
	for _, victims := range [][]*testbed.Instance{b.Instances[:2], b.Instances[2:]} {
		// A second for each 500 tokens: the prefills run while the others end.
		b.engineFaults(control.EngineFaults{SlowFactor: 200}, prefillA, prefillB)
		var sent []*pending
		for _, in := range b.Instances {
			if in != victims[0] && in != victims[1] {
				sent = append(sent, b.complete(review(in, 1500, 20)), b.complete(review(in, 1500, 20)))
			}
		}
		b.inStage("prefill", 2, prefillA, prefillB)
		for _, in := range victims {
			assert.NilError(t, in.Entry.Kill())
		}
		b.engineFaults(control.EngineFaults{}, prefillA, prefillB)
		for _, p := range sent {
			b.whole(p)
		}
		for _, in := range victims {
			assert.NilError(t, b.StartEntry(in))
			assert.NilError(t, b.WaitReady(b.ctx, in))
		}
	}
	b.nothingHeld()
}
