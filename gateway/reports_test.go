package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
)

// totalReportRequests returns the number of load report requests sent to all engines so far.
func (w *simFleet) totalReportRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, count := range w.reportRequests {
		n += count
	}
	return n
}

// TestIdleEnginesAreNotPolledForReports guards against report requests to idle engines, whose
// number would grow with the fleet instead of with the engines in use.
func TestIdleEnginesAreNotPolledForReports(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 7, 3, 70, 140)
		defer w.close()
		before := w.totalReportRequests()
		time.Sleep(5 * time.Second)
		idle := w.totalReportRequests() - before
		assert.Check(t, idle <= 140*6/idlePollRounds, "%d report requests", idle)

		// Two streams run for two seconds, each on its own engine.
		w.mu.Lock()
		w.reportRequests = map[string]int{}
		w.mu.Unlock()
		done := make(chan bool, 2)
		for _, i := range w.instances[:2] {
			go func() { done <- w.send(i, "harmless", "").complete() }()
		}
		for range 2 {
			assert.Assert(t, <-done)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		polled := 0
		for _, requests := range w.reportRequests {
			if requests >= 2 {
				polled++
			}
		}
		assert.Equal(t, polled, 2, "number of engines polled in each round")
	})
}
