package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/peer"
)

// rateFleet is a simFleet whose instances ask for permission to send requests to an upstream that
// states a rate limit.
type rateFleet struct {
	*simFleet
	upstream dialect.Upstream
	mu       sync.Mutex
	granted  []time.Time
}

// The requirement for a limit of rateLimit requests per second: at most 1.5 times as many and
// rateSlack requests in any window of rateWindow.
const (
	rateLimit  = 10.0
	rateWindow = 4 * time.Second
	rateSlack  = 5
)

// sendLoad asks at random ones of the given instances for a time, at a total rate per second. It
// returns how many requests were granted.
func (f *rateFleet) sendLoad(instances []*simInstance, perSecond float64, lasts time.Duration) int {
	var all sync.WaitGroup
	before := f.count()
	for began := time.Now(); time.Since(began) < lasts; time.Sleep(time.Duration(float64(time.Second) / perSecond)) {
		i := instances[f.random.IntN(len(instances))]
		all.Go(func() {
			s := i.running()
			if s == nil {
				return
			}
			if granted, _ := s.node.TakeRequest(context.Background(), f.upstream, rateLimit); granted {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.granted = append(f.granted, time.Now())
			}
		})
	}
	all.Wait()
	return f.count() - before
}

// count returns the number of granted requests.
func (f *rateFleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.granted)
}

// worst returns the largest number of requests granted in any window.
func (f *rateFleet) worst() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	worst, first := 0, 0
	for i, at := range f.granted {
		for at.Sub(f.granted[first]) >= rateWindow {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// checkWorst checks the requirement.
func (f *rateFleet) checkWorst(t *testing.T, during string) {
	allowed := int(1.5*rateLimit*rateWindow.Seconds()) + rateSlack
	t.Logf("%s: worst window %d, allowed %d", during, f.worst(), allowed)
	assert.Check(t, f.worst() <= allowed, "%s: %d requests in a window, allowed %d", during, f.worst(), allowed)
}

// runRateTest runs a scenario with fleets of several sizes in virtual time.
func runRateTest(t *testing.T, scenario func(t *testing.T, f *rateFleet)) {
	sizes := []int{1, 8, 60}
	if raceDetector {
		sizes = sizes[:2]
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			bubble.Test(t, func(t *testing.T) {
				f := &rateFleet{simFleet: newSimFleet(t, n, 3, 2, 4), upstream: dialect.Upstream{ID: "u", Incarnation: 1, Zone: "b"}}
				defer f.close()
				time.Sleep(2 * time.Second)
				scenario(t, f)
			})
		})
	}
}

// TestRateLimitIsSharedByAllInstances guards against instances that together exceed an upstream's
// rate limit or leave much of it unused, wherever the requests arrive.
func TestRateLimitIsSharedByAllInstances(t *testing.T) {
	runRateTest(t, func(t *testing.T, f *rateFleet) {
		for _, at := range [][]*simInstance{f.instances, f.instances[:1]} {
			granted := f.sendLoad(at, 6*rateLimit, 10*time.Second)
			assert.Check(t, float64(granted) >= 0.75*rateLimit*10, "granted %d in 10 s", granted)
		}
		granted := f.sendLoad(f.instances, 0.5*rateLimit, 10*time.Second)
		assert.Check(t, float64(granted) >= 0.8*0.5*rateLimit*10, "granted %d of a load below the limit", granted)
		time.Sleep(10 * time.Second)
		f.sendLoad(f.instances, 40*rateLimit, 5*time.Second)
		f.checkWorst(t, "a burst after an idle time")
	})
}

// TestRateLimitHoldsUnderFaults guards against a rate limit that is exceeded while instances die,
// start and are cut off from others.
func TestRateLimitHoldsUnderFaults(t *testing.T) {
	runRateTest(t, func(t *testing.T, f *rateFleet) {
		var running sync.WaitGroup
		running.Go(func() { f.sendLoad(f.instances, 8*rateLimit, 40*time.Second) })
		time.Sleep(5 * time.Second)
		f.partitionZone("b")
		time.Sleep(6 * time.Second)
		f.partitionZone("")
		time.Sleep(3 * time.Second)
		for i, in := range f.instances {
			if i%3 == 1 {
				in.kill()
			}
		}
		time.Sleep(5 * time.Second)
		for i, in := range f.instances {
			if i%3 == 1 {
				in.start()
			}
		}
		time.Sleep(4 * time.Second)
		for range 2 {
			f.restartAll()
			time.Sleep(4 * time.Second)
		}
		running.Wait()
		f.checkWorst(t, "faults")
	})
}

