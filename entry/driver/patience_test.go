package driver

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/kernel"
)

// TestPrefillThatNeverAnswers uses an engine that accepts the prefill and never
// answers: the kernel must be told long before the caller's deadline.
func TestPrefillThatNeverAnswers(t *testing.T) {
	decide := func(ev kernel.Event) []kernel.Action {
		switch ev.(type) {
		case kernel.Arrive:
			return []kernel.Action{kernel.StartPrefill{Attempt: attemptID(1), Request: "r-1", Upstream: "dc-1"}}
		case kernel.AttemptStalled:
			return decideDecode(kernel.AttemptFailed{})
		}
		return decideDecode(ev)
	}
	withDriver(t, decide, func(t *testing.T, r *testDriver) {
		r.engine.prefill = func(ctx context.Context) (adapter.PrefillResult, error) {
			<-ctx.Done()
			return adapter.PrefillResult{}, ctx.Err()
		}
		begin := time.Now()
		assert.Equal(t, r.submit(t.Context()).Outcome, api.Unknown)
		assert.Equal(t, time.Since(begin), defaultStall)
		stalled := eventsOf[kernel.AttemptStalled](r.kernel)
		assert.Equal(t, len(stalled), 1)
		assert.Equal(t, stalled[0].Attempt, attemptID(1))
		assert.Equal(t, len(eventsOf[kernel.AttemptFailed](r.kernel)), 0)
		synctest.Wait()
		assert.DeepEqual(t, r.engine.cancels, []ident.AttemptID{attemptID(1)})
	})
}

func TestPrefillPatience(t *testing.T) {
	d := New(Options{Kernel: &scriptedKernel{decide: func(kernel.Event) []kernel.Action { return nil }}, Observer: &fakeObserver{}, Log: discardLogger()})
	d.configure(testContent())
	a := &attempt{
		target:   adapter.Target{Upstream: "pf-1"},
		exchange: &Exchange{Request: &kernel.Request{Model: "m", PromptTokens: 900}},
	}
	const stall = 300 * time.Millisecond
	bound := func() time.Duration { return d.prefillLimits(a, 100).first }
	assert.Equal(t, bound(), minPrefillTimeout, "without a declared prefill rate, the minimum applies")
	d.specs["pf-1"].PrefillTokensPerSecond = 1000
	assert.Equal(t, bound(), prefillTimeFactor*time.Second+stall, "idle")

	other := &attempt{target: a.target, exchange: &Exchange{}}
	d.addPrefillWork(other, 2000)
	assert.Equal(t, bound(), 3*prefillTimeFactor*time.Second+stall, "prefills of this instance count")
	d.removeAttempt(other)
	d.removeAttempt(other)
	assert.Equal(t, len(d.prefilling), 0)

	bubble.Test(t, func(t *testing.T) {
		d.upstreams["pf-1"] = &kernel.Upstream{}
		d.handleExternal(kernel.LoadReported{Upstream: "pf-1", Load: kernel.Load{At: time.Now(), QueuedTokens: 1000}})
		d.handleExternal(kernel.LoadReported{Upstream: "pf-1", Load: kernel.Load{At: time.Now().Add(-time.Second)}})
		assert.Equal(t, bound(), 2*prefillTimeFactor*time.Second+stall, "an older load report is ignored")
	})
}

// TestStreamThatRunsOnceIsLeftAtASilentEngine guards against ending a stream
// that may run only once while its engine is merely slow: no token came for the
// stall time, the instance ended the attempt, no second attempt was allowed,
// and the caller got a problem instead of a late answer. The stall limit was
// applied as if another engine could continue the stream. The fault was found
// by this test while looking for the cause of answers cut off at the gateway,
// not in operation.
func TestStreamThatRunsOnceIsLeftAtASilentEngine(t *testing.T) {
	d := New(Options{Kernel: &scriptedKernel{decide: func(kernel.Event) []kernel.Action { return nil }}, Observer: &fakeObserver{}, Log: discardLogger()})
	d.configure(testContent())
	for _, repeatable := range []bool{true, false} {
		bubble.Test(t, func(t *testing.T) {
			r := &kernel.Request{Model: "m", PromptTokens: 900, Repeatable: repeatable, Deadline: time.Now().Add(time.Minute)}
			a := &attempt{target: adapter.Target{Upstream: "dc-1"}, exchange: &Exchange{Request: r}}
			var ended atomic.Bool
			w := newWatchdog(d.decodeLimits(a, ""), time.Second, func(time.Duration) { ended.Store(true) })
			w.progress()
			time.Sleep(time.Until(r.Deadline))
			w.stop()
			assert.Equal(t, ended.Load(), repeatable)
		})
	}
}
