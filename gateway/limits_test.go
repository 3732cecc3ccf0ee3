package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/limit"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/bubble"
)

// limitBed is a fleet of whole instances in virtual time whose callers ask for tokens.
type limitBed struct {
	*fleetWorld
	mu  sync.Mutex
	ran []ranTokens
}

// ranTokens is a request that was let through.
type ranTokens struct {
	at   time.Time
	cost float64
}

// workspaceOf makes a workspace with a limit in tokens.
func workspaceOf(rate float64) *routing.Workspace {
	return &routing.Workspace{Name: "w", Limit: routing.Limit{Rate: rate, Burst: rate, Unit: routing.Tokens, Plain: 200}}
}

// ask takes tokens at an instance; false if it is down or refuses.
func (b *limitBed) ask(i *worldInstance, w *routing.Workspace, version int64, cost float64) (fleet.Verdict, bool) {
	s := i.running()
	if s == nil {
		return fleet.Verdict{}, false
	}
	v := s.node.Take(context.Background(), w, version, cost)
	if v.Granted {
		b.mu.Lock()
		b.ran = append(b.ran, ranTokens{time.Now(), cost})
		b.mu.Unlock()
	}
	return v, true
}

// streamCost is what each request of a load costs.
const streamCost = 8000

// load has callers of each of the given instances ask for streams of 8,000 tokens, at a rate
// of all together, for a time.
func (b *limitBed) load(instances []*worldInstance, w *routing.Workspace, tokensPerSecond float64, lasts time.Duration) (asked, granted float64) {
	const cost = streamCost
	var all sync.WaitGroup
	var mu sync.Mutex
	pause := time.Duration(cost / tokensPerSecond * float64(time.Second))
	for began := time.Now(); time.Since(began) < lasts; time.Sleep(pause) {
		i := instances[b.random.IntN(len(instances))]
		all.Go(func() {
			v, up := b.ask(i, w, 1, cost)
			mu.Lock()
			defer mu.Unlock()
			if up {
				asked += cost
			}
			if v.Granted {
				granted += cost
			}
		})
	}
	all.Wait()
	return asked, granted
}

// most returns the most tokens that ran in any window of 8 s.
func (b *limitBed) most() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	most, sum, first := 0.0, 0.0, 0
	for _, r := range b.ran {
		sum += r.cost
		for ; r.at.Sub(b.ran[first].at) >= 8*time.Second; first++ {
			sum -= b.ran[first].cost
		}
		most = max(most, sum)
	}
	return most
}

// allowed is what the users allow in 8 s, with a quarter and their slack on top.
func allowed(l routing.Limit) float64 { return (l.Rate*8+l.Burst)*1.25 + 120000 }

// playLimits plays a load against fleets of several sizes.
func playLimits(t *testing.T, play func(t *testing.T, b *limitBed)) {
	sizes := []int{7, 60}
	if raceDetector {
		// Larger fleets take minutes, as bubbles are limited to one processor.
		sizes = sizes[:1]
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			bubble.Test(t, func(t *testing.T) {
				b := &limitBed{fleetWorld: newFleetWorld(t, n, 3, 2, 4)}
				defer b.close()
				play(t, b)
			})
		})
	}
}

// TestLimitHoldsOverWholeInstances: eight times the limit through all instances, through
// one, and in one zone. What is allowed runs, and one request a zone beyond it at most.
func TestLimitHoldsOverWholeInstances(t *testing.T) {
	playLimits(t, func(t *testing.T, b *limitBed) {
		w := workspaceOf(100000)
		inZone := []*worldInstance{}
		for _, i := range b.instances {
			if i.zone == "b" {
				inZone = append(inZone, i)
			}
		}
		for _, at := range [][]*worldInstance{b.instances, b.instances[1:2], inZone} {
			b.ran = nil
			_, granted := b.load(at, w, 8*w.Limit.Rate, 10*time.Second)
			assert.Check(t, b.most() <= 9*w.Limit.Rate+3*streamCost, "%.0f", b.most())
			assert.Check(t, granted >= 9.5*w.Limit.Rate, "%.0f", granted)
			time.Sleep(5 * time.Second)
		}
	})
}

