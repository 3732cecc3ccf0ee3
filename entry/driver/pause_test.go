package driver

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/kernel"
)

func TestGap(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name string
		now  time.Time
		want time.Duration
	}{
		{"running", start.Add(499 * time.Millisecond), 0},
		{"paused", start.Add(3 * time.Second), 3 * time.Second},
		// The monotonic clock of a suspended machine does not advance. Round(0)
		// strips the monotonic reading, so only the wall clock shows the gap.
		{"suspended", start.Round(0).Add(time.Hour), time.Hour},
		{"clock set back", start.Round(0).Add(-time.Hour), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newPauseGate(DefaultPauseAfter)
			g.markRunning(start)
			assert.Equal(t, g.gap(c.now), c.want)
		})
	}
}

// TestNothingIsSentBeforeThePauseIsHandled delays the driver's markRunning
// after a pause while an attempt is about to be sent: the attempt must wait for
// it.
func TestNothingIsSentBeforeThePauseIsHandled(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		g := newPauseGate(time.Second)
		g.markRunning(time.Now())
		assert.NilError(t, g.wait(t.Context()))
		time.Sleep(2 * time.Second)
		passed := make(chan time.Time, 1)
		go func() {
			if g.wait(context.Background()) == nil {
				passed <- time.Now()
			}
		}()
		synctest.Wait()
		assert.Equal(t, len(passed), 0, "the attempt must wait until the pause is handled")
		time.Sleep(time.Second)
		handled := time.Now()
		g.markRunning(handled)
		assert.Equal(t, <-passed, handled)
	})
}

func TestPassEndsWithItsContext(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		g := newPauseGate(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, g.wait(ctx), context.DeadlineExceeded)
	})
}

// TestKernelHearsOfThePauseFirst sets the driver's last run back to simulate a
// pause: the kernel must receive Paused before the event, and only once.
func TestKernelHearsOfThePauseFirst(t *testing.T) {
	s := &scriptedKernel{decide: func(kernel.Event) []kernel.Action { return nil }}
	d := New(Options{Kernel: s, Observer: &fakeObserver{}, Log: discardLogger()})
	d.gate.markRunning(time.Now().Add(-time.Minute))
	d.receive(message{event: kernel.LoadReported{}})
	assert.Equal(t, len(s.events), 2)
	paused, ok := s.events[0].(kernel.Paused)
	assert.Assert(t, ok, "first event is %T, not kernel.Paused", s.events[0])
	assert.Assert(t, paused.Gap >= time.Minute)
	d.receive(message{event: kernel.LoadReported{}})
	assert.Equal(t, len(s.events), 3, "the pause must be reported only once")
}

// TestWatchdogAfterPause fires a watchdog far too late, as after a pause of the
// process: the stream must get its time limit again.
func TestWatchdogAfterPause(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var stalled atomic.Int64
		w := newWatchdog(progressLimits{first: time.Second, next: time.Second}, time.Second, func(time.Duration) { stalled.Add(1) })
		defer w.stop()
		w.mu.Lock()
		w.due = time.Now().Add(-time.Minute)
		w.mu.Unlock()
		w.fire()
		assert.Equal(t, stalled.Load(), int64(0))
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, stalled.Load(), int64(1))
	})
}

func TestPatienceCoversTheTransfer(t *testing.T) {
	d := New(Options{Kernel: &scriptedKernel{}, Observer: &fakeObserver{}, Log: discardLogger()})
	d.configure(testContent())
	a := &attempt{
		target:   adapter.Target{Upstream: "dc-1"},
		exchange: &Exchange{Request: &kernel.Request{Model: "m", PromptTokens: 1000, Repeatable: true, Pace: 100 * time.Millisecond}},
	}
	p := d.decodeLimits(a, "pf-1")
	assert.Equal(t, p.first, 300*time.Millisecond+transferTimeFactor*time.Second)
	assert.Equal(t, p.next, tokenGapFactor*100*time.Millisecond)
	assert.Equal(t, d.decodeLimits(a, "").first, 300*time.Millisecond)
}
