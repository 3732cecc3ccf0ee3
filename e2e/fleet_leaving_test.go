package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/standin/control"
)

// workSent counts the work that was sent to the upstreams of a zone: accepted is
// what engines accepted and services ran, refused is what either refused.
func (b *bed) workSent(zone ident.Zone) (accepted, refused int) {
	b.t.Helper()
	r := b.reports()
	for _, e := range r.Engines {
		if b.Deployment.ZoneOf(e.ID) == zone {
			accepted += e.Totals.Accepted
			refused += e.Totals.Refused
		}
	}
	for _, s := range r.Services {
		if b.Deployment.ZoneOf(s.ID) == zone {
			accepted += s.Runs
			refused += s.Refused
		}
	}
	return accepted, refused
}

// enough is the amount of work that the other upstreams must be sent while the
// leaving ones are sent none. It is large enough that this is no coincidence.
const enough = 50

// someWork is the amount of work after which upstreams count as receiving traffic.
const someWork = 20

// sentNoWork waits until the upstreams of the staying zone were sent enough
// work, and reports whether those of the leaving zone were sent none in the
// meantime.
func (b *bed) sentNoWork(leaving, staying ident.Zone) (ok bool, why string) {
	b.t.Helper()
	accepted, refused := b.workSent(leaving)
	before, _ := b.workSent(staying)
	b.eventually("work at the other upstreams", func() (bool, string) {
		now, _ := b.workSent(staying)
		return now-before >= enough, fmt.Sprintf("%d sent", now-before)
	})
	acceptedNow, refusedNow := b.workSent(leaving)
	more, no := acceptedNow-accepted, refusedNow-refused
	return more == 0 && no == 0, fmt.Sprintf("accepted %d more, refused %d", more, no)
}

// TestLeavingUpstreams verifies "A leaving upstream receives no new work after a
// few seconds", and that the work it already has is completed. All upstreams of a
// zone leave: the platform lists them as leaving, or they report that they drain.
func TestLeavingUpstreams(t *testing.T) {
	t.Run("listed by the platform", func(t *testing.T) {
		leavingUpstreams(t, func(b *bed) {
			assert.NilError(b.t, b.PublishLists(b.ctx, string(prefillB), string(decodeB), string(serviceB)))
		})
	})
	t.Run("draining by themselves", func(t *testing.T) {
		leavingUpstreams(t, func(b *bed) {
			b.setEngineFaults(control.EngineFaults{Draining: true}, prefillB, decodeB)
			slow := control.ServiceFaults{Draining: true, DelayMS: slowCallTime.Milliseconds()}
			assert.NilError(b.t, b.upstream(serviceB).SetServiceFaults(b.ctx, slow))
		})
	})
}

func leavingUpstreams(t *testing.T, leave func(*bed)) {
	b := newBed(t)
	streams, orders, calls := b.startInFlightAt(decodeB, serviceB)
	tr := b.startTraffic(b.CallerAddresses())
	b.eventually("traffic at the leaving upstreams", func() (bool, string) {
		accepted, _ := b.workSent(hallB)
		return accepted > someWork, fmt.Sprintf("%d accepted", accepted)
	})

	leave(b)
	began := time.Now()
	b.eventually("the end of new work", func() (bool, string) { return b.sentNoWork(hallB, hallA) })
	t.Logf("no new work (against %d at the other upstreams) after %v", enough, time.Since(began).Round(100*time.Millisecond))
	ok, why := b.sentNoWork(hallB, hallA)
	assert.Assert(t, ok, why)

	for _, p := range append(streams, calls...) {
		b.requireComplete(p)
	}
	b.requireRanOnce(streams, orders)
	outcomes := b.requireGuarantees(tr.stop(), true)
	assert.Equal(t, len(outcomes), 1, "%v", outcomes)
}

// startInFlightAt starts streams on one engine and calls with tickets on one
// service, and returns once they run there.
func (b *bed) startInFlightAt(decode, service ident.UpstreamID) (streams []*pending, orders []*client.ServiceCall, calls []*pending) {
	b.t.Helper()
	const tokens = 1000
	other := map[ident.UpstreamID]ident.UpstreamID{
		decodeA: decodeB, decodeB: decodeA, serviceA: serviceB, serviceB: serviceA,
	}
	b.setEngineFaults(control.EngineFaults{Refuse: true}, other[decode])
	for _, in := range b.Instances {
		streams = append(streams, b.startStream(review(in, 200, tokens)))
	}
	b.setEngineFaults(control.EngineFaults{}, other[decode])
	assert.Equal(b.t, b.engineReport(decode).Held.Attempts, len(streams))

	b.setServiceFaults(control.ServiceFaults{DelayMS: slowCallTime.Milliseconds()})
	assert.NilError(b.t, b.upstream(other[service]).SetServiceFaults(b.ctx, control.ServiceFaults{Refuse: true}))
	for _, in := range b.Instances {
		call := b.withTicket(order(in))
		orders = append(orders, call)
		calls = append(calls, b.startServiceCall(call))
	}
	b.awaitServiceCalls(len(calls))
	assert.NilError(b.t, b.upstream(other[service]).SetServiceFaults(b.ctx, control.ServiceFaults{}))
	return streams, orders, calls
}

// requireRanOnce fails the test unless each stream and each order ran exactly
// once.
func (b *bed) requireRanOnce(streams []*pending, orders []*client.ServiceCall) {
	b.t.Helper()
	ran := b.runs()
	for _, p := range streams {
		assert.Equal(b.t, ran.Request(p.id).DecodeRuns, 1, p.id)
	}
	for _, call := range orders {
		assert.Equal(b.t, ran.KeyRuns(call.IdempotencyKey), 1, call.RequestID)
	}
}
