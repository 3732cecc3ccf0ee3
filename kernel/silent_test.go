package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// stalledDecode begins a request and lets its decode stall after 7 tokens.
func stalledDecode(s *session, id string) (first ident.AttemptID, actions []kernel.Action) {
	s.step(kernel.Arrive{Request: s.review(id)})
	s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
	first = s.decode
	s.step(kernel.FirstOutput{Attempt: first})
	return first, s.step(kernel.AttemptStalled{Attempt: first, Offset: 7})
}

// TestSilentEngineKeepsItsStreamWithoutRetryBudget guards against ending a stream
// at a silent engine although the retry budget allows no other attempt.
func TestSilentEngineKeepsItsStreamWithoutRetryBudget(t *testing.T) {
	s := newSession(t)
	content := *s.content
	content.Policy.RetryBudget = 0.001
	s.step(kernel.Configured{Version: 2, Content: &content})
	for i := range 20 {
		other, _ := stalledDecode(s, fmt.Sprintf("other%d", i))
		s.step(kernel.AttemptDone{Attempt: other})
	}
	first, _ := stalledDecode(s, "r1")
	newest := s.prefill
	s.advance(2500 * time.Millisecond)
	s.step(kernel.AttemptStalled{Attempt: first, Offset: 7})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, newest, s.prefill, "the budget must allow no further prefill")
	assertComplete(t, s.step(kernel.AttemptDone{Attempt: first, Tokens: 100}), "r1")
}

// TestReplacementEndsTheSilentRun checks which of the two runs is ended when the
// other one has output.
func TestReplacementEndsTheSilentRun(t *testing.T) {
	for name, replaced := range map[string]bool{"replacement is first": true, "silent run is first": false} {
		t.Run(name, func(t *testing.T) {
			s := newSession(t)
			first, actions := stalledDecode(s, "r1")
			s.advance(100 * time.Millisecond)
			s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p2")})
			second := s.decode
			assert.Assert(t, second != first)
			for _, a := range actions {
				_, ends := a.(kernel.CancelAttempt)
				assert.Assert(t, !ends, "a stalled attempt must go on until its replacement has output")
			}
			var winner, loser ident.AttemptID
			if replaced {
				winner, loser = second, first
				actions = s.step(kernel.FirstOutput{Attempt: second})
			} else {
				winner, loser = first, second
				actions = s.step(kernel.AttemptResumed{Attempt: first})
			}
			var ended []ident.AttemptID
			for _, a := range actions {
				if end, ok := a.(kernel.CancelAttempt); ok && end.Attempt != s.prefill {
					ended = append(ended, end.Attempt)
				}
			}
			assert.DeepEqual(t, ended, []ident.AttemptID{loser})
			assertComplete(t, s.step(kernel.AttemptDone{Attempt: winner, Tokens: 100}), "r1")
			assert.Equal(t, s.k.InFlight(), 0)
		})
	}
}

func assertComplete(t *testing.T, actions []kernel.Action, id ident.RequestID) {
	t.Helper()
	for _, a := range actions {
		if answer, ok := a.(kernel.Answer); ok && answer.Request == id {
			assert.Equal(t, answer.Outcome, api.Complete)
			return
		}
	}
	t.Fatalf("request %s was not answered", id)
}

// TestEnginesGetWorkAgainWhenTheirSilenceEnds guards against leaving out engines
// that were silent for a second until their ejection has run out.
func TestEnginesGetWorkAgainWhenTheirSilenceEnds(t *testing.T) {
	s := newSession(t)
	s.setLiveness("d2", kernel.Dead)
	var decodes []ident.AttemptID
	for i := range 8 {
		s.step(kernel.Arrive{Request: s.review(fmt.Sprintf("r%d", i))})
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		decodes = append(decodes, s.decode)
		s.step(kernel.FirstOutput{Attempt: s.decode})
	}
	for _, id := range decodes {
		s.step(kernel.AttemptStalled{Attempt: id, Offset: 1})
	}
	s.advance(time.Second)
	for _, id := range decodes {
		s.step(kernel.AttemptResumed{Attempt: id})
	}
	s.prefillOf(s.step(kernel.Arrive{Request: s.review("new")}))
}
