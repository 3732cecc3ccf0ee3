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
// engine: it gets no new work for a while, and the decode engines, with which
// its transfers stalled, go on getting theirs.
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
		s.after(10 * time.Millisecond)
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.step(kernel.AttemptDone{Attempt: s.decode})
	}
	assert.Assert(t, stalls >= 2 && stalls <= 4, "%d prefills at the engine whose link stalls", stalls)
	assert.Assert(t, decodes["d1"] > 0 && decodes["d2"] > 0, "%v", decodes)
}

// TestStallsEverywhereLeaveEngines stalls all KV transfers of all engines: at most
// half of the engines are left out, so that a request is served at once when the
// links are well again.
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

// prefillOf returns the engine of the prefill among some actions.
func (s *session) prefillOf(actions []kernel.Action) ident.UpstreamID {
	for _, a := range actions {
		if start, ok := a.(kernel.StartPrefill); ok {
			return start.Upstream
		}
	}
	s.t.Fatal("no prefill was started")
	return ""
}

// decodeOf returns the engine of the decode among some actions.
func (s *session) decodeOf(actions []kernel.Action) ident.UpstreamID {
	for _, a := range actions {
		if start, ok := a.(kernel.StartDecode); ok {
			return start.Upstream
		}
	}
	s.t.Fatal("no decode was started")
	return ""
}
