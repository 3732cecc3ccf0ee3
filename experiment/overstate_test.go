package experiment

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

const (
	// overstatementFactor is the factor by which an overstating caller
	// multiplies its output length.
	overstatementFactor = 8
	// overstateSeeds is the number of runs whose counts are added up.
	overstateSeeds = 12
	// overstateMargin is the difference between two sums that may arise by
	// chance, as a fraction of the offered requests: about three standard errors
	// of such a sum.
	overstateMargin = 0.02
)

// TestOverstatingCallersGainNothing guards against rewarding overstated output
// lengths. All callers of one workspace declare eight times the output length
// that they need, at 1.5 times the capacity, where an advantage would show. They
// must not get more good answers than with true lengths.
func TestOverstatingCallersGainNothing(t *testing.T) {
	for _, c := range []struct {
		deployment string
		workspace  ident.Workspace
	}{{"coastline", "franchise-north"}, {"lagos", "supplier-ikeja"}} {
		t.Run(c.deployment, func(t *testing.T) {
			t.Parallel()
			d := deployment(t, c.deployment)
			honest := countOutcomes(t, d, c.workspace, 1)
			overstated := countOutcomes(t, d, c.workspace, overstatementFactor)
			t.Logf("good answers: %d with true lengths, %d with overstated lengths, of %d offered", honest.Good, overstated.Good, honest.Offered)
			assert.Equal(t, honest.Offered, overstated.Offered)
			gain := float64(overstated.Good-honest.Good) / float64(honest.Offered)
			assert.Assert(t, gain <= overstateMargin, "overstating raised the share of good answers by %.3f", gain)
		})
	}
}

// countOutcomes adds up the outcomes of a workspace's model requests over some
// seeds, when it declares its output lengths multiplied by a factor.
func countOutcomes(t *testing.T, d *Deployment, workspace ident.Workspace, factor int) Count {
	t.Helper()
	var sum Count
	var mu sync.Mutex
	var runs sync.WaitGroup
	for seed := range uint64(overstateSeeds) {
		runs.Go(func() {
			w, err := overstatingWorld(d, workspace, factor, seed+1)
			if !assert.Check(t, err) || !assert.Check(t, w.run()) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, l := range w.callers.logicals {
				measured := l.at >= w.cell.Warmup && l.arrival.Kind.Route() == config.RouteModel
				if measured && l.arrival.Workspace == workspace {
					sum.add(l)
				}
			}
		})
	}
	runs.Wait()
	return sum
}

// overstatingWorld sets up a run in which one workspace declares wrong output
// lengths.
func overstatingWorld(d *Deployment, workspace ident.Workspace, factor int, seed uint64) (*world, error) {
	cell := NewCell(d, PolicyCurrent, 1.5, FaultNone, seed)
	cell.Duration = 30 * time.Second
	w, err := newWorld(cell, d)
	if err != nil {
		return nil, err
	}
	w.declaredOutput = func(l *logicalRequest) int {
		if l.arrival.Workspace == workspace {
			return l.arrival.OutputTokens * factor
		}
		return l.arrival.OutputTokens
	}
	return w, nil
}
