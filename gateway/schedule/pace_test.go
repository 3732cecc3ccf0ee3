package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFewPromptsDoNotShowThePace guards against estimating the throughput from the first few
// prompts, some of which are short or were queued behind others.
func TestFewPromptsDoNotShowThePace(t *testing.T) {
	p := &prefillEstimate{}
	for range minPrompts - 1 {
		p.observe(1000, 80*time.Millisecond)
		assert.Assert(t, !p.measured())
		assert.Equal(t, p.throughput(), float64(defaultPrefillThroughput))
	}
	p.observe(6000, 200*time.Millisecond)
	assert.Assert(t, p.measured())
	assert.Assert(t, p.throughput() >= 30000 && p.throughput() <= 48000, "%v", p.throughput())
}

// TestPaceOfPrefillEngines checks the estimate for engines with and without a fixed time per
// prompt, where two in three prompts were queued behind others.
func TestPaceOfPrefillEngines(t *testing.T) {
	for _, fixed := range []time.Duration{0, 50 * time.Millisecond} {
		p := &prefillEstimate{}
		for i := range 200 {
			tokens := 1000 + 400*(i*7%13)
			queued := time.Duration(i%3) * 90 * time.Millisecond
			p.observe(tokens, fixed+queued+time.Duration(tokens)*30*time.Microsecond)
		}
		assert.Assert(t, p.throughput() > 30000 && p.throughput() < 38000, "%v: %v", fixed, p.throughput())
		want := fixed + 12000*30*time.Microsecond
		off := (p.time(12000) - want).Seconds() / want.Seconds()
		assert.Assert(t, off > -0.1 && off < 0.1, "%v: %v, want %v", fixed, p.time(12000), want)
	}
}

// TestKeptPromptsAreNoMeasure guards against prompts that take almost no time because their
// engine still holds their KV cache. In a fleet some instances see such a prompt, possibly as
// their first. The estimated throughput and the recommended stages must not change.
func TestKeptPromptsAreNoMeasure(t *testing.T) {
	list := engines(12, 32)
	var fleet []*Scheduler
	for range 62 {
		fleet = append(fleet, NewScheduler("a", 1))
	}
	measured := 0
	for i := range 2000 {
		b := fleet[i*7%len(fleet)]
		tokens := 4000 + 100*(i%30)
		took := time.Duration(tokens) * 20 * time.Microsecond
		switch {
		case i%500 == 40 || i%500 == 41:
			took = 8 * time.Millisecond
		case i%3 > 0:
			// The prompt was queued behind others.
			took += time.Duration(i%5) * 50 * time.Millisecond
		}
		b.PrefillDone("m", tokens, took)
		var all ThroughputHistogram
		for _, b := range fleet {
			all = all.Plus(b.performanceOf("m").prefill.long.histogram())
		}
		rate := all.Rate()
		if rate == 0 {
			continue
		}
		measured++
		assert.Assert(t, rate > 42_000 && rate < 56_000, "%v after %d prompts", rate, i)
		n := Need{Work: Work{Prefill: 400_000, Memory: 2_000_000, Streams: 200}, PrefillRate: rate}
		assert.Equal(t, len(PlanStages(list, engine, n, fleet[0].RequestCount)), 0, "after %d prompts", i)
	}
	assert.Assert(t, measured > 1900)
}

// TestLocalPaceWithKeptPrompts checks that the estimate of a single instance, once it has seen
// some prompts, is not changed by prompts whose KV cache the engine still holds either.
func TestLocalPaceWithKeptPrompts(t *testing.T) {
	p := &prefillEstimate{}
	for i := range 200 {
		tokens := 4000 + 100*(i%30)
		p.observe(tokens, time.Duration(tokens)*20*time.Microsecond)
		if i%80 == 20 || i%80 == 21 {
			p.observe(6900, 8*time.Millisecond)
		}
		if i > 30 {
			assert.Assert(t, p.overallThroughput() > 49_000 && p.overallThroughput() < 51_000, "%v after %d", p.overallThroughput(), i)
		}
	}
}

// TestFewPromptsOfABurst guards against an instance taking idle engines for busy ones because
// its few prompts were all queued behind others. The histograms of all instances correct its
// estimate.
func TestFewPromptsOfABurst(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(4, 8)
	for range 6 {
		b.PrefillDone("m", 5000, 650*time.Millisecond)
	}
	alone, ok := b.PrefillWait(at(0), list, 5000)
	assert.Assert(t, ok && alone > 600*time.Millisecond, "%v", alone)
	var others ThroughputHistogram
	for i := range 60 {
		others.add(5000, 0.1+0.05*float64(i%5))
	}
	b.SetThroughputHistograms(map[string]ThroughputHistogram{"m": others})
	corrected, ok := b.PrefillWait(at(0), list, 5000)
	assert.Assert(t, ok && corrected > 90*time.Millisecond && corrected < 120*time.Millisecond, "%v", corrected)
}

// TestFirstPromptOfAnInstance checks that an instance that has measured no prompt yet uses the
// histograms of the others at once.
func TestFirstPromptOfAnInstance(t *testing.T) {
	b := NewScheduler("a", 1)
	var others ThroughputHistogram
	for range 20 {
		others.add(5000, 0.2)
	}
	b.SetThroughputHistograms(map[string]ThroughputHistogram{"m": others})
	wait, ok := b.PrefillWait(at(0), engines(2, 2), 5000)
	assert.Assert(t, ok && wait > 180*time.Millisecond && wait < 220*time.Millisecond, "%v", wait)
}
