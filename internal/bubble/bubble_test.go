package bubble

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestExpiredTickersOfManyGoroutines guards against the race detector crashing when many
// goroutines receive from expired tickers concurrently.
func TestExpiredTickersOfManyGoroutines(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	Test(t, func(t *testing.T) {
		var g sync.WaitGroup
		for range 100 {
			g.Go(func() {
				ticker := time.NewTicker(time.Millisecond)
				defer ticker.Stop()
				for range 500 {
					time.Sleep(2 * time.Millisecond)
					<-ticker.C
				}
			})
		}
		g.Wait()
	})
	assert.Equal(t, runtime.GOMAXPROCS(0), before)
}
