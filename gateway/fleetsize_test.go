package gateway

import (
	"flag"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/bubble"
)

// largeFlag also runs the tests with large fleets, which take minutes.
var largeFlag = flag.Bool("fleet.large", false, "also test fleets of 100, 300 and 409 instances")

// countedConn counts the bytes and load reports that one side of a connection between instances
// sends.
type countedConn struct {
	net.Conn
	sender *simInstance
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sender.sent.Add(int64(n))
	c.sender.loadReports.Add(countLoadReports(p))
	c.sender.originCalls.Add(countOriginCalls(p))
	return n, err
}

// bytesSent returns how many bytes each instance has sent so far.
func (w *simFleet) bytesSent() []int64 {
	var out []int64
	for _, i := range w.instances {
		out = append(out, i.sent.Load())
	}
	return out
}

// sentPerSecond lets some time pass and returns how many bytes per second the instances sent in it:
// the median instance and the one that sent the most.
func (w *simFleet) sentPerSecond(lasts time.Duration) (median, busiest float64) {
	before := w.bytesSent()
	time.Sleep(lasts)
	after := w.bytesSent()
	for i := range after {
		after[i] -= before[i]
	}
	slices.Sort(after)
	return float64(after[len(after)/2]) / lasts.Seconds(), float64(after[len(after)-1]) / lasts.Seconds()
}

// awaitAll waits until a condition holds for all instances and returns how long that took.
func (w *simFleet) awaitAll(what string, holds func(s *Service) bool) time.Duration {
	began := time.Now()
	w.await(what, func() bool {
		for _, i := range w.instances {
			if s := i.running(); s == nil || !holds(s) {
				return false
			}
		}
		return true
	})
	return time.Since(began)
}

// fleetBounds are the limits for a fleet with ten times as many upstreams as instances.
type fleetBounds struct {
	instances int
	// median and busiest bound the bytes per second that the median instance and the busiest one
	// send while one upstream per second begins to leave.
	median, busiest float64
}

// TestFleetsWithManyUpstreams guards against traffic between instances that grows with the list of
// upstreams, against changes in the store that take effect too late, and against a fleet that does
// not serve again within 5 s after the loss of all its instances.
func TestFleetsWithManyUpstreams(t *testing.T) {
	bounds := []fleetBounds{{30, 20e3, 60e3}}
	if *largeFlag {
		bounds = append(bounds, fleetBounds{100, 20e3, 150e3}, fleetBounds{300, 30e3, 400e3}, fleetBounds{409, 40e3, 600e3})
	}
	if raceDetector {
		// Larger fleets take minutes, because a synctest bubble runs on one processor only.
		bounds = []fleetBounds{{7, 20e3, 60e3}}
	}
	for _, b := range bounds {
		t.Run(fmt.Sprint(b.instances), func(t *testing.T) {
			t.Parallel()
			bubble.Test(t, func(t *testing.T) { testManyUpstreams(t, b) })
		})
	}
}

func testManyUpstreams(t *testing.T, b fleetBounds) {
	w := newSimFleet(t, b.instances, 3, 3*b.instances, 7*b.instances)
	defer w.close()
	time.Sleep(5 * time.Second)
	leavingCount := 0
	leave := func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		e := w.engines[fmt.Sprintf("e%d:1", leavingCount)]
		leavingCount++
		e.upstream.Leaving = true
		w.revision++
	}
	ticking := time.NewTicker(time.Second)
	defer ticking.Stop()
	go func() {
		for range 10 {
			<-ticking.C
			leave()
		}
	}()
	median, busiest := w.sentPerSecond(10 * time.Second)
	assert.Check(t, median <= b.median, "%.0f", median)
	assert.Check(t, busiest <= b.busiest, "%.0f", busiest)

	want := w.publishConfig()
	inForce := w.awaitAll("all instances use the new configuration", func(s *Service) bool { return s.node.Snapshot().Version() >= want })
	leave()
	leaving := w.awaitAll("all instances know the leaving upstreams", func(s *Service) bool { return w.knowsLeaving(s, leavingCount) })
	for _, i := range w.instances {
		i.kill()
	}
	for _, i := range w.instances {
		i.start()
	}
	serving := w.awaitAll("all instances are ready", func(s *Service) bool { return s.node.Snapshot().Ready() })
	t.Logf("%d instances: median %.1f KB/s, busiest %.1f KB/s; configuration in use after %v, leaving upstream known after %v, ready again after %v",
		b.instances, median/1e3, busiest/1e3, inForce, leaving, serving)
	assert.Check(t, inForce <= 2*time.Second)
	assert.Check(t, leaving <= 2*time.Second)
	assert.Check(t, serving <= 5*time.Second)
}

// publishConfig publishes the next version of the configuration.
func (w *simFleet) publishConfig() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.config
	next.Routes = append([]routing.Route(nil), next.Routes...)
	next.Version++
	w.revision++
	w.config = &next
	return next.Version
}

// knowsLeaving reports whether an instance knows at least want leaving upstreams.
func (w *simFleet) knowsLeaving(s *Service, want int) bool {
	n := 0
	for _, u := range s.node.Snapshot().Upstreams["llm"] {
		if u.Leaving {
			n++
		}
	}
	return n >= want
}
