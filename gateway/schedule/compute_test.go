package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// TestOnePromptAtATimeAtADecodeEngine guards against pausing the running streams of a decode
// engine for longer than permitted, by computing several prompts at once, including those of
// peers, or one that is too long.
func TestOnePromptAtATimeAtADecodeEngine(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 1)
	self := Size{Prompt: 5000, Estimate: 1000, ComputePrompt: true, MaxPause: 300 * time.Millisecond}
	first, ok := b.PlaceDecode(at(0), list, engine, self, nil)
	assert.Assert(t, ok)
	_, ok = b.PlaceDecode(at(10), list, engine, self, nil)
	assert.Assert(t, !ok)
	b.RecordPromptComputed(first)
	b.RecordPromptComputed(first)
	second, ok := b.PlaceDecode(at(20), list, engine, self, nil)
	assert.Assert(t, ok)
	b.Done(second)
	assert.Equal(t, b.records["a"].tokens, 0)
	long := self
	long.Prompt = 9000
	_, ok = b.PlaceDecode(at(30), list, engine, long, nil)
	assert.Assert(t, !ok, "placed although it takes 325 ms and the time of an event")
	resumed := Size{Prompt: 9000, Estimate: 5000, Produced: 3000, MaxPause: self.MaxPause}
	reading, ok := b.PlaceDecode(at(30), list, engine, resumed, nil)
	assert.Assert(t, ok, "refused although only the output so far has to be computed")
	_, ok = b.PlaceDecode(at(30), list, engine, self, nil)
	assert.Assert(t, !ok)
	b.Done(reading)
	b.Done(first)
	alone, ok := b.PlaceDecode(at(40), list, engine, long, nil)
	assert.Assert(t, ok, "refused although the engine has no streams")
	b.Done(alone)
	b.SetPeers(at(50), map[ident.UpstreamID]*InFlight{"a": {Requests: 1, Tokens: 3000}})
	_, ok = b.PlaceDecode(at(50), list, engine, self, nil)
	assert.Assert(t, !ok)
}

// TestOverflowGoesToEnginesOfTheInstance checks that, while prefill engines are busy, prompts
// are computed only at the decode engines assigned to this instance, and only as long as the
// pauses of their streams stay within the limit.
func TestOverflowGoesToEnginesOfTheInstance(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 2)
	size := Size{Prompt: 5000, Estimate: 1000, ComputePrompt: true, Overflow: true, MaxPause: 300 * time.Millisecond}
	_, ok := b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, !ok)
	b.SetOverflow(map[ident.UpstreamID]bool{"b": true})
	ticket, ok := b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, ok)
	assert.Equal(t, ticket.Upstream.ID, ident.UpstreamID("b"))
	_, ok = b.PlaceDecode(at(10), list, engine, size, nil)
	assert.Assert(t, !ok, "placed although two prompts pause the stream for over 300 ms")
}
