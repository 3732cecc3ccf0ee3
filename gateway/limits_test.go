package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/limit"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/bubble"
)

// limitFleet is a simFleet whose instances are asked to charge requests to the limits of
// workspaces.
type limitFleet struct {
	*simFleet
	mu sync.Mutex
	// allowed holds the allowed requests in the order of their times.
	allowed []allowedRequest
}

// allowedRequest is the time and the cost, in tokens, of a request that the limit allowed.
type allowedRequest struct {
	at   time.Time
	cost float64
}

// limitedWorkspace returns a workspace with a limit of rate tokens per second and a burst of one
// second.
func limitedWorkspace(rate float64) *routing.Workspace {
	return &routing.Workspace{Name: "w", Limit: routing.Limit{Rate: rate, Burst: rate, Unit: routing.Tokens, DefaultCost: 200}}
}

// take charges the cost of a request at an instance. It returns false if the instance is down.
func (b *limitFleet) take(i *simInstance, w *routing.Workspace, version int64, cost float64) (fleet.TokenDecision, bool) {
	s := i.running()
	if s == nil {
		return fleet.TokenDecision{}, false
	}
	v := s.node.TakeTokens(context.Background(), w, version, cost)
	if v.Granted {
		b.mu.Lock()
		b.allowed = append(b.allowed, allowedRequest{time.Now(), cost})
		b.mu.Unlock()
	}
	return v, true
}

// streamCost is the cost of each request in load, in tokens.
const streamCost = 8000

// sendLoad sends requests of 8,000 tokens to random ones of the given instances for a time, at a
// total rate of tokensPerSecond. It returns how many tokens running instances were asked for and
// how many the limit allowed.
func (b *limitFleet) sendLoad(instances []*simInstance, w *routing.Workspace, tokensPerSecond float64, lasts time.Duration) (asked, granted float64) {
	const cost = streamCost
	var all sync.WaitGroup
	var mu sync.Mutex
	pause := time.Duration(cost / tokensPerSecond * float64(time.Second))
	for began := time.Now(); time.Since(began) < lasts; time.Sleep(pause) {
		i := instances[b.random.IntN(len(instances))]
		all.Go(func() {
			v, up := b.take(i, w, 1, cost)
			mu.Lock()
			defer mu.Unlock()
			if up {
				asked += cost
			}
			if v.Granted {
				granted += cost
			}
		})
	}
	all.Wait()
	return asked, granted
}

// maxAllowed returns the maximum number of tokens that were allowed in any period of 8 s.
func (b *limitFleet) maxAllowed() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	most, sum, first := 0.0, 0.0, 0
	for _, r := range b.allowed {
		sum += r.cost
		for ; r.at.Sub(b.allowed[first].at) >= 8*time.Second; first++ {
			sum -= b.allowed[first].cost
		}
		most = max(most, sum)
	}
	return most
}

// acceptedTokens returns how many tokens users accept to be used in 8 s under a limit: 25% more
// than the limit, plus a slack of 120,000 tokens.
func acceptedTokens(l routing.Limit) float64 { return (l.Rate*8+l.Burst)*1.25 + 120000 }

// runLimitTest runs a scenario with fleets of several sizes in virtual time.
func runLimitTest(t *testing.T, scenario func(t *testing.T, b *limitFleet)) {
	sizes := []int{7, 60}
	if raceDetector {
		// Larger fleets take minutes, because a synctest bubble runs on one processor only.
		sizes = sizes[:1]
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			bubble.Test(t, func(t *testing.T) {
				b := &limitFleet{simFleet: newSimFleet(t, n, 3, 2, 4)}
				defer b.close()
				scenario(t, b)
			})
		})
	}
}

// TestLimitHoldsOverWholeInstances guards against a limit that allows too much or too little under
// eight times its rate, with the requests at all instances, at one instance or in one zone. At most
// one request per zone may be allowed beyond the limit.
func TestLimitHoldsOverWholeInstances(t *testing.T) {
	runLimitTest(t, func(t *testing.T, b *limitFleet) {
		w := limitedWorkspace(100000)
		inZone := []*simInstance{}
		for _, i := range b.instances {
			if i.zone == "b" {
				inZone = append(inZone, i)
			}
		}
		for _, at := range [][]*simInstance{b.instances, b.instances[1:2], inZone} {
			b.allowed = nil
			_, granted := b.sendLoad(at, w, 8*w.Limit.Rate, 10*time.Second)
			assert.Check(t, b.maxAllowed() <= 9*w.Limit.Rate+3*streamCost, "%.0f", b.maxAllowed())
			assert.Check(t, granted >= 9.5*w.Limit.Rate, "%.0f", granted)
			time.Sleep(5 * time.Second)
		}
	})
}

