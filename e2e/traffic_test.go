package e2e

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/load/referee"
	"github.com/wardspool/wardspool/load/runner"
)

// traffic is mixed load on a set of instances by callers that follow the protocol:
// they use tickets, and retry at other instances where that is safe.
type traffic struct {
	stopping chan struct{}
	records  chan []runner.Record
}

const (
	// trafficRate is the rate in requests per second.
	trafficRate = 15
	// trafficSlice is the duration of each of the load runs that make up the
	// traffic.
	trafficSlice = time.Second
)

// startTraffic starts sending mixed requests to the instances at the given
// addresses, until it is stopped.
func (b *bed) startTraffic(targets []string) *traffic {
	tr := &traffic{stopping: make(chan struct{}), records: make(chan []runner.Record, 1)}
	options := runner.Options{
		Spec: b.spec, Targets: targets, Rate: trafficRate, Duration: trafficSlice, Tickets: true,
	}
	go func() { tr.records <- tr.run(b.ctx, options) }()
	return tr
}

// run starts one load run after the other, without waiting for the answers of
// earlier runs.
func (tr *traffic) run(ctx context.Context, o runner.Options) []runner.Record {
	var slices sync.WaitGroup
	var mu sync.Mutex
	var all []runner.Record
	tick := time.NewTicker(trafficSlice)
	defer tick.Stop()
	for {
		o.Seed++
		o.RunID = newRequestID("traffic")
		slice := o
		slices.Go(func() {
			records := runner.Run(ctx, slice)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, records...)
		})
		select {
		case <-tick.C:
			continue
		case <-tr.stopping:
		case <-ctx.Done():
		}
		slices.Wait()
		return all
	}
}

// stop ends the traffic, waits for the last answers and returns the records of all
// requests.
func (tr *traffic) stop() []runner.Record {
	close(tr.stopping)
	return <-tr.records
}

// requireGuarantees fails the test if the stand-ins' reports contradict the
// callers' records, and returns the number of requests with each outcome.
func (b *bed) requireGuarantees(records []runner.Record, allReport bool) map[api.Outcome]int {
	b.t.Helper()
	reports, err := referee.FetchIdle(b.ctx, b.UpstreamAddresses(), waitLimit)
	assert.NilError(b.t, err)
	v := referee.Judge(records, reports, allReport)
	assert.Equal(b.t, v.Unrecorded, 0)
	assert.Assert(b.t, !v.Violated(), "%+v", v)
	outcomes := map[api.Outcome]int{}
	for i := range records {
		outcomes[records[i].Outcome]++
	}
	b.t.Logf("%d requests: %v", len(records), outcomes)
	assert.Assert(b.t, outcomes[api.Complete] > 0, "no request got a complete answer")
	return outcomes
}

// TestTrafficWithoutFaults is the control experiment of the other tests: without a
// fault, every request gets a complete answer.
func TestTrafficWithoutFaults(t *testing.T) {
	b := newBed(t)
	tr := b.startTraffic(b.CallerAddresses())
	b.wait(2 * time.Second)
	outcomes := b.requireGuarantees(tr.stop(), true)
	assert.Equal(t, len(outcomes), 1, "%v", outcomes)
}