// TestBelowTheLimitWholeInstancesRefuseNothing: half of the limit, all of it in one zone.
func TestBelowTheLimitWholeInstancesRefuseNothing(t *testing.T) {
	playLimits(t, func(t *testing.T, b *limitBed) {
		w := workspaceOf(100000)
		time.Sleep(2 * time.Second)
		asked, granted := b.load(b.instances[1:2], w, 0.5*w.Limit.Rate, 20*time.Second)
		assert.Equal(t, asked, granted)
	})
}

// TestLimitHoldsUnderFaults: a zone is cut off, its keepers die, all instances are killed at
// once and start again, and are killed once more; callers ask for eight times the limit all
// the while.
func TestLimitHoldsUnderFaults(t *testing.T) {
	playLimits(t, func(t *testing.T, b *limitBed) {
		w := workspaceOf(100000)
		var running sync.WaitGroup
		running.Go(func() { b.load(b.instances, w, 8*w.Limit.Rate, 40*time.Second) })
		time.Sleep(8 * time.Second)
		b.cutZone("b")
		time.Sleep(5 * time.Second)
		b.cutZone("")
		time.Sleep(3 * time.Second)
		for i, in := range b.instances {
			if i%3 == 0 {
				in.end()
			}
		}
		time.Sleep(4 * time.Second)
		for range 2 {
			for _, in := range b.instances {
				in.end()
			}
			time.Sleep(time.Second)
			for _, in := range b.instances {
				in.start()
			}
			time.Sleep(3 * time.Second)
		}
		running.Wait()
		assert.Check(t, b.most() <= allowed(w.Limit), "%.0f of %.0f", b.most(), allowed(w.Limit))
	})
}

// TestLimitChangesInQuickSuccession: the newest configuration binds, whoever asks with an
// older one.
func TestLimitChangesInQuickSuccession(t *testing.T) {
	playLimits(t, func(t *testing.T, b *limitBed) {
		time.Sleep(2 * time.Second)
		const lower = 10000
		w := workspaceOf(100000)
		b.load(b.instances, w, 2*w.Limit.Rate, 2*time.Second)
		for version := int64(2); version < 8; version++ {
			for _, i := range b.instances[:3] {
				b.ask(i, workspaceOf(100000*float64(version)), version, 100)
			}
		}
		for _, i := range b.instances {
			b.ask(i, workspaceOf(lower), 9, 100)
		}
		b.ran = nil
		b.load(b.instances, w, 2*w.Limit.Rate, 8*time.Second)
		assert.Check(t, b.most() <= allowed(routing.Limit{Rate: lower, Burst: lower}), "%.0f", b.most())
	})
}

// TestTokensOfRequestsThatDidNotRunComeBack: a workspace whose requests find no engine keeps
// its limit.
func TestTokensOfRequestsThatDidNotRunComeBack(t *testing.T) {
	b := newKeyBed(t)
	b.source.list = b.source.list[:1]
	b.source.config.Workspaces[0].Limit = routing.Limit{Rate: 100, Burst: 250, Unit: routing.Tokens}
	i := b.ready(t, "one")
	await(t, "the first tokens are there", func() bool {
		status, _, _ := b.send(t, i, "/stream/x", "Bearer "+keyOfA)
		return status == http.StatusServiceUnavailable
	})
	for range 5 {
		status, _, body := b.send(t, i, "/stream/x", "Bearer "+keyOfA)
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
	}
	status := i.service.node.Limits()[0]
	assert.Assert(t, status.Keeps)
	assert.Equal(t, status.Granted, status.Returned)
	assert.Assert(t, status.Granted >= 1200)
}

// TestOverTheLimit: refused at once and truly, with when to come back, and with a word of it
// in the metrics.
func TestOverTheLimit(t *testing.T) {
	b := newKeyBed(t)
	b.source.config.Workspaces[0].Limit = routing.Limit{Rate: 100, Burst: 200, Unit: routing.Tokens}
	i := b.ready(t, "one")
	await(t, "the first request is paid for", func() bool {
		status, _, _ := b.send(t, i, "/plain/x", "Bearer "+keyOfA)
		return status == http.StatusOK
	})
	before := len(b.witness.took())
	status, header, body := b.send(t, i, "/plain/x", "Bearer "+keyOfA)
	assert.Equal(t, status, http.StatusTooManyRequests, body)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, len(b.witness.took()), before)
	status, _, _ = b.send(t, i, "/plain/x", "Bearer "+keyOfB)
	assert.Equal(t, status, http.StatusOK, "another workspace's limit")
	assert.Assert(t, limit.Payable(b.source.config.Workspaces[0].Limit, 200))
}
