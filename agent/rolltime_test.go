package agent

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// The size of the fleet whose time to in-force TestTimeToInForce measures:
//
//	go test ./agent -run TestTimeToInForce -v -rolltime.zones=6 -rolltime.perzone=68
var (
	rolltimeZones      = flag.Int("rolltime.zones", 3, "availability zones of TestTimeToInForce")
	rolltimePerZone    = flag.Int("rolltime.perzone", 8, "instances in each of them")
	rolltimeWorkspaces = flag.Int("rolltime.workspaces", 300, "workspaces in the bundle")
)

// Limits of TestTimeToInForce, in virtual time.
const (
	startLimit   = time.Minute
	inForceLimit = 16 * time.Second
	sampleGap    = 50 * time.Millisecond
)

// timesInForce polls the entries for a version. It returns, sorted, the times
// since the call at which entries had the version, for those that had it within
// the limit.
func (f *fleet) timesInForce(nodes []*node, version uint64, limit time.Duration) []time.Duration {
	started := time.Now()
	times := make([]time.Duration, 0, len(nodes))
	waiting := slices.Clone(nodes)
	for len(waiting) > 0 && time.Since(started) < limit {
		time.Sleep(sampleGap)
		waiting = slices.DeleteFunc(waiting, func(n *node) bool {
			if n.entry.version() < version {
				return false
			}
			times = append(times, time.Since(started))
			return true
		})
	}
	return times
}

// TestTimeToInForce measures how long the protocol takes until a version that
// changes one workspace is in force on every entry. Time is virtual: processors
// and the network take none of it, so the times consist only of message rounds,
// waits between them and retries.
func TestTimeToInForce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-0", config.RolePrefill)
		f.addEngine("dc-1", "hall-0", config.RoleDecode)
		var zones []ident.Zone
		for i := range *rolltimeZones {
			zones = append(zones, ident.Zone(fmt.Sprintf("hall-%d", i)))
		}
		nodes := f.addAll(*rolltimePerZone, zones...)
		f.list()
		burst := 1
		change := func(c *config.Content) {
			for i := range *rolltimeWorkspaces {
				c.Workspaces = append(c.Workspaces, config.Workspace{
					Name: ident.Workspace(fmt.Sprintf("franchise-%05d", i)), Weight: 1, RatePerSecond: 20, Burst: burst,
				})
				if i != *rolltimeWorkspaces/2 {
					c.Workspaces[len(c.Workspaces)-1].Burst = 40
				}
			}
			burst++
		}
		f.publish(change)
		startAll(nodes)
		times := f.timesInForce(nodes, 1, startLimit)
		assert.Equal(t, len(times), len(nodes), "started")
		t.Logf("%d instances started: last %v", len(nodes), times[len(times)-1])
		time.Sleep(10 * time.Second)
		for range 3 {
			f.publish(change)
			times = f.timesInForce(nodes, f.head.Manifest.Version, inForceLimit)
			assert.Equal(t, len(times), len(nodes), "instances with the version in force")
			t.Logf("in force: p50 %v, p95 %v, last %v", times[len(times)/2], times[len(times)*95/100], times[len(times)-1])
			time.Sleep(3 * time.Second)
		}
	})
}
