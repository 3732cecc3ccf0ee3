package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFewPromptsDoNotShowThePace: of the first ones, some are short or wait for others.
func TestFewPromptsDoNotShowThePace(t *testing.T) {
	p := &prefillPace{}
	for range enoughPrompts - 1 {
		p.learn(1000, 80*time.Millisecond)
		assert.Assert(t, !p.measured())
		assert.Equal(t, p.rate(), float64(defaultPrefillRate))
	}
	p.learn(6000, 200*time.Millisecond)
	assert.Assert(t, p.measured())
	assert.Assert(t, p.rate() >= 30000 && p.rate() <= 48000, "%v", p.rate())
}

// TestPaceOfPrefillEngines is told from a fixed time for each prompt, and from prompts
// that wait for others, two in three here.
func TestPaceOfPrefillEngines(t *testing.T) {
	for _, fixed := range []time.Duration{0, 50 * time.Millisecond} {
		p := &prefillPace{}
		for i := range 200 {
			tokens := 1000 + 400*(i*7%13)
			waits := time.Duration(i%3) * 90 * time.Millisecond
			p.learn(tokens, fixed+waits+time.Duration(tokens)*30*time.Microsecond)
		}
		assert.Assert(t, p.rate() > 30000 && p.rate() < 38000, "%v: %v", fixed, p.rate())
		want := fixed + 12000*30*time.Microsecond
		off := (p.time(12000) - want).Seconds() / want.Seconds()
		assert.Assert(t, off > -0.1 && off < 0.1, "%v: %v, want %v", fixed, p.time(12000), want)
	}
}
