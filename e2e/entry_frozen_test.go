package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/testbed"
)

const (
	// freezeTime is long enough that the peers consider an instance unreachable
	// that is frozen together with its agent.
	freezeTime = 9 * time.Second
	// shortFreeze is long enough that engines finish some answers during it.
	shortFreeze = 4 * time.Second
)

// TestFrozenEntryIsNotRobbed pauses an instance during streams and calls and then
// resumes it. It guards against peers that consider the frozen instance dead and
// release what it holds: nothing may run twice, nothing that ran may be answered
// as not run, and the callers, who are still waiting, must receive complete
// answers.
func TestFrozenEntryIsNotRobbed(t *testing.T) {
	t.Run("the entry alone", func(t *testing.T) {
		testFrozenEntry(t, shortFreeze, func(in *testbed.Instance) []*testbed.Process {
			return []*testbed.Process{in.Entry}
		})
	})
	t.Run("with its agent", func(t *testing.T) {
		testFrozenEntry(t, freezeTime, func(in *testbed.Instance) []*testbed.Process {
			return []*testbed.Process{in.Entry, in.Agent}
		})
	})
}

func testFrozenEntry(t *testing.T, pause time.Duration, frozen func(*testbed.Instance) []*testbed.Process) {
	b := newBed(t)
	victim := b.Instances[0]
	b.setServiceFaults(control.ServiceFaults{DelayMS: slowCallTime.Milliseconds()})

	// Some streams end during the pause, the others continue after it.
	var streams []*pending
	longTokens := int((pause + 2*time.Second) / decodeStep)
	for _, tokens := range []int{200, 200, longTokens, longTokens} {
		streams = append(streams, b.startStream(review(victim, 200, tokens)), b.startStream(triage(victim, 200, tokens)))
	}
	var orders []*client.ServiceCall
	var calls []*pending
	for _, in := range b.Instances {
		call := b.withTicket(order(victim))
		call.Target = in.Callers
		orders = append(orders, call)
		calls = append(calls, b.startServiceCall(call))
	}
	withoutTicket := b.startServiceCall(order(victim))
	b.awaitServiceCalls(len(orders) + 1)

	for _, p := range frozen(victim) {
		assert.NilError(t, p.Freeze())
	}
	// The callers retry at another instance while the instance is frozen.
	var again []*pending
	for _, call := range orders {
		retry := *call
		retry.Target = b.Instances[1].Callers
		again = append(again, b.startServiceCall(&retry))
	}
	b.wait(pause)
	for _, p := range frozen(victim) {
		assert.NilError(t, p.Thaw())
	}

	for _, p := range append(streams, withoutTicket) {
		b.requireComplete(p)
	}
	for _, p := range calls {
		b.requireComplete(p)
	}
	for _, p := range again {
		r := b.await(p)
		assert.Assert(t, r.Complete() || r.Outcome == api.Unknown, "%s: %s", p.id, describe(r))
	}
	b.awaitNothingHeld()
	ran := b.runs()
	for _, p := range streams {
		assert.Equal(t, ran.Request(p.id).DecodeRuns, 1, p.id)
	}
	for _, call := range orders {
		assert.Equal(t, ran.KeyRuns(call.IdempotencyKey), 1, call.RequestID)
	}
	assert.Equal(t, ran.Request(withoutTicket.id).ServiceRuns, 1)
}

// TestFrozenEntryUnderTraffic freezes the instances one after the other under
// mixed traffic. One of them is the dispatcher that places all requests.
func TestFrozenEntryUnderTraffic(t *testing.T) {
	b := newBed(t)
	tr := b.startTraffic(b.CallerAddresses())
	for _, in := range b.Instances {
		b.wait(500 * time.Millisecond)
		assert.NilError(t, in.Entry.Freeze())
		b.wait(1500 * time.Millisecond)
		assert.NilError(t, in.Entry.Thaw())
	}
	b.wait(time.Second)
	b.requireGuarantees(tr.stop(), true)
}