// TestBelowTheLimitWholeInstancesRefuseNothing guards against refusals at half of the limit's rate
// when all requests arrive at one instance, and so in one zone.
func TestBelowTheLimitWholeInstancesRefuseNothing(t *testing.T) {
	runLimitTest(t, func(t *testing.T, b *limitFleet) {
		w := limitedWorkspace(100000)
		time.Sleep(2 * time.Second)
		asked, granted := b.sendLoad(b.instances[1:2], w, 0.5*w.Limit.Rate, 20*time.Second)
		assert.Equal(t, asked, granted)
	})
}

// TestLimitHoldsUnderFaults guards against a limit that allows too much during failures, under
// eight times its rate. A zone is partitioned, then all instances of another zone are killed,
// including those that own the account of the limit there, and then all instances are killed and
// restarted at the same time, twice.
func TestLimitHoldsUnderFaults(t *testing.T) {
	runLimitTest(t, func(t *testing.T, b *limitFleet) {
		w := limitedWorkspace(100000)
		var running sync.WaitGroup
		running.Go(func() { b.sendLoad(b.instances, w, 8*w.Limit.Rate, 40*time.Second) })
		time.Sleep(8 * time.Second)
		b.partitionZone("b")
		time.Sleep(5 * time.Second)
		b.partitionZone("")
		time.Sleep(3 * time.Second)
		for i, in := range b.instances {
			if i%3 == 0 {
				in.kill()
			}
		}
		time.Sleep(4 * time.Second)
		for range 2 {
			b.restartAll()
			time.Sleep(3 * time.Second)
		}
		running.Wait()
		assert.Check(t, b.maxAllowed() <= acceptedTokens(w.Limit), "%.0f of %.0f", b.maxAllowed(), acceptedTokens(w.Limit))
	})
}

// TestLimitChangesInQuickSuccession guards against requests being charged to an outdated limit.
// After several changes the limit of the newest configuration applies, even to instances that still
// ask with an older one.
func TestLimitChangesInQuickSuccession(t *testing.T) {
	runLimitTest(t, func(t *testing.T, b *limitFleet) {
		time.Sleep(2 * time.Second)
		const lower = 10000
		w := limitedWorkspace(100000)
		b.sendLoad(b.instances, w, 2*w.Limit.Rate, 2*time.Second)
		for version := int64(2); version < 8; version++ {
			for _, i := range b.instances[:3] {
				b.take(i, limitedWorkspace(100000*float64(version)), version, 100)
			}
		}
		for _, i := range b.instances {
			b.take(i, limitedWorkspace(lower), 9, 100)
		}
		b.allowed = nil
		b.sendLoad(b.instances, w, 2*w.Limit.Rate, 8*time.Second)
		assert.Check(t, b.maxAllowed() <= acceptedTokens(routing.Limit{Rate: lower, Burst: lower}), "%.0f", b.maxAllowed())
	})
}

// TestTokensOfRequestsThatDidNotRunComeBack guards against requests that did not run, because there
// is no engine, using up their workspace's limit.
func TestTokensOfRequestsThatDidNotRunComeBack(t *testing.T) {
	b := newKeyFleet(t)
	b.source.list = b.source.list[:1]
	b.source.config.Workspaces[0].Limit = routing.Limit{Rate: 100, Burst: 250, Unit: routing.Tokens}
	i := b.ready(t, "one")
	await(t, "the limit allows the first request", func() bool {
		status, _, _ := b.send(t, i, "/stream/x", "Bearer "+keyOfA)
		return status == http.StatusServiceUnavailable
	})
	for range 5 {
		status, _, body := b.send(t, i, "/stream/x", "Bearer "+keyOfA)
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
	}
	status := i.service.node.Limits()[0]
	assert.Assert(t, status.Owns)
	assert.Equal(t, status.Granted, status.Returned)
	assert.Assert(t, status.Granted >= 1200)
}

// TestOverTheLimit guards against requests over their workspace's limit reaching an upstream or
// being refused without a Retry-After, and against limits that affect other workspaces.
func TestOverTheLimit(t *testing.T) {
	b := newKeyFleet(t)
	b.source.config.Workspaces[0].Limit = routing.Limit{Rate: 100, Burst: 200, Unit: routing.Tokens}
	i := b.ready(t, "one")
	await(t, "the limit allows the first request", func() bool {
		status, _, _ := b.send(t, i, "/plain/x", "Bearer "+keyOfA)
		return status == http.StatusOK
	})
	before := len(b.upstream.requests())
	status, header, body := b.send(t, i, "/plain/x", "Bearer "+keyOfA)
	assert.Equal(t, status, http.StatusTooManyRequests, body)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, len(b.upstream.requests()), before)
	status, _, _ = b.send(t, i, "/plain/x", "Bearer "+keyOfB)
	assert.Equal(t, status, http.StatusOK, "request of another workspace, which has no limit")
	assert.Assert(t, limit.Grantable(b.source.config.Workspaces[0].Limit, 200))
}
