package carry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/internal/bubble"
)

// TestAwaitStreams guards against a migration loop that polls while no stream runs, or sleeps
// while one does.
func TestAwaitStreams(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := New(Options{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		returned := make(chan bool, 1)
		await := func() {
			go func() { returned <- c.AwaitStreams(ctx) }()
			synctest.Wait()
		}
		await()
		assert.Equal(t, len(returned), 0, "returned although no stream runs")
		var first schedule.Ticket
		c.addStream(first, &stream{})
		assert.Assert(t, <-returned)
		await()
		assert.Assert(t, <-returned)
		c.removeStream(first)
		await()
		time.Sleep(time.Hour)
		assert.Equal(t, len(returned), 0, "returned after the stream had ended")
		cancel()
		assert.Assert(t, !<-returned)
	})
}
