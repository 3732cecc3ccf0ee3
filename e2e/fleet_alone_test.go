package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/testbed"
)

// awaitOwnZoneService waits until instances that are cut off give complete
// answers to a batch of concurrent requests, so that none of them is lost on its
// way to the other side.
func (b *bed) awaitOwnZoneService(calls func(*testbed.Instance) *pending, list ...*testbed.Instance) {
	b.t.Helper()
	const each = 5
	began := time.Now()
	b.eventually("complete answers from the own zone", func() (bool, string) {
		var sent []*pending
		for _, in := range list {
			for range each {
				sent = append(sent, calls(in))
			}
		}
		whole, last := 0, ""
		for _, p := range sent {
			if r := b.await(p); r.Complete() {
				whole++
			} else {
				last = p.id + ": " + describe(r)
			}
		}
		return whole == len(sent), fmt.Sprintf("%d of %d complete; %s", whole, len(sent), last)
	})
	b.t.Logf("served by the own zone after %v", time.Since(began).Round(100*time.Millisecond))
}

// TestZoneCutOffServesAlone verifies that, a few seconds after the start of a
// network partition, both sides serve requests with the upstreams of their own
// zone.
func TestZoneCutOffServesAlone(t *testing.T) {
	orders := func(b *bed) func(*testbed.Instance) *pending {
		return func(in *testbed.Instance) *pending {
			var call *client.ServiceCall = b.withTicket(order(in))
			call.Deadline = shortDeadline
			return b.startServiceCall(call)
		}
	}
	reviews := func(b *bed) func(*testbed.Instance) *pending {
		return func(in *testbed.Instance) *pending { return b.startCompletion(review(in, 50, 5)) }
	}
	for _, c := range []struct {
		name  string
		calls func(*bed) func(*testbed.Instance) *pending
	}{{"orders", orders}, {"reviews", reviews}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, withRelays)
			b.IsolateZone(hallB)
			b.awaitOwnZoneService(c.calls(b), b.instancesIn(hallA)...)
			b.awaitOwnZoneService(c.calls(b), b.instancesIn(hallB)...)
		})
	}
}
