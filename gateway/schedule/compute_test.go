package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// TestOnePromptAtATimeAtADecodeEngine, counting peers', and none that would make its
// running streams late.
func TestOnePromptAtATimeAtADecodeEngine(t *testing.T) {
	b := NewBooks("a", 1)
	list := engines(0, 1)
	self := Size{Prompt: 5000, Estimate: 1000, Self: true, MaxPause: 300 * time.Millisecond}
	first, ok := b.PlaceDecode(at(0), list, engine, self, nil)
	assert.Assert(t, ok)
	_, ok = b.PlaceDecode(at(10), list, engine, self, nil)
	assert.Assert(t, !ok)
	b.Computed(first)
	b.Computed(first)
	second, ok := b.PlaceDecode(at(20), list, engine, self, nil)
	assert.Assert(t, ok)
	b.Done(second)
	assert.Equal(t, b.books["a"].tokens, 0)
	long := self
	long.Prompt = 9000
	_, ok = b.PlaceDecode(at(30), list, engine, long, nil)
	assert.Assert(t, !ok, "325 ms and an event")
	resumed := Size{Prompt: 9000, Estimate: 5000, Produced: 3000, MaxPause: self.MaxPause}
	reading, ok := b.PlaceDecode(at(30), list, engine, resumed, nil)
	assert.Assert(t, ok, "only what was generated is read in")
	_, ok = b.PlaceDecode(at(30), list, engine, self, nil)
	assert.Assert(t, !ok)
	b.Done(reading)
	b.Done(first)
	alone, ok := b.PlaceDecode(at(40), list, engine, long, nil)
	assert.Assert(t, ok, "no stream is there to be late")
	b.Done(alone)
	b.SetPeers(at(50), map[ident.UpstreamID]*InFlight{"a": {Requests: 1, Tokens: 3000}})
	_, ok = b.PlaceDecode(at(50), list, engine, self, nil)
	assert.Assert(t, !ok)
}

// TestOverflowGoesToEnginesOfTheInstance only, and to these only while their streams stay
// within the pace objective.
func TestOverflowGoesToEnginesOfTheInstance(t *testing.T) {
	b := NewBooks("a", 1)
	list := engines(0, 2)
	size := Size{Prompt: 5000, Estimate: 1000, Self: true, Overflow: true, MaxPause: 300 * time.Millisecond}
	_, ok := b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, !ok)
	b.SetOverflow(map[ident.UpstreamID]bool{"b": true})
	ticket, ok := b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, ok)
	assert.Equal(t, ticket.Upstream.ID, ident.UpstreamID("b"))
	_, ok = b.PlaceDecode(at(10), list, engine, size, nil)
	assert.Assert(t, !ok, "two prompts would pause its stream for over 300 ms")
}
