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

// patience is the deadline of calls that may depend on the other side of a network
// partition.
const patience = 5 * time.Second

// present sends orders again with their tickets, each to all the given instances.
// The calls have short deadlines. It fails the test unless each call gets a
// complete answer or outcome unknown in time.
func (b *bed) present(calls []*client.ServiceCall, list ...*testbed.Instance) {
	b.t.Helper()
	var sent []*pending
	for _, call := range calls {
		for _, in := range list {
			again := *call
			again.Target = in.Callers
			again.Deadline = patience
			sent = append(sent, b.serve(&again))
		}
	}
	began := time.Now()
	for _, p := range sent {
		b.wholeOrUnknown(p)
	}
	took := time.Since(began)
	b.t.Logf("%d retries with tickets answered in %v", len(sent), took.Round(100*time.Millisecond))
	assert.Assert(b.t, took < soon, "answers came long after the deadlines")
}

// wholeOrUnknown waits for the end of a call and fails the test unless its answer
// is complete or its outcome is unknown.
func (b *bed) wholeOrUnknown(p *pending) {
	b.t.Helper()
	r := b.done(p)
	assert.Assert(b.t, r.Complete() || r.Outcome == api.Unknown, "%s: %s", p.id, describe(r))
}

// TestBundleWhileZoneCutOff verifies "No instance reverts" with a zone that is cut
// off from the other zone and from the platform: a bundle that is rolled during
// the network partition reaches one side at once and the other after the partition
// heals.
func TestBundleWhileZoneCutOff(t *testing.T) {
	b := newBed(t, withRelays)
	w := b.watchBundles()
	b.inForce(1, b.Instances...)
	near, far := b.in(hallA), b.in(hallB)

	b.CutOff(hallB)
	assert.Equal(t, b.roll(), uint64(2))
	b.inForce(2, near...)
	for _, in := range far {
		assert.Equal(t, b.status(in).Bundle.Version, uint64(1))
		assert.Assert(t, b.ready(in))
	}
	b.Rejoin(hallB)
	b.inForce(2, b.Instances...)
	b.answers(2, b.Instances...)
	w.neverBack()
}

// TestTicketsWhileZoneCutOff verifies "An order, confirmation or dispatch marked
// as not repeatable runs at most once" with calls that are running when a zone is
// cut off. Their callers retry with their tickets on both sides, during the
// network partition and after it, and must get a complete answer or outcome
// unknown.
func TestTicketsWhileZoneCutOff(t *testing.T) {
	b := newBed(t, withRelays)
	b.serviceFaults(control.ServiceFaults{DelayMS: slowCalls.Milliseconds()})
	near, far := b.in(hallA), b.in(hallB)
	var orders []*client.ServiceCall
	var sent []*pending
	for _, executor := range b.Instances {
		for _, in := range b.Instances {
			call := b.ticketed(order(executor))
			call.Target = in.Callers
			orders = append(orders, call)
			sent = append(sent, b.serve(call))
		}
	}
	b.running(len(orders))
	all := append(orders, b.ticketed(order(near[0])), b.ticketed(order(far[0])))

	b.CutOff(hallB)
	b.present(all, near[1], far[1])
	b.Rejoin(hallB)
	for _, p := range sent {
		b.wholeOrUnknown(p)
	}
	b.present(all, b.Instances...)
	ran := b.ran()
	for _, call := range orders {
		assert.Equal(t, ran.KeyRuns(call.IdempotencyKey), 1, call.RequestID)
	}
	for _, call := range all[len(orders):] {
		assert.Assert(t, ran.KeyRuns(call.IdempotencyKey) <= 1, call.RequestID)
	}
}
