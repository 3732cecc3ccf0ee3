package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestInstanceThatKnowsNobodyOrdersOnlyEnginesThatItAloneUses guards against two instances that have both started while
// no seed answers, each of which takes itself for the holder of the duty and orders the same engines.
func TestInstanceThatKnowsNobodyOrdersOnlyEnginesThatItAloneUses(t *testing.T) {
	const wait = 10 * time.Second
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

	p := &permit{}
	assert.Assert(t, p.allows(at(0), true, time.Time{}, wait), "joined at once")

	p = &permit{}
	for s := range 11 {
		assert.Assert(t, !p.allows(at(s), false, time.Time{}, wait), "%d s after the start", s)
	}
	assert.Assert(t, p.allows(at(11), false, time.Time{}, wait), "a lone instance")
	assert.Assert(t, !p.allows(at(12), false, at(12), wait), "another one uses the engines")
	assert.Assert(t, !p.allows(at(20), false, at(12), wait))
	assert.Assert(t, p.allows(at(23), false, at(12), wait))
	assert.Assert(t, p.allows(at(24), true, at(24), wait), "it has found the others")
	assert.Assert(t, !p.allows(at(25), false, at(24), wait))
}
