package feasible

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// newCheck returns a check whose host predicts firstOutput as the time to first
// output of every request.
func newCheck(firstOutput time.Duration) (*Check, *plugintest.Host) {
	host := plugintest.NewHost(plugintest.View(6, 2))
	host.Predict = func(*kernel.Request) kernel.Estimate {
		return kernel.Estimate{Possible: true, FirstOutput: firstOutput}
	}
	c := &Check{}
	c.Attach(host)
	content := &config.Content{Models: []config.Model{plugintest.Model}}
	for _, u := range host.CurrentView.Upstreams {
		content.Upstreams = append(content.Upstreams, u.Spec)
	}
	c.Configure(content)
	return c, host
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name    string
		predict time.Duration
		change  func(h *plugintest.Host, r *kernel.Request)
		want    kernel.Reason
	}{
		{"in time", 2 * time.Second, func(*plugintest.Host, *kernel.Request) {}, ""},
		{"within the margin", 2*time.Second + margin, func(*plugintest.Host, *kernel.Request) {}, ""},
		{"too late", 2*time.Second + margin + 1, func(*plugintest.Host, *kernel.Request) {}, kernel.ReasonInfeasible},
		{"deadline before the target", time.Second, func(_ *plugintest.Host, r *kernel.Request) {
			r.Deadline = plugintest.Start.Add(500 * time.Millisecond)
		}, kernel.ReasonInfeasible},
		{"no target", 50 * time.Second, func(_ *plugintest.Host, r *kernel.Request) {
			r.FirstOutputBy = time.Time{}
		}, ""},
		{"no target, deadline", 61 * time.Second, func(_ *plugintest.Host, r *kernel.Request) {
			r.FirstOutputBy = time.Time{}
		}, kernel.ReasonInfeasible},
		{"plain service", time.Hour, func(_ *plugintest.Host, r *kernel.Request) {
			r.Route = config.RouteService
		}, ""},
		{"no decode engine", 0, func(h *plugintest.Host, _ *kernel.Request) {
			h.Predict = func(*kernel.Request) kernel.Estimate { return kernel.Estimate{} }
		}, kernel.ReasonNoDecode},
		{"no prefill engine", 0, func(h *plugintest.Host, _ *kernel.Request) {
			h.Predict = func(*kernel.Request) kernel.Estimate { return kernel.Estimate{} }
			for i := range h.CurrentView.Upstreams {
				h.CurrentView.Upstreams[i].Liveness = kernel.Dead
			}
		}, kernel.ReasonNoPrefill},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, host := newCheck(tt.predict)
			r := plugintest.Request("r")
			tt.change(host, r)
			refusal := c.Admit(r)
			if tt.want == "" {
				assert.Assert(t, refusal == nil)
				return
			}
			assert.Equal(t, refusal.Reason, tt.want)
			assert.Assert(t, refusal.RetryAfter >= minRetryAfter)
			assert.Assert(t, refusal.Detail != "")
			assert.Equal(t, len(c.admitted), 0)
		})
	}
}

// TestLearns checks that requests are refused after the measured times have been
// twice the predicted ones, and are admitted again after a time without
// observations.
func TestLearns(t *testing.T) {
	c, host := newCheck(1200 * time.Millisecond)
	for range 20 {
		r := plugintest.Request("r")
		assert.Assert(t, c.Admit(r) == nil)
		// The measured time is 2.4 s: 2.3 s until StepDecoding and 0.1 s for the
		// transfer after it.
		c.Observe(r, kernel.Record{Time: host.Time, Step: kernel.StepDecoding, Waited: 2300 * time.Millisecond})
		if c.correction(r).factor(host.Time) > 1.7 {
			break
		}
	}
	r := plugintest.Request("r")
	assert.Equal(t, c.Admit(r).Reason, kernel.ReasonInfeasible)
	host.Time = host.Time.Add(4 * halfLife)
	r.FirstOutputBy = host.Time.Add(2 * time.Second)
	assert.Assert(t, c.Admit(r) == nil)
}

