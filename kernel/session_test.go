package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// script is a sequence of events for one kernel. The actions that the kernel must
// emit are in the golden file of the same name.
type script struct {
	name string
	run  func(s *session)
}

var scripts = []script{
	{"review_complete", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("r1")})
		s.advance(400 * time.Millisecond)
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.advance(50 * time.Millisecond)
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.advance(2 * time.Second)
		s.step(kernel.AttemptDone{Attempt: s.decode, Tokens: 100})
	}},
	{"decode_refuses_then_other_engine", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("r1")})
		s.advance(400 * time.Millisecond)
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.step(kernel.AttemptFailed{Attempt: s.decode, Evidence: kernel.Refused, Code: kernel.FailureCapacity})
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.step(kernel.AttemptDone{Attempt: s.decode})
	}},
	{"kv_evicted_prefills_again", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("r1")})
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.step(kernel.AttemptFailed{Attempt: s.decode, Evidence: kernel.Refused, Code: kernel.FailureKVMissing})
		s.advance(100 * time.Millisecond)
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p2")})
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.step(kernel.AttemptDone{Attempt: s.decode})
	}},
	{"stalled_transfer_leaves_out_both_engines", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("r1")})
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.advance(500 * time.Millisecond)
		s.step(kernel.AttemptFailed{Attempt: s.decode, Evidence: kernel.Ambiguous, Code: kernel.FailureStalled})
		s.advance(200 * time.Millisecond)
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p2")})
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.step(kernel.AttemptDone{Attempt: s.decode})
	}},
	{"stream_breaks_reattach_then_resume", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("r1")})
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.step(kernel.AttemptFailed{Attempt: s.decode, Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Offset: 40})
		s.step(kernel.AttemptFailed{Attempt: s.decode, Evidence: kernel.NotSent, Code: kernel.FailureConnect, Offset: 40})
		s.advance(200 * time.Millisecond)
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.step(kernel.AttemptDone{Attempt: s.decode})
	}},
	{"stream_breaks_twice_second_reattach_waits", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("r1")})
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.step(kernel.AttemptFailed{Attempt: s.decode, Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Offset: 40})
		s.step(kernel.AttemptFailed{Attempt: s.decode, Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Offset: 40})
		s.advance(100 * time.Millisecond)
		s.step(kernel.AttemptDone{Attempt: s.decode})
	}},
	{"caller_gone_while_prefilling", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("r1")})
		s.step(kernel.CallerGone{Request: "r1"})
		s.step(kernel.CancelFailed{Attempt: s.prefill})
		s.advance(200 * time.Millisecond)
		s.step(kernel.CancelAcked{Attempt: s.prefill})
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.step(kernel.CancelAcked{Attempt: s.prefill})
	}},
	{"confirm_may_have_run", func(s *session) {
		s.step(kernel.Arrive{Request: s.confirm("c1")})
		s.step(kernel.AttemptFailed{Attempt: s.service, Evidence: kernel.Ambiguous, Code: kernel.FailureBroken})
		s.step(kernel.CancelAcked{Attempt: s.service})
	}},
	{"confirm_not_sent_goes_elsewhere", func(s *session) {
		s.step(kernel.Arrive{Request: s.confirm("c1")})
		s.step(kernel.AttemptFailed{Attempt: s.service, Evidence: kernel.NotSent, Code: kernel.FailureConnect})
		s.step(kernel.AttemptDone{Attempt: s.service})
	}},
	{"deadline_while_decoding", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("r1")})
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.advance(21 * time.Second)
	}},
	{"no_upstream_then_refused_late", func(s *session) {
		s.setLiveness("d1", kernel.Dead)
		s.setLiveness("d2", kernel.Leaving)
		s.step(kernel.Arrive{Request: s.review("r1")})
		s.advance(3 * time.Second)
	}},
	{"stop_refuses_waiting_finishes_running", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("running")})
		s.setLiveness("d1", kernel.Leaving)
		s.setLiveness("d2", kernel.Leaving)
		s.step(kernel.Arrive{Request: s.review("waiting")})
		s.step(kernel.Stop{})
		s.step(kernel.Arrive{Request: s.confirm("late")})
		s.setLiveness("d2", kernel.Live)
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.step(kernel.AttemptDone{Attempt: s.decode})
	}},
	{"paused_holds_new_work", func(s *session) {
		s.step(kernel.Paused{Gap: 10 * time.Second})
		s.step(kernel.Arrive{Request: s.confirm("c1")})
		s.advance(100 * time.Millisecond)
		s.setLiveness("s1", kernel.Dead)
		s.step(kernel.AttemptDone{Attempt: s.service})
	}},
	{"prefill_engine_dies_while_decoding", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("r1")})
		used := s.prefill
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.setLiveness("p1", kernel.Dead)
		s.step(kernel.AttemptFailed{Attempt: used, Upstream: "p1", Evidence: kernel.Ambiguous, Code: kernel.FailureBroken})
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.step(kernel.AttemptDone{Attempt: s.decode})
	}},
	{"engine_dies_midstream", func(s *session) {
		s.step(kernel.Arrive{Request: s.review("r1")})
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.step(kernel.FirstOutput{Attempt: s.decode})
		s.setLiveness("d1", kernel.Dead)
		s.setLiveness("d2", kernel.Dead)
		s.setLiveness("d1", kernel.Live)
		s.step(kernel.AttemptFailed{Attempt: s.decode, Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Offset: 12})
		s.advance(time.Second)
	}},
}

