package kernel_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// TestUpstreamGetsTheRestItAsksFor guards against other requests that are sent to an upstream which
// has turned one away and asked for rest.
func TestUpstreamGetsTheRestItAsksFor(t *testing.T) {
	const rest = 3 * time.Second
	s := newSession(t)
	s.setLiveness("s2", kernel.Dead)
	s.step(kernel.Arrive{Request: s.confirm("first")})
	s.step(kernel.AttemptFailed{Attempt: s.service, Upstream: "s1", Evidence: kernel.Refused, Code: kernel.FailureCapacity, RetryAfter: rest})
	for range 3 {
		s.service = ident.AttemptID{}
		s.advance(rest / 4)
		s.step(kernel.Arrive{Request: s.confirm("during" + s.now.String())})
		assert.Assert(t, s.service.IsZero(), "a service that asked for rest was called:\n%s", s.transcript())
	}
	s.advance(rest / 4)
	assert.Assert(t, !s.service.IsZero(), "no call after the rest:\n%s", s.transcript())
}

// TestRestOfRestartedUpstreamEnds guards against a rest that outlasts the incarnation that asked for
// it.
func TestRestOfRestartedUpstreamEnds(t *testing.T) {
	s := newSession(t)
	s.setLiveness("s2", kernel.Dead)
	s.step(kernel.Arrive{Request: s.confirm("first")})
	s.step(kernel.AttemptFailed{Attempt: s.service, Upstream: "s1", Evidence: kernel.Refused, Code: kernel.FailureCapacity, RetryAfter: 20 * time.Second})
	s.service = ident.AttemptID{}
	s.restart("s1")
	s.step(kernel.Arrive{Request: s.confirm("next")})
	assert.Assert(t, !s.service.IsZero(), "the next incarnation was not called:\n%s", s.transcript())
}
