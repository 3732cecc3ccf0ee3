package schedule

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// observeSteady observes a constant demand every 500 ms for the given number of seconds.
func observeSteady(p *Peaks, from, seconds int, w Work) Need {
	var n Need
	for ms := 0; ms < 1000*seconds; ms += 500 {
		n = p.Observe(at(1000*from+ms), Need{Work: w, PrefillRate: 33000})
	}
	return n
}

// TestBurstsAreExpected checks that a burst is planned for before the first one occurs, and
// that its height is kept for a while afterwards.
func TestBurstsAreExpected(t *testing.T) {
	var p Peaks
	calm := Work{Prefill: 36000, Memory: 138000, Streams: 39}
	n := p.Observe(at(0), Need{Work: calm, PrefillRate: 33000})
	assert.Assert(t, math.Abs(n.Memory-2*calm.Memory) < 1, "%v", n.Memory)
	n = observeSteady(&p, 1, 10, calm)
	assert.Assert(t, math.Abs(n.Prefill-2*calm.Prefill) < 1, "%v", n.Prefill)
	observeSteady(&p, 11, 4, calm.times(2.6))
	n = observeSteady(&p, 15, 10, calm)
	assert.Assert(t, n.Memory > 2.2*calm.Memory && n.Memory < 2.6*calm.Memory, "%v", n.Memory/calm.Memory)
	n = observeSteady(&p, 25, 300, calm)
	assert.Assert(t, math.Abs(n.Memory-2*calm.Memory) < 1000, "peak not forgotten: %v", n.Memory/calm.Memory)
}

// nineEngines is a deployment of 9 engines, four of which start as prefill engines, with 11.35
// streams per second of 3,200 prompt and 640 output tokens that run for 3.4 s each.
func nineEngines() (*routing.Engine, Work) {
	const perSecond, prompt, output, seconds = 11.35, 3200, 640, 3.4
	streams := perSecond * seconds
	return &routing.Engine{Slots: 64, KVTokens: 41191, TokensPerEvent: 9},
		Work{Prefill: perSecond * prompt, Memory: streams * (prompt + output/2), Streams: streams}
}

// TestStreamsOfABurstFindRoom guards against streams refused for lack of memory during a burst.
// Within the first seconds, before any burst, engines change to the stage that twice the
// traffic requires, and none changes back between bursts. With plans based on the mean, five
// decode engines met the first burst, and 158 of 750 streams of one day were refused.
func TestStreamsOfABurstFindRoom(t *testing.T) {
	e, calm := nineEngines()
	idle := func(ident.UpstreamID) int { return 0 }
	var p Peaks
	n := observeSteady(&p, 0, 2, calm)
	list := engines(4, 5)
	changes := PlanStages(list, e, n, idle)
	for _, c := range changes {
		assert.Equal(t, c.To, dialect.StageDecode)
		list = withStage(list, c.Engine.ID, c.To)
	}
	decode := countStage(list, dialect.StageDecode)
	refused := calm.Streams*2 - float64(decode)*usableMemoryShare*float64(e.KVTokens)/(calm.Memory/calm.Streams)
	before := calm.Streams*2 - 5*usableMemoryShare*float64(e.KVTokens)/(calm.Memory/calm.Streams)
	assert.Assert(t, refused <= 13 && before >= 23, "%v streams refused at the peak, %v without stage changes", refused, before)
	for second := 2; second < 40; second += 10 {
		observeSteady(&p, second, 6, calm)
		n = observeSteady(&p, second+6, 4, calm.times(2))
		assert.Equal(t, len(PlanStages(list, e, n, idle)), 0)
	}
}