// TestRateLimitOfNewIncarnation guards against a restarted upstream that is held to the use or the
// limit of its former incarnation.
func TestRateLimitOfNewIncarnation(t *testing.T) {
	runRateTest(t, func(t *testing.T, f *rateFleet) {
		old := f.upstream
		f.sendLoad(f.instances, 4*rateLimit, 3*time.Second)
		f.upstream.Incarnation++
		granted := f.sendLoad(f.instances, 4*rateLimit, 5*time.Second)
		assert.Check(t, float64(granted) >= 0.6*rateLimit*5, "granted %d to the new incarnation", granted)
		f.upstream = old
		assert.Equal(t, f.sendLoad(f.instances[:1], 4*rateLimit, 2*time.Second), 0, "granted to the former incarnation")
	})
}

// anyEngine returns an engine that the store lists.
func (f *rateFleet) anyEngine() dialect.Upstream {
	for _, e := range f.engines {
		return e.upstream
	}
	return dialect.Upstream{}
}

// limitOf returns the rate limit of an upstream that an instance knows, 0 if none.
func limitOf(i *simInstance, u dialect.Upstream) float64 {
	rate, ok := i.running().scheduler.RateLimit(u)
	if !ok {
		return 0
	}
	return rate
}

// TestRateLimitReachesAllInstances guards against instances that do not learn from others that an
// upstream states a rate limit, or that it no longer does.
func TestRateLimitReachesAllInstances(t *testing.T) {
	runRateTest(t, func(t *testing.T, f *rateFleet) {
		f.upstream = f.anyEngine()
		rate := rateLimit
		all := func(want float64) func() bool {
			return func() bool {
				for _, i := range f.instances {
					if limitOf(i, f.upstream) != want {
						return false
					}
				}
				return true
			}
		}
		first, last := f.instances[0].running(), f.instances[len(f.instances)-1].running()
		first.observeNotice(dialect.Notice{From: f.upstream, RequestedAt: time.Now(), RateLimit: &rate})
		begin := time.Now()
		f.await("all instances know the limit", all(rate))
		t.Logf("all instances knew the limit after %s", time.Since(begin))
		assert.Check(t, time.Since(begin) <= 3*time.Second)

		time.Sleep(time.Second)
		begin = time.Now()
		f.await("all instances know that the limit has ended", func() bool {
			last.observeNotice(dialect.Notice{From: f.upstream, RequestedAt: time.Now()})
			return all(0)()
		})
		t.Logf("all instances knew that it had ended after %s", time.Since(begin))
		assert.Check(t, time.Since(begin) <= 5*time.Second)
	})
}

// TestRateLimitIsNotKeptForUnlistedUpstreams guards against state of upstreams that are gone.
func TestRateLimitIsNotKeptForUnlistedUpstreams(t *testing.T) {
	runRateTest(t, func(t *testing.T, f *rateFleet) {
		rate := rateLimit
		f.instances[0].running().observeNotice(dialect.Notice{From: f.upstream, RequestedAt: time.Now(), RateLimit: &rate})
		time.Sleep(20 * time.Second)
		for _, i := range f.instances {
			assert.Equal(t, limitOf(i, f.upstream), 0.0, i.id)
		}
	})
}

// TestReplacedOwnerOfRateLimitGrantsNothing guards against two owners that grant the requests of the
// same instances, because some of these still ask the former one.
func TestReplacedOwnerOfRateLimitGrantsNothing(t *testing.T) {
	runRateTest(t, func(t *testing.T, f *rateFleet) {
		f.sendLoad(f.instances, 4*rateLimit, 3*time.Second)
		request := fleet.RateRequest{Upstream: f.upstream.ID, Zone: f.upstream.Zone, Incarnation: f.upstream.Incarnation, Rate: rateLimit}
		owners := 0
		for k, i := range f.instances {
			from := f.instances[(k+1)%len(f.instances)].running()
			granted := 0
			// A new bucket starts in debt, so the first call cannot be granted.
			for range 2 {
				answer, err := peer.Call[fleet.RateAnswer](t.Context(), from.pool, i.address, fleet.MethodRate, request)
				assert.NilError(t, err)
				granted += answer.Granted
				time.Sleep(2 * time.Second)
			}
			owners += min(granted, 1)
		}
		assert.Equal(t, owners, 1)
	})
}
