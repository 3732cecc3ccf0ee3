package judge

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMerge(t *testing.T) {
	used := Request{CorrelationID: "r", Completed: 1, LargestUsed: 100, Ranges: []Range{{0, 5}}}
	tests := []struct {
		name    string
		engines [][]Request
		want    Summary
	}{
		{"nothing", nil, Summary{}},
		{"prefill and decode",
			[][]Request{{{CorrelationID: "r", PromptComputed: 100}}, {used}},
			Summary{Requests: 1, Completed: 1, PromptComputed: 100, Generated: 5}},
		{"a prefill in vain",
			[][]Request{{{CorrelationID: "r", PromptComputed: 200, PromptWasted: 100}}, {used}},
			Summary{Requests: 1, Completed: 1, PromptComputed: 200, PromptWasted: 100, Generated: 5}},
		{"a prefill whose engine can't tell",
			[][]Request{{{CorrelationID: "r", PromptComputed: 100}}},
			Summary{Requests: 1, PromptComputed: 100, PromptWasted: 100}},
		{"answered twice, and the prefill engines' reports are lost",
			[][]Request{{used}, {used}},
			Summary{Requests: 1, Completed: 1, CompletedTwice: 1, RepeatedTokens: 5, Generated: 10}},
		{"resumed with overlap",
			[][]Request{
				{{CorrelationID: "r", PromptComputed: 10, LargestUsed: 10, Ranges: []Range{{0, 4}}}},
				{{CorrelationID: "r", PromptComputed: 13, LargestUsed: 13, Completed: 1, Ranges: []Range{{3, 9}}}},
			},
			Summary{Requests: 1, Completed: 1, RepeatedTokens: 1, PromptComputed: 23, PromptWasted: 10, Generated: 10}},
		{"abandoned",
			[][]Request{{{CorrelationID: "r", PromptComputed: 10, LargestUsed: 10, Ranges: []Range{{0, 4}}}}},
			Summary{Requests: 1, PromptComputed: 10, PromptAbandoned: 10, Generated: 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var reports []Engine
			for _, requests := range tt.engines {
				reports = append(reports, Engine{Requests: requests})
			}
			assert.DeepEqual(t, Merge(reports), tt.want)
		})
	}
}

func TestIndex(t *testing.T) {
	x := NewIndex(
		[]Engine{
			{Requests: []Request{{CorrelationID: "m", Accepted: 1, PrefillRuns: 1}, {CorrelationID: "queued", Accepted: 1}}},
			{Requests: []Request{{CorrelationID: "m", Accepted: 2, DecodeRuns: 1, Completed: 1}}},
		},
		[]Service{
			{ByCorrelation: []Count{{"s", 1}}, ByKey: []Count{{"k", 1}}},
			{ByCorrelation: []Count{{"s", 1}}, ByKey: []Count{{"k", 2}}},
		},
	)
	assert.Equal(t, x.Request("m"), Runs{Accepted: 3, PrefillRuns: 1, DecodeRuns: 1, Completed: 1})
	assert.Equal(t, x.Request("s"), Runs{ServiceRuns: 2})
	assert.Assert(t, x.Request("m").Ran() && x.Request("s").Ran())
	assert.Assert(t, !x.Request("queued").Ran() && !x.Request("unknown").Ran())
	assert.Equal(t, x.KeyRuns("k"), 3)
}
