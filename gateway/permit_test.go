package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/internal/bubble"
)

// TestInstanceThatKnowsNobodyOrdersOnlyEnginesThatItAloneUses guards against two instances that have both started while
// no seed answers, each of which takes itself for the holder of the duty and orders the same engines.
func TestInstanceThatKnowsNobodyOrdersOnlyEnginesThatItAloneUses(t *testing.T) {
	const wait = 10 * time.Second
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

	p := &permit{}
	assert.Assert(t, p.allows(at(0), true, time.Time{}, wait), "joined at once")

	p = &permit{}
	for s := range 11 {
		assert.Assert(t, !p.allows(at(s), false, time.Time{}, wait), "%d s after the start", s)
	}
	assert.Assert(t, p.allows(at(11), false, time.Time{}, wait), "a lone instance")
	assert.Assert(t, !p.allows(at(12), false, at(12), wait), "another one uses the engines")
	assert.Assert(t, !p.allows(at(20), false, at(12), wait))
	assert.Assert(t, p.allows(at(23), false, at(12), wait))
	assert.Assert(t, p.allows(at(24), true, at(24), wait), "it has found the others")
	assert.Assert(t, !p.allows(at(25), false, at(24), wait))
}

// permitted returns the ratio of checks within 60 s at which each instance had the permission to give orders.
func (w *simFleet) permitted() (share map[string]float64) {
	const checks = 120
	share = map[string]float64{}
	states := map[string]*orderState{}
	for range checks {
		time.Sleep(orderCheckInterval)
		for _, i := range w.instances {
			if states[i.id] == nil {
				states[i.id] = &orderState{}
			}
			s := i.running()
			if s.mayOrder(states[i.id], leaseMargin) && s.node.Holds(dutyStages, leaseMargin, maxPeerResponseAge) {
				share[i.id] += 1.0 / checks
			}
		}
	}
	return share
}

// TestBusyFleetWhoseSeedsAreGoneGivesOrders guards against instances that have found each other and never give orders,
// because most seeds are gone and the requests of one count as unknown at another.
func TestBusyFleetWhoseSeedsAreGoneGivesOrders(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 4, 2, 4, 12)
		defer w.close()
		w.goneSeeds = 2
		w.restartAll()
		stop := w.runHarmlessStreams(12)
		defer stop()
		sum := 0.0
		for _, share := range w.permitted() {
			sum += share
		}
		assert.Assert(t, sum >= 0.5, "instances had the permission in %.2f of 60 s", sum)
	})
}

// TestRequestsAtEnginesThatPeersPollKeepOrdersBack guards against an instance that gives orders beside others which it
// doesn't know, since it asks only some of the engines that run their requests.
func TestRequestsAtEnginesThatPeersPollKeepOrdersBack(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		t.Run(zone, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := newSimFleet(t, 4, 2, 4, 12)
				defer w.close()
				w.goneSeeds = 2
				w.restartAll()
				w.mu.Lock()
				for _, e := range w.engines {
					if string(e.upstream.Zone) == zone && e.upstream.Stage == dialect.StageDecode {
						e.running = 5
					}
				}
				w.mu.Unlock()
				share := w.permitted()
				assert.Equal(t, len(share), 0, "%v", share)
			})
		})
	}
}