func TestSessions(t *testing.T) {
	for _, sc := range scripts {
		t.Run(sc.name, func(t *testing.T) {
			s := newSession(t)
			sc.run(s)
			golden.Assert(t, s.transcript(), sc.name+".golden")
		})
	}
}

// TestSessionsRepeat checks that the kernel is deterministic: the same events
// give the same actions.
func TestSessionsRepeat(t *testing.T) {
	for _, sc := range scripts {
		t.Run(sc.name, func(t *testing.T) {
			first, second := newSession(t), newSession(t)
			sc.run(first)
			sc.run(second)
			assert.Equal(t, first.transcript(), second.transcript())
		})
	}
}

func TestBundleNeverGoesBack(t *testing.T) {
	s := newSession(t)
	s.step(kernel.Configured{Version: 5, Content: s.content})
	s.step(kernel.Configured{Version: 4, Content: s.content})
	assert.Equal(t, s.k.Version(), uint64(5))
}

func TestUnknownPolicyKeepsVersionInForce(t *testing.T) {
	s := newSession(t)
	broken := *s.content
	broken.Policy.Slots = "slots.absent"
	actions := s.step(kernel.Configured{Version: 2, Content: &broken})
	assert.Equal(t, s.k.Version(), uint64(1))
	rejected, ok := actions[0].(kernel.ConfigRejected)
	assert.Assert(t, ok)
	assert.Equal(t, rejected.Version, uint64(2))
}

// TestUnknownIncarnation checks that an upstream whose incarnation is not known
// yet, and therefore 0 in the view, is used like any other.
func TestUnknownIncarnation(t *testing.T) {
	s := newSession(t)
	v := testView(s.content, s.now)
	v.Version = 2
	for i := range v.Upstreams {
		v.Upstreams[i].ID += "-new"
		v.Upstreams[i].Incarnation = 0
	}
	c := testContent()
	for i := range c.Upstreams {
		c.Upstreams[i].ID += "-new"
	}
	s.step(kernel.ViewChanged{View: v})
	s.step(kernel.Configured{Version: 2, Content: c})
	s.step(kernel.Arrive{Request: s.confirm("c1")})
	assert.Equal(t, s.service.Instance, ident.InstanceID("e1"), "the service call was not started:\n%s", s.transcript())
}

