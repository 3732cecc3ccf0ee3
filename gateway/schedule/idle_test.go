package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// exchangeBudget is the maximum duration of one load exchange. Three exchanges per second then
// take one percent of a core.
const exchangeBudget = time.Second / 100 / 3

// schedulerWithEngines returns a scheduler with the given number of decode engines and five placed
// requests.
func schedulerWithEngines(engines int) *Scheduler {
	b := NewScheduler("z", 1)
	var list []dialect.Upstream
	for i := range engines {
		list = append(list, dialect.Upstream{ID: ident.UpstreamID(fmt.Sprintf("e%d", i)), Service: "llm", Zone: "z", Stage: dialect.StageDecode})
	}
	e := &routing.Engine{Slots: 24, KVTokens: 60000}
	for range 5 {
		b.PlaceDecode(time.Unix(1000, 0), list, e, Size{Prompt: 5000, Estimate: 4000}, nil)
	}
	return b
}

// TestLoadExchangeTimeWithIdleEngines guards against load exchanges whose cost grows with the
// number of all engines instead of those in use.
func TestLoadExchangeTimeWithIdleEngines(t *testing.T) {
	smallest := time.Duration(0)
	for _, engines := range []int{600, 6000, 12000} {
		b := schedulerWithEngines(engines)
		peers := map[ident.UpstreamID]*InFlight{}
		for i := range 200 {
			peers[ident.UpstreamID(fmt.Sprintf("e%d", i))] = &InFlight{Requests: 1, Memory: Forecast{5000}}
		}
		fastest := time.Hour
		for i := range 50 {
			now := time.Unix(1000, 0).Add(time.Duration(i) * 300 * time.Millisecond)
			start := time.Now()
			b.OwnLoad(now)
			b.SetPeers(now, peers)
			fastest = min(fastest, time.Since(start))
		}
		t.Logf("%d engines: load exchange took %v", engines, fastest)
		if smallest == 0 {
			smallest = fastest
		}
		if fastest > 4*smallest {
			t.Errorf("%d engines: load exchange took %v, and %v with 600", engines, fastest, smallest)
		}
		if fastest > exchangeBudget {
			t.Errorf("%d engines: load exchange took %v, want at most %v", engines, fastest, exchangeBudget)
		}
	}
}
