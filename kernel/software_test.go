package kernel_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// setVersions sets the software versions of upstreams in a new view.
func (s *session) setVersions(versions map[ident.UpstreamID]string) {
	s.changeUpstreams(func(u *kernel.Upstream) {
		if version, ok := versions[u.ID]; ok {
			u.SoftwareVersion = version
		}
	})
}

// version returns the software version of an upstream in the view.
func (s *session) version(id ident.UpstreamID) string {
	for _, u := range s.view.Upstreams {
		if u.ID == id {
			return u.SoftwareVersion
		}
	}
	return ""
}

// startedDecode returns the engine of the first decode among the actions, "" if there is none.
func startedDecode(actions []kernel.Action) ident.UpstreamID {
	for _, a := range actions {
		if d, ok := a.(kernel.StartDecode); ok {
			return d.Upstream
		}
	}
	return ""
}

// newVersionedSession returns a session in which d1 and d2 run two software versions.
func newVersionedSession(t *testing.T) *versionedSession {
	t.Helper()
	s := &versionedSession{
		session: newSession(t),
		engines: map[ident.AttemptID]ident.UpstreamID{},
		answers: map[ident.RequestID]api.Outcome{},
	}
	s.observe = func(a kernel.Action) {
		switch a := a.(type) {
		case kernel.StartDecode:
			s.engines[a.Attempt] = a.Upstream
		case kernel.Answer:
			s.answers[a.Request] = a.Outcome
		}
	}
	s.setVersions(map[ident.UpstreamID]string{"d1": "v1", "d2": "v2"})
	return s
}

// versionedSession is a session that knows the engines of the decodes and the outcomes.
type versionedSession struct {
	*session
	engines map[ident.AttemptID]ident.UpstreamID
	answers map[ident.RequestID]api.Outcome
}