// TestSilentServiceIsEjected checks that a service that answers no request is
// ejected after three requests have reached their deadlines, and that a service
// that answers other requests meanwhile is not ejected.
func TestSilentServiceIsEjected(t *testing.T) {
	s := newSession(t)
	s.setLiveness("s2", kernel.Dead)
	for i := range 3 {
		s.step(kernel.Arrive{Request: s.confirm(fmt.Sprintf("c%d", i))})
		s.advance(6 * time.Second)
	}
	s.service = ident.AttemptID{}
	s.step(kernel.Arrive{Request: s.confirm("next")})
	assert.Assert(t, s.service.IsZero(), "a service that answers no request was called again:\n%s", s.transcript())

	slow := newSession(t)
	slow.setLiveness("s2", kernel.Dead)
	for i := range 5 {
		slow.step(kernel.Arrive{Request: slow.confirm(fmt.Sprintf("lost%d", i))})
		slow.step(kernel.Arrive{Request: slow.confirm(fmt.Sprintf("good%d", i))})
		slow.advance(3 * time.Second)
		slow.step(kernel.AttemptDone{Attempt: slow.service})
		slow.advance(3 * time.Second)
	}
	slow.service = ident.AttemptID{}
	slow.step(kernel.Arrive{Request: slow.confirm("next")})
	assert.Assert(t, !slow.service.IsZero(), "a service that answers other requests was ejected")
}

// TestIncarnationBecomesKnown checks that an attempt that was sent before the
// upstream's incarnation was known is not abandoned when it becomes known: the
// change from 0 is not a restart.
func TestIncarnationBecomesKnown(t *testing.T) {
	s := newSession(t)
	unknown := testView(s.content, s.now)
	unknown.Version = 2
	for i := range unknown.Upstreams {
		unknown.Upstreams[i].ID += "-new"
		unknown.Upstreams[i].Incarnation = 0
	}
	c := testContent()
	for i := range c.Upstreams {
		c.Upstreams[i].ID += "-new"
	}
	s.step(kernel.ViewChanged{View: unknown})
	s.step(kernel.Configured{Version: 2, Content: c})
	s.step(kernel.Arrive{Request: s.confirm("c1")})
	known := *unknown
	known.Version = 3
	known.Upstreams = append([]kernel.Upstream(nil), unknown.Upstreams...)
	for i := range known.Upstreams {
		known.Upstreams[i].Incarnation = 77
	}
	for _, a := range s.step(kernel.ViewChanged{View: &known}) {
		_, abandoned := a.(kernel.AbandonAttempt)
		assert.Assert(t, !abandoned, "the attempt was abandoned:\n%s", s.transcript())
	}
	s.step(kernel.AttemptDone{Attempt: s.service})
	assert.Equal(t, s.k.InFlight(), 0)
}

// TestViewOfAStartedAgentIsBelieved guards against an upstream whose state stays as it was when its agent was
// restarted. The new agent does not know the number of a process that has run for longer.
func TestViewOfAStartedAgentIsBelieved(t *testing.T) {
	for name, liveness := range map[string]kernel.Liveness{"leaving": kernel.Leaving, "dead": kernel.Dead} {
		t.Run(name, func(t *testing.T) {
			s := newSession(t)
			s.setLiveness("s2", kernel.Dead)
			s.restart("s1")
			s.changeUpstream("s1", func(u *kernel.Upstream) { u.Incarnation = 0 })
			s.setLiveness("s1", liveness)
			s.step(kernel.Arrive{Request: s.confirm("during")})
			assert.Assert(t, s.service.IsZero(), "a service that is %s was called:\n%s", name, s.transcript())
			if liveness == kernel.Leaving {
				return
			}
			s.setLiveness("s1", kernel.Live)
			s.step(kernel.Arrive{Request: s.confirm("after")})
			assert.Assert(t, !s.service.IsZero(), "a service that is back was not called:\n%s", s.transcript())
		})
	}
}