// TestLearnsFromWaitingInVain checks that requests that are given up after
// waiting raise the correction.
func TestLearnsFromWaitingInVain(t *testing.T) {
	c, host := newCheck(500 * time.Millisecond)
	for range 20 {
		r := plugintest.Request("r")
		assert.Assert(t, c.Admit(r) == nil)
		c.Finished(r, api.NotRun)
		c.Observe(r, kernel.Record{Time: host.Time, Step: kernel.StepRefused, Reason: kernel.ReasonInfeasible})
	}
	assert.Assert(t, c.correction(plugintest.Request("r")).factor(host.Time) > 2)
	assert.Equal(t, len(c.admitted), 0)
}

// TestLearnsNothingFromOtherEnds checks that the correction is not changed by
// requests that end for another reason than waiting too long: a later check
// refuses the request, its caller disconnects, or the instance stops.
func TestLearnsNothingFromOtherEnds(t *testing.T) {
	for _, reason := range []kernel.Reason{
		kernel.ReasonQueueFull, kernel.ReasonCallerGone, kernel.ReasonStopping,
	} {
		c, host := newCheck(500 * time.Millisecond)
		r := plugintest.Request("r")
		assert.Assert(t, c.Admit(r) == nil)
		c.Finished(r, api.NotRun)
		c.Observe(r, kernel.Record{Time: host.Time, Step: kernel.StepRefused, Reason: reason})
		assert.Equal(t, c.correction(r).factor(host.Time), 1.0)
	}
}

// TestKindsAreLearnedApart checks that requests of one kind that are served late
// do not cause requests of another kind for the same model to be refused.
func TestKindsAreLearnedApart(t *testing.T) {
	c, host := newCheck(1200 * time.Millisecond)
	slow := plugintest.Request("slow")
	for range 20 {
		assert.Assert(t, c.Admit(slow) == nil)
		c.Finished(slow, api.NotRun)
		c.Observe(slow, kernel.Record{Time: host.Time, Step: kernel.StepRefused, Reason: kernel.ReasonInfeasible})
		if c.correction(slow).factor(host.Time) > 1.7 {
			break
		}
	}
	assert.Assert(t, c.Admit(slow) != nil)
	quick := plugintest.Request("quick")
	quick.Kind = "triage"
	assert.Assert(t, c.Admit(quick) == nil)
}

func TestFinishedForgets(t *testing.T) {
	c, _ := newCheck(0)
	r := plugintest.Request("r")
	assert.Assert(t, c.Admit(r) == nil)
	assert.Equal(t, len(c.admitted), 1)
	c.Finished(r, api.Complete)
	assert.Equal(t, len(c.admitted), 0)
}

// TestCorrectionIsBounded checks that the factor stays within its bounds for any
// observations, and returns to 1 without new ones.
func TestCorrectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k correction
		now := plugintest.Start
		for range rapid.IntRange(0, 50).Draw(t, "lessons") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			predicted := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "predicted"))
			took := time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "took"))
			k.observe(predicted*time.Millisecond, took*time.Millisecond, now)
			f := k.factor(now)
			assert.Assert(t, f >= minFactor && f <= maxFactor)
		}
		f := k.factor(now.Add(time.Hour))
		assert.Assert(t, f > 0.999 && f < 1.001)
	})
}

func TestComeBackGrowsAndSpreads(t *testing.T) {
	var b retrySchedule
	now := plugintest.Start
	b.recordPlacement(now)
	for i := range 100 {
		b.recordPlacement(now.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	assert.Assert(t, b.meanInterval() > 95*time.Millisecond && b.meanInterval() <= 100*time.Millisecond)
	now = now.Add(10 * time.Second)
	told := map[time.Duration]int{}
	sums := [2]time.Duration{}
	for i := range 200 {
		id := plugintest.Request(string(rune('a' + i))).ID
		wait := b.retryAfter(id, 0, now)
		told[wait.Round(10*time.Millisecond)]++
		sums[i/100] += wait
	}
	assert.Assert(t, sums[1] > 2*sums[0], "callers refused later are not told to wait longer")
	for wait, n := range told {
		assert.Assert(t, n < 20 || wait < 2*minRetryAfter, "%d callers were told the same time of %v", n, wait)
	}
	// The time is a function of the request ID and the schedule.
	x, y := b, b
	assert.Equal(t, x.retryAfter("r", time.Second, now), y.retryAfter("r", time.Second, now))
	// The schedule is empty again after the last expected retry.
	assert.Assert(t, b.retryAfter("r", 0, now.Add(maxRetryAfter)) < 2*minRetryAfter)
}
