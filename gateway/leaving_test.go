package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// TestLeavingReachesAllInstances guards against instances that do not learn from others that an
// upstream has said that it leaves, and against one that forgets it when it restarts.
func TestLeavingReachesAllInstances(t *testing.T) {
	runRateTest(t, func(t *testing.T, f *rateFleet) {
		u := f.anyEngine()
		allKnow := func() bool {
			for _, i := range f.instances {
				if listed, _ := i.running().node.Snapshot().Find(u.Service, u.ID); !listed.Leaving {
					return false
				}
			}
			return true
		}
		begin := time.Now()
		f.instances[0].running().observeNotice(dialect.Notice{From: u, RequestedAt: begin, Leaving: true})
		f.await("all instances know that the upstream leaves", allKnow)
		t.Logf("all instances knew it after %s", time.Since(begin))
		assert.Check(t, time.Since(begin) <= 3*time.Second)
		if len(f.instances) == 1 {
			return
		}
		last := f.instances[len(f.instances)-1]
		last.kill()
		last.start()
		begin = time.Now()
		f.await("the restarted instance knows it", allKnow)
		t.Logf("the restarted instance knew it after %s", time.Since(begin))
	})
}
