package schedule

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDemandIsARate(t *testing.T) {
	b := NewScheduler("a", 1)
	now := at(0)
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		b.RecordRequest(now, "m", 500, 1000)
	}
	need := b.Demand(now, "m")
	assert.Assert(t, math.Abs(need.Prefill-5000) < 250, "%v", need.Prefill)
	want := 10 * (500.0 + 500) * 1000 * defaultTokenTime.Seconds()
	assert.Assert(t, math.Abs(need.Memory-want) < want/20, "%v, want %v", need.Memory, want)
	assert.Assert(t, math.Abs(need.Streams-want/1000) < want/20000, "%v", need.Streams)
}

// TestTokenTimeIsLearnedWhileStreamsRun guards against learning the time per token only from
// the first completed stream, 3.5 s after a start.
func TestTokenTimeIsLearnedWhileStreamsRun(t *testing.T) {
	b := NewScheduler("a", 1)
	ticket, ok := b.PlaceDecode(at(0), engines(0, 1), engine, Size{Prompt: 3000, Estimate: 640}, nil)
	assert.Assert(t, ok)
	b.RecordRequest(at(0), "m", 3000, 640)
	b.RecordProgress(at(100), ticket, 9)
	b.RecordProgress(at(148), ticket, 18)
	assert.Assert(t, math.Abs(b.performanceOf("m").tokenTime-0.0053) < 0.0001, "%v", b.performanceOf("m").tokenTime)
	need := b.Demand(at(1000), "m")
	want := 640 * 0.0053 * need.Prefill / 3000
	assert.Assert(t, math.Abs(need.Streams-want) < want/50, "earlier requests do not use the measured time per token: %v, want %v", need.Streams, want)
}
