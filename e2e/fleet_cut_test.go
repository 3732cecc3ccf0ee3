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

// shortDeadline is the deadline of calls that may depend on the other side of a
// network partition.
const shortDeadline = 5 * time.Second

// retryWithTickets sends orders again with their tickets, each to all the given
// instances. The calls have short deadlines. It fails the test unless each call
// gets a complete answer or outcome unknown in time.
func (b *bed) retryWithTickets(calls []*client.ServiceCall, list ...*testbed.Instance) {
	b.t.Helper()
	var sent []*pending
	for _, call := range calls {
		for _, in := range list {
			again := *call
			again.Target = in.Callers
			again.Deadline = shortDeadline
			sent = append(sent, b.startServiceCall(&again))
		}
	}
	began := time.Now()
	for _, p := range sent {
		b.requireCompleteOrUnknown(p)
	}
	took := time.Since(began)
	b.t.Logf("%d retries with tickets answered in %v", len(sent), took.Round(100*time.Millisecond))
	assert.Assert(b.t, took < waitLimit, "answers came long after the deadlines")
}

// requireCompleteOrUnknown waits for the end of a call and fails the test unless
// its answer is complete or its outcome is unknown.
func (b *bed) requireCompleteOrUnknown(p *pending) {
	b.t.Helper()
	r := b.await(p)
	assert.Assert(b.t, r.Complete() || r.Outcome == api.Unknown, "%s: %s", p.id, describe(r))
}

// TestBundleWhileZoneCutOff verifies "No instance reverts" with a zone that is cut
// off from the other zone and from the platform: a bundle that is rolled during
// the network partition reaches one side at once and the other after the partition
// heals.
func TestBundleWhileZoneCutOff(t *testing.T) {
	b := newBed(t, withRelays)
	w := b.watchBundles()
	b.awaitVersion(1, b.Instances...)
	near, far := b.instancesIn(hallA), b.instancesIn(hallB)

	b.IsolateZone(hallB)
	assert.Equal(t, b.roll(), uint64(2))
	b.awaitVersion(2, near...)
	for _, in := range far {
		assert.Equal(t, b.status(in).Bundle.Version, uint64(1))
		assert.Assert(t, b.ready(in))
	}
	b.ReconnectZone(hallB)
	b.awaitVersion(2, b.Instances...)
	b.requireAnswers(2, b.Instances...)
	w.requireNoRevert()
}

// TestTicketsWhileZoneCutOff verifies "An order, confirmation or dispatch marked
// as not repeatable runs at most once" with calls that are running when a zone is
// cut off. Their callers retry with their tickets on both sides, during the
// network partition and after it, and must get a complete answer or outcome
// unknown.
func TestTicketsWhileZoneCutOff(t *testing.T) {
	b := newBed(t, withRelays)
	b.setServiceFaults(control.ServiceFaults{DelayMS: slowCallTime.Milliseconds()})
	near, far := b.instancesIn(hallA), b.instancesIn(hallB)
	var orders []*client.ServiceCall
	var sent []*pending
	for _, executor := range b.Instances {
		for _, in := range b.Instances {
			call := b.withTicket(order(executor))
			call.Target = in.Callers
			orders = append(orders, call)
			sent = append(sent, b.startServiceCall(call))
		}
	}
	b.awaitServiceCalls(len(orders))
	all := append(orders, b.withTicket(order(near[0])), b.withTicket(order(far[0])))

	b.IsolateZone(hallB)
	b.retryWithTickets(all, near[1], far[1])
	b.ReconnectZone(hallB)
	for _, p := range sent {
		b.requireCompleteOrUnknown(p)
	}
	b.retryWithTickets(all, b.Instances...)
	ran := b.runs()
	for _, call := range orders {
		assert.Equal(t, ran.KeyRuns(call.IdempotencyKey), 1, call.RequestID)
	}
	for _, call := range all[len(orders):] {
		assert.Assert(t, ran.KeyRuns(call.IdempotencyKey) <= 1, call.RequestID)
	}
}
