package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// TestStalledLinkEjectsItsEngineOnly stalls all KV transfers of one prefill
// engine. That engine must be ejected, while the decode engines with which its
// transfers stalled must still get new work.
func TestStalledLinkEjectsItsEngineOnly(t *testing.T) {
	s := newSession(t)
	prefills := map[ident.UpstreamID]int{}
	decodes := map[ident.UpstreamID]int{}
	stalls := 0
	for i := range 24 {
		engine := s.prefillOf(s.step(kernel.Arrive{Request: s.review(fmt.Sprintf("r%d", i))}))
		prefills[engine]++
		decode := s.decodeOf(s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom(engine)}))
		if engine == "p1" {
			stalls++
			s.step(kernel.AttemptFailed{Attempt: s.decode, Upstream: decode, Evidence: kernel.Ambiguous, Code: kernel.FailureStalled})
			s.step(kernel.CallerGone{Request: ident.RequestID(fmt.Sprintf("r%d", i))})
			continue
		}
		decodes[decode]++
		s.advance(10 * time.Millisecond)
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.step(kernel.AttemptDone{Attempt: s.decode})
	}
	assert.Assert(t, stalls >= 2 && stalls <= 4, "the engine whose transfers stall got %d prefills, want 2 to 4", stalls)
	assert.Assert(t, decodes["d1"] > 0 && decodes["d2"] > 0, "both decode engines must get work, got %v", decodes)
}

// TestStallsEverywhereLeaveEngines stalls all KV transfers of all engines. At
// most half of the engines may be ejected, so that a request can be served
// immediately once transfers succeed again.
func TestStallsEverywhereLeaveEngines(t *testing.T) {
	s := newSession(t)
	for i := range 12 {
		id := fmt.Sprintf("r%d", i)
		engine := s.prefillOf(s.step(kernel.Arrive{Request: s.review(id)}))
		decode := s.decodeOf(s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom(engine)}))
		s.step(kernel.AttemptFailed{Attempt: s.decode, Upstream: decode, Evidence: kernel.Ambiguous, Code: kernel.FailureStalled})
		s.step(kernel.CallerGone{Request: ident.RequestID(id)})
	}
	engine := s.prefillOf(s.step(kernel.Arrive{Request: s.review("well")}))
	s.decodeOf(s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom(engine)}))
}

// prefillOf returns the engine of the StartPrefill among the actions and fails
// the test if there is none.
func (s *session) prefillOf(actions []kernel.Action) ident.UpstreamID {
	for _, a := range actions {
		if start, ok := a.(kernel.StartPrefill); ok {
			return start.Upstream
		}
	}
	s.t.Fatal("no prefill was started")
	return ""
}

// decodeOf returns the engine of the StartDecode among the actions and fails the
// test if there is none.
func (s *session) decodeOf(actions []kernel.Action) ident.UpstreamID {
	for _, a := range actions {
		if start, ok := a.(kernel.StartDecode); ok {
			return start.Upstream
		}
	}
	s.t.Fatal("no decode was started")
	return ""
}
