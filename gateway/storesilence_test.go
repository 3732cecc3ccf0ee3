package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
)

// TestHangingReadOfTheStoreHoldsUpNoQuestionToPeers guards against an instance that has a new configuration seconds after
// its zone's reader, because it waits for a read that the silent store never answers.
func TestHangingReadOfTheStoreHoldsUpNoQuestionToPeers(t *testing.T) {
	// Some deployments ask for it within 2 s.
	const within = 2 * time.Second
	for phase := range 24 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := newSimFleet(t, 9, 3, 2, 4)
				defer w.close()
				time.Sleep(5 * time.Second)
				silence := func(silent bool) {
					for _, i := range w.instances {
						i.mu.Lock()
						i.storeSilent = silent
						i.mu.Unlock()
					}
				}
				silence(true)
				time.Sleep(5*time.Second + time.Duration(phase)*70*time.Millisecond)
				silence(false)
				w.mu.Lock()
				config := *w.config
				config.Version++
				w.config = &config
				w.revision++
				w.mu.Unlock()
				back := time.Now()
				for _, i := range w.instances {
					for i.running().node.Snapshot().Version() != config.Version {
						time.Sleep(10 * time.Millisecond)
						assert.Assert(t, time.Since(back) <= within, "%s has version %d after %v", i.id, i.running().node.Snapshot().Version(), time.Since(back))
					}
				}
				t.Logf("all have it after %v", time.Since(back))
			})
		})
	}
}
