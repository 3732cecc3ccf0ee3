package schedule

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// TestStagesFollowDemand checks that idle prefill engines become decode engines when memory is
// short, and the other way round, and that a balanced service stays as it is.
func TestStagesFollowDemand(t *testing.T) {
	list := engines(4, 5)
	idle := func(ident.UpstreamID) int { return 0 }
	memory := Need{Work: Work{Prefill: 104000, Memory: 440000}, PrefillRate: 55000}
	s := PlanStages(list, engine, memory, idle)
	assert.Equal(t, len(s), 1)
	assert.Equal(t, s[0].To, dialect.StageDecode)
	assert.Assert(t, s[0].After < s[0].Before)
	s = PlanStages(list, engine, Need{Work: Work{Prefill: 300000, Memory: 100000}, PrefillRate: 55000}, idle)
	assert.Equal(t, len(s), 3, "changes at once")
	for _, change := range s {
		assert.Equal(t, change.To, dialect.StagePrefill)
	}
	assert.Equal(t, len(PlanStages(engines(3, 6), engine, memory, idle)), 0)
	s = PlanStages(list, engine, Need{Work: Work{Prefill: 500, Memory: 9000}, PrefillRate: 55000}, idle)
	assert.Equal(t, len(s), 0, "changes at low load")
	s = PlanStages(list, engine, Need{Work: Work{Prefill: 30000, Memory: 250000}, PrefillRate: 55000}, idle)
	assert.Equal(t, len(s), 0, "changes although the peak demand fits")
}

// TestAStageKeepsItsLastEngines checks that each stage keeps two engines, whatever the demand.
func TestAStageKeepsItsLastEngines(t *testing.T) {
	s := PlanStages(engines(2, 7), engine, Need{Work: Work{Prefill: 1000, Memory: 900000}, PrefillRate: 55000}, func(ident.UpstreamID) int { return 0 })
	assert.Equal(t, len(s), 0)
}

// TestManyEnginesChangeTogether guards against a large service never changing stages because
// one engine alone improves the load too little. Several change at once, from the zones with
// the most engines, and not more than the best division requires.
func TestManyEnginesChangeTogether(t *testing.T) {
	idle := func(ident.UpstreamID) int { return 0 }
	list := engines(15, 29)
	for i := range list {
		list[i].Zone = ident.Zone(rune('a' + i%4))
	}
	need := Need{Work: Work{Prefill: 430000, Memory: 1800000, Streams: 260}, PrefillRate: 55000}
	small := &routing.Engine{Slots: 8, KVTokens: 64000}
	s := PlanStages(list, small, need, idle)
	best, _ := need.bestDivision(list, small)
	assert.Equal(t, len(s), 15-best)
	assert.Equal(t, len(s), 5)
	zones := map[ident.Zone]int{}
	seen := map[ident.UpstreamID]bool{}
	for _, change := range s {
		assert.Equal(t, change.To, dialect.StageDecode)
		assert.Assert(t, !seen[change.Engine.ID])
		seen[change.Engine.ID] = true
		zones[change.Engine.Zone]++
	}
	assert.Equal(t, len(zones), 4)
	assert.Equal(t, len(PlanStages(engines(best+2, 42-best), small, need, idle)), 0)
}

// TestSlotsBoundStreams checks that the number of slots limits the streams where memory would
// suffice.
func TestSlotsBoundStreams(t *testing.T) {
	few := &routing.Engine{Slots: 4, KVTokens: 1 << 20}
	need := Need{Work: Work{Prefill: 1000, Memory: 1000, Streams: 20}, PrefillRate: 55000}
	assert.Equal(t, need.maxLoad(2, 5, few), 1.0)
}
