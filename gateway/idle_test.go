package gateway

import (
	"bytes"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/internal/bubble"
)

// countLoadReports returns the number of load reports in data that was written to a peer.
func countLoadReports(written []byte) int64 {
	return int64(bytes.Count(written, []byte(`"`+fleet.MethodLoad+`"`)))
}

// loadReportRate returns how many load reports per second an instance sends while run executes.
func loadReportRate(i *simInstance, run func()) float64 {
	start, before := time.Now(), i.loadReports.Load()
	run()
	return float64(i.loadReports.Load()-before) / time.Since(start).Seconds()
}

// TestIdleInstancesReportLoadSeldom guards against idle instances that report their load at the
// full rate, which would be traffic without use, and against busy ones that report it at the
// reduced rate.
func TestIdleInstancesReportLoadSeldom(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 30, 3, 10, 20)
		defer w.close()
		time.Sleep(3 * time.Second)
		var idle []float64
		var all sync.WaitGroup
		var mu sync.Mutex
		for _, i := range w.instances {
			all.Go(func() {
				rate := loadReportRate(i, func() { time.Sleep(10 * time.Second) })
				mu.Lock()
				defer mu.Unlock()
				idle = append(idle, rate)
			})
		}
		all.Wait()
		slices.Sort(idle)
		// The median excludes the hubs, which also exchange the loads of their zones.
		median := idle[len(idle)/2]
		t.Logf("%.2f load reports per second by the median idle instance", median)
		assert.Check(t, median <= 1.1)

		i := w.instances[1]
		busy := loadReportRate(i, func() { assert.Assert(t, w.send(i, "harmless", "").complete()) })
		t.Logf("%.2f load reports per second while a stream runs", busy)
		assert.Check(t, busy >= 2.5)
	})
}