// brokenStream begins a stream, which breaks off after 7 tokens, and returns its engine.
func brokenStream(s *versionedSession, id string, otherwise func(engine ident.UpstreamID)) ident.UpstreamID {
	s.step(kernel.Arrive{Request: s.review(id)})
	engine := startedDecode(s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")}))
	s.step(kernel.FirstOutput{Attempt: s.decode})
	otherwise(engine)
	s.step(kernel.AttemptFailed{Attempt: s.decode, Upstream: engine, Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Offset: 7})
	if s.k.InFlight() > 0 {
		s.step(kernel.AttemptFailed{Attempt: s.decode, Upstream: engine, Evidence: kernel.NotSent, Code: kernel.FailureConnect, Offset: 7})
	}
	return engine
}

func other(engine ident.UpstreamID) ident.UpstreamID {
	if engine == "d1" {
		return "d2"
	}
	return "d1"
}

// TestStreamIsNotResumedAtAnotherSoftwareVersion guards against streams that are joined from the
// output of engines of two software versions.
func TestStreamIsNotResumedAtAnotherSoftwareVersion(t *testing.T) {
	s := newVersionedSession(t)
	engine := brokenStream(s, "r1", func(ident.UpstreamID) {})
	s.advance(200 * time.Millisecond)
	next := startedDecode(s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p2")}))
	assert.Equal(t, next, engine, "the stream may go on only at the version that began it:\n%s", s.transcript())
}

// TestStreamWithoutItsSoftwareVersionEnds guards against a stream that waits for its deadline, or goes on at another
// version, when no engine of its software version is left.
func TestStreamWithoutItsSoftwareVersionEnds(t *testing.T) {
	for name, liveness := range map[string]kernel.Liveness{"leaving": kernel.Leaving, "dead": kernel.Dead} {
		t.Run(name, func(t *testing.T) {
			s := newVersionedSession(t)
			engine := brokenStream(s, "r1", func(engine ident.UpstreamID) { s.setLiveness(engine, liveness) })
			s.advance(200 * time.Millisecond)
			assert.Equal(t, s.k.InFlight(), 0, "the stream must end:\n%s", s.transcript())
			assert.Equal(t, s.answers["r1"], api.Unknown, "%s", s.transcript())

			s.step(kernel.Arrive{Request: s.review("r2")})
			next := startedDecode(s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")}))
			assert.Equal(t, next, other(engine), "a new stream may begin at any version")
		})
	}
}

// TestStreamOfAVersionDelaysNoOtherRequests guards against requests that wait because a stream
// waits for an engine of its own software version.
func TestStreamOfAVersionDelaysNoOtherRequests(t *testing.T) {
	s := newVersionedSession(t)
	brokenStream(s, "r1", func(engine ident.UpstreamID) { s.setLiveness(engine, kernel.Unreachable) })
	s.advance(time.Second)
	assert.Equal(t, s.k.InFlight(), 1, "the stream waits for its engine, which may be reachable again:\n%s", s.transcript())
	before := s.prefill
	s.step(kernel.Arrive{Request: s.review("r2")})
	assert.Assert(t, s.prefill != before, "a new request must be placed at the other version:\n%s", s.transcript())
}

// TestVersionStatedLaterIsThatOfTheStream guards against a stream that ends since the software
// version of its engine became known only after it had begun.
func TestVersionStatedLaterIsThatOfTheStream(t *testing.T) {
	s := newVersionedSession(t)
	s.setVersions(map[ident.UpstreamID]string{"d1": "", "d2": ""})
	engine := brokenStream(s, "r1", func(engine ident.UpstreamID) {
		s.setVersions(map[ident.UpstreamID]string{"d1": "v1", "d2": "v1"})
	})
	s.setLiveness(engine, kernel.Dead)
	s.advance(200 * time.Millisecond)
	next := startedDecode(s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p2")}))
	assert.Equal(t, next, other(engine), "%s", s.transcript())
}

// TestReplacementRunsTheVersionOfASilentStream guards against a silent stream that is replaced at
// another software version.
func TestReplacementRunsTheVersionOfASilentStream(t *testing.T) {
	s := newVersionedSession(t)
	first, _ := stalledDecode(s.session, "r1")
	s.advance(time.Second)
	s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p2")})
	if s.decode != first {
		assert.Equal(t, s.engines[first], s.engines[s.decode], "%s", s.transcript())
	}
	assertComplete(t, s.step(kernel.AttemptDone{Attempt: first, Tokens: 100}), "r1")
}

// TestSilentRunOfAnotherVersionEndsWithTheFirstToken guards against a silent run that goes on although
// its replacement, at another software version, has begun the stream and stalls as well.
func TestSilentRunOfAnotherVersionEndsWithTheFirstToken(t *testing.T) {
	s := newVersionedSession(t)
	s.step(kernel.Arrive{Request: s.review("r1")})
	s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
	first := s.decode
	s.step(kernel.AttemptStalled{Attempt: first})
	s.advance(time.Second)
	s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p2")})
	second := s.decode
	assert.Assert(t, s.version(s.engines[first]) != s.version(s.engines[second]), "%s", s.transcript())
	cancelled := false
	for _, a := range s.step(kernel.AttemptStalled{Attempt: second, Offset: 3, Origin: second}) {
		c, ok := a.(kernel.CancelAttempt)
		cancelled = cancelled || ok && c.Attempt == first
	}
	assert.Assert(t, cancelled, "the run of the other version must end:\n%s", s.transcript())
}

// TestTokenOfAnEndedReplacementBindsToItsVersion guards against a stream that goes on at another software version
// because the replacement that wrote its first token was ended before the kernel knew of the token.
func TestTokenOfAnEndedReplacementBindsToItsVersion(t *testing.T) {
	s := newVersionedSession(t)
	s.step(kernel.Arrive{Request: s.review("r1")})
	s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
	first := s.decode
	s.step(kernel.AttemptStalled{Attempt: first})
	s.advance(time.Second)
	s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p2")})
	second := s.decode
	s.step(kernel.AttemptStalled{Attempt: second})
	assert.Assert(t, s.version(s.engines[first]) != s.version(s.engines[second]), "%s", s.transcript())
	cancelled := false
	for _, a := range s.step(kernel.AttemptStalled{Attempt: first, Offset: 1, Origin: second}) {
		c, ok := a.(kernel.CancelAttempt)
		cancelled = cancelled || ok && c.Attempt == first
	}
	assert.Assert(t, cancelled, "the run of the other version must end:\n%s", s.transcript())
}

// TestStreamsKeepTheirSoftwareVersionUnderFaults plays random faults, restarts and releases, and
// checks that all tokens of a stream come from one software version.
func TestStreamsKeepTheirSoftwareVersionUnderFaults(t *testing.T) {
	resumed := 0
	for seed := range uint64(300) {
		resumed += playVersions(t, seed)
	}
	assert.Assert(t, resumed > 100, "only %d streams went on at another attempt", resumed)
}

// versionedStream is a stream of which each token carries the software version that wrote it.
type versionedStream struct {
	id       ident.RequestID
	attempt  ident.AttemptID
	version  string
	tokens   []string
	reported bool
}

// versionedWorld plays the engines of a session.
type versionedWorld struct {
	*session
	rand      *rand.Rand
	prefills  []kernel.StartPrefill
	abandoned []ident.AttemptID
	streams   []*versionedStream
	resumed   int
}

// playVersions plays one random session and returns how many times a stream went on.
func playVersions(t *testing.T, seed uint64) int {
	t.Helper()
	w := &versionedWorld{session: newSession(t), rand: rand.New(rand.NewPCG(seed, 1))}
	w.observe = w.take
	w.setVersions(map[ident.UpstreamID]string{"d1": "v1", "d2": "v2"})
	for n := range 80 {
		w.move(n)
		for _, st := range w.streams {
			for _, version := range st.tokens {
				assert.Equal(t, st.tokens[0], version, "seed %d: %s is joined from two versions:\n%s", seed, st.id, w.transcript())
			}
		}
		w.advance(time.Duration(w.rand.IntN(200)) * time.Millisecond)
	}
	return w.resumed
}

// take applies an action of the kernel.
func (w *versionedWorld) take(a kernel.Action) {
	switch a := a.(type) {
	case kernel.StartPrefill:
		w.prefills = append(w.prefills, a)
	case kernel.StartDecode:
		st := w.stream(a.Request)
		if len(st.tokens) > 0 {
			w.resumed++
		}
		st.attempt, st.version, st.reported = a.Attempt, w.version(a.Upstream), false
	case kernel.AbandonAttempt:
		w.abandoned = append(w.abandoned, a.Attempt)
	case kernel.Answer:
		w.streams = slices.DeleteFunc(w.streams, func(st *versionedStream) bool { return st.id == a.Request })
	}
}

// stream returns the stream of a request.
func (w *versionedWorld) stream(id ident.RequestID) *versionedStream {
	for _, st := range w.streams {
		if st.id == id {
			return st
		}
	}
	st := &versionedStream{id: id}
	w.streams = append(w.streams, st)
	return st
}

// move plays one random move.
func (w *versionedWorld) move(n int) {
	switch w.rand.IntN(6) {
	case 0:
		w.step(kernel.Arrive{Request: w.review(fmt.Sprintf("r%d", n))})
	case 1, 2:
		started := w.prefills
		w.prefills = nil
		for _, p := range started {
			w.step(kernel.PrefillDone{Attempt: p.Attempt, KV: kvFrom(p.Upstream)})
		}
	case 3:
		for _, st := range slices.Clone(w.streams) {
			w.writeToken(st)
		}
	case 4:
		if len(w.streams) > 0 {
			w.fail(w.streams[w.rand.IntN(len(w.streams))])
		}
	case 5:
		id := ident.UpstreamID(fmt.Sprintf("d%d", 1+w.rand.IntN(2)))
		version := fmt.Sprintf("v%d", 1+w.rand.IntN(2))
		w.changeUpstream(id, func(u *kernel.Upstream) { u.Incarnation++; u.SoftwareVersion = version })
		lost := w.abandoned
		w.abandoned = nil
		for _, st := range slices.Clone(w.streams) {
			if slices.Contains(lost, st.attempt) {
				w.fail(st)
			}
		}
	}
}

// writeToken lets the engine of a stream write a token.
func (w *versionedWorld) writeToken(st *versionedStream) {
	if st.attempt.IsZero() {
		return
	}
	st.tokens = append(st.tokens, st.version)
	if !st.reported {
		st.reported = true
		w.step(kernel.FirstOutput{Attempt: st.attempt})
	}
}

// fail breaks off the decode of a stream for good.
func (w *versionedWorld) fail(st *versionedStream) {
	attempt := st.attempt
	st.attempt = ident.AttemptID{}
	for range 3 {
		w.step(kernel.AttemptFailed{Attempt: attempt, Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Offset: len(st.tokens)})
	}
}

// insistentPolicy is a joint policy of a release that does not know software versions. It grants d1, or d2 if d1 is to
// be avoided, unless insists is set.
type insistentPolicy struct {
	unresponsivePolicy
	avoid []ident.UpstreamID
}

const insistentPolicyID plugin.ID = "slots.insistent"

func init() { plugin.Register(&insistentPolicy{}) }

// insists is set while the policy grants d1 in any case.
var insists bool

func (*insistentPolicy) PluginInfo() plugin.Info {
	return plugin.Info{ID: insistentPolicyID, New: func() plugin.Plugin { return &insistentPolicy{} }}
}

func (p *insistentPolicy) Place(a kernel.PlacementRequest) {
	p.avoid = slices.Clone(a.Avoid)
	if a.KV == "" {
		p.unresponsivePolicy.Place(a)
		return
	}
	p.Computed(a.Reservation)
}

func (p *insistentPolicy) Computed(id ident.AttemptID) {
	if !insists && slices.Contains(p.avoid, "d1") {
		p.host.DecodeGranted(id, "d2")
		return
	}
	p.host.DecodeGranted(id, "d1")
}

// TestDispatcherWithoutVersionsMixesNoStream guards against a stream that goes on where a dispatcher of an earlier
// release sends it, and against a loop if that one insists.
func TestDispatcherWithoutVersionsMixesNoStream(t *testing.T) {
	for name, insistent := range map[string]bool{"gives way": false, "insists": true} {
		t.Run(name, func(t *testing.T) {
			s := newVersionedSession(t)
			insists = false
			c := *s.content
			c.Policy.Slots = insistentPolicyID
			s.step(kernel.Configured{Version: 2, Content: &c})
			engine := brokenStream(s, "r1", func(ident.UpstreamID) {})
			assert.Equal(t, engine, ident.UpstreamID("d1"))
			s.setVersions(map[ident.UpstreamID]string{"d1": "v2", "d2": "v1"})
			insists = insistent
			for range 6 {
				s.advance(300 * time.Millisecond)
				s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
			}
			if insistent {
				assert.Equal(t, s.answers["r1"], api.Unknown, "%s", s.transcript())
				return
			}
			assert.Equal(t, s.engines[s.decode], ident.UpstreamID("d2"), "%s", s.transcript())
		})
	}
}

// TestVersionOfALaggingViewIsIgnored guards against the version of a process that has ended, taken from a view that
// is behind.
func TestVersionOfALaggingViewIsIgnored(t *testing.T) {
	s := newVersionedSession(t)
	s.changeUpstream("d1", func(u *kernel.Upstream) { u.Incarnation, u.SoftwareVersion = 2, "v2" })
	s.changeUpstream("d1", func(u *kernel.Upstream) { u.Incarnation, u.SoftwareVersion = 1, "v1" })
	s.setLiveness("d2", kernel.Unreachable)
	s.step(kernel.Arrive{Request: s.review("r1")})
	var decoding *kernel.Record
	for _, a := range s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")}) {
		if l, ok := a.(kernel.Log); ok && l.Record.Step == kernel.StepDecoding {
			decoding = &l.Record
		}
	}
	assert.Assert(t, decoding != nil)
	assert.Equal(t, decoding.SoftwareVersion, "v2")
}
