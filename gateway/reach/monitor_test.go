package reach

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// service is the service of all upstreams in these tests.
const service = "s"

// network is a set of upstreams of which some accept connections.
type network struct {
	*Monitor
	mu        sync.Mutex
	upstreams []dialect.Upstream
	// down holds the addresses that refuse connections, silent those that do not answer.
	down, silent map[string]bool
	checks       int
	confirmed    atomic.Int64
	restored     atomic.Int64
}

// newNetwork starts a monitor of n upstreams in three zones.
func newNetwork(t *testing.T, n int) *network {
	w := &network{down: map[string]bool{}, silent: map[string]bool{}}
	for i := range n {
		w.upstreams = append(w.upstreams, dialect.Upstream{Service: service, ID: ident.UpstreamID(fmt.Sprint(i)), Address: fmt.Sprint("u", i), Zone: ident.Zone(fmt.Sprint(i % 3))})
	}
	w.Monitor = NewMonitor(Options{
		Upstreams: func(string) []dialect.Upstream { return w.upstreams },
		Check:     func(ctx context.Context, u dialect.Upstream) error { return w.dial(ctx, u) },
		Confirmed: func(string) { w.confirmed.Add(1) }, Restored: func(string) { w.restored.Add(1) },
		Log: slog.New(slog.DiscardHandler), Count: func(string) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Run(ctx)
	return w
}

// dial opens a connection to an upstream and records the result.
func (w *network) dial(ctx context.Context, u dialect.Upstream) error {
	w.mu.Lock()
	down, silent := w.down[u.Address], w.silent[u.Address]
	w.checks++
	w.mu.Unlock()
	var err error
	switch {
	case silent:
		<-ctx.Done()
		err = ctx.Err()
	case down:
		err = syscall.ECONNREFUSED
	}
	w.RecordDial(u, err)
	return err
}

// checked returns the number of connection attempts.
func (w *network) checked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checks
}

// set makes the first n upstreams refuse connections or stay silent, and the others accept them.
func (w *network) set(n int, state map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.down)
	clear(w.silent)
	for _, u := range w.upstreams[:n] {
		state[u.Address] = true
	}
}

// TestDisconnectionIsDetectedOnTheFirstFailures checks that an instance notices within a second of
// the first failed connection that it has lost all upstreams, and within a second that it has them
// back.
func TestDisconnectionIsDetectedOnTheFirstFailures(t *testing.T) {
	for name, silent := range map[string]bool{"refused": false, "silent": true} {
		for _, upstreams := range []int{1, 3, 12, 6000} {
			t.Run(fmt.Sprint(name, upstreams), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					w := newNetwork(t, upstreams)
					state := w.down
					if silent {
						state = w.silent
					}
					w.set(upstreams, state)
					ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
					defer cancel()
					_ = w.dial(ctx, w.upstreams[0])
					time.Sleep(time.Second)
					assert.Assert(t, w.Disconnected(service))
					w.set(0, w.down)
					time.Sleep(time.Second)
					assert.Assert(t, !w.Disconnected(service))
					synctest.Wait()
					assert.Equal(t, w.restored.Load(), int64(1))
				})
			})
		}
	}
}

// TestFailuresOfSomeUpstreamsAreNoDisconnection checks that an instance that reaches any upstream
// does not count as disconnected, and that a few checks are made for each failure.
func TestFailuresOfSomeUpstreamsAreNoDisconnection(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newNetwork(t, 12)
		w.set(4, w.down)
		for i := range 20 {
			_ = w.dial(t.Context(), w.upstreams[i%4])
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !w.Disconnected(service))
		}
		synctest.Wait()
		assert.Assert(t, w.confirmed.Load() > 0)
		// 2 s take at most 7 rounds.
		assert.Assert(t, w.checked() <= 20+8*checksPerRound, "%d", w.checked())
		time.Sleep(time.Second)
		before := w.checked()
		time.Sleep(time.Minute)
		assert.Equal(t, w.checked(), before, "checks without a failure")
	})
}

// TestServicesAreIndependent checks that an instance that loses the upstreams of one service counts as
// connected to those of another, and that a connection to these confirms nothing about the former.
func TestServicesAreIndependent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newNetwork(t, 12)
		w.set(12, w.down)
		_ = w.dial(t.Context(), w.upstreams[0])
		time.Sleep(time.Second)
		w.RecordDial(dialect.Upstream{Service: "other", Address: "x"}, nil)
		assert.Assert(t, w.Disconnected(service))
		assert.Assert(t, !w.Disconnected("other"))
		assert.Assert(t, !w.Reaches(t.Context(), service))
		assert.Assert(t, w.Reaches(t.Context(), "other"))
		assert.Equal(t, w.confirmed.Load(), int64(0))
	})
}

// TestUnreliablePathDoesNotFlap checks that a path that lets one connection in ten through leaves
// the state at disconnected.
func TestUnreliablePathDoesNotFlap(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newNetwork(t, 12)
		w.set(12, w.down)
		_ = w.dial(t.Context(), w.upstreams[0])
		time.Sleep(time.Second)
		for range 30 {
			w.RecordDial(w.upstreams[1], nil)
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, w.Disconnected(service))
		}
		assert.Equal(t, w.restored.Load(), int64(0))
	})
}

// TestCanceledAttemptsAreNoFailures checks that connection attempts that their callers gave up do
// not count.
func TestCanceledAttemptsAreNoFailures(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newNetwork(t, 3)
		for i := range 3 {
			w.RecordDial(w.upstreams[i], fmt.Errorf("dial: %w", context.Canceled))
		}
		time.Sleep(time.Second)
		assert.Equal(t, w.checked(), 0)
		assert.Assert(t, !w.Suspected(service))
		w.RecordDial(w.upstreams[0], errors.New("x"))
		assert.Assert(t, !w.Suspected(service))
		w.RecordDial(w.upstreams[1], errors.New("x"))
		assert.Assert(t, w.Suspected(service))
	})
}

// TestSampleSpreadsOverZones checks that the checked upstreams are of as many zones as possible.
func TestSampleSpreadsOverZones(t *testing.T) {
	var list []dialect.Upstream
	for i := range 100 {
		zone := ident.Zone("a")
		if i >= 98 {
			zone = ident.Zone(fmt.Sprint(i))
		}
		list = append(list, dialect.Upstream{Address: fmt.Sprint(i), Zone: zone})
	}
	for range 20 {
		zones := map[ident.Zone]bool{}
		picked := sample(list, 5)
		for _, u := range picked {
			zones[u.Zone] = true
		}
		assert.Equal(t, len(picked), 5)
		assert.Equal(t, len(zones), 3)
	}
	assert.Equal(t, len(sample(list[:2], 5)), 2)
}
