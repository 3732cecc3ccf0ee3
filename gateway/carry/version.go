package carry

import (
	"context"
	"sync/atomic"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/origin"
	"github.com/wardspool/wardspool/internal/clock"
)

// Origins knows the software versions that began streams, also at other instances.
type Origins interface {
	// StreamBegan records the origin of a stream of a service.
	StreamBegan(service string, o origin.Origin)
	// StreamVersion returns the software version that began a stream of a service.
	StreamVersion(ctx context.Context, service string, q origin.Query) (version string, source origin.Source)
	// PromptVersion returns the software version whose engines alone keep the prompt of a new stream, if
	// its caller may have sent it before to an instance that died.
	PromptVersion(ctx context.Context, service string, q origin.Query) (version string, ok bool)
}

// The reasons for which a resumed stream is refused.
const (
	reasonVersionUnknown = "software_version_unknown"
	reasonVersionGone    = "software_version_gone"
)

// versionBinding is the software version that began a stream, at which alone it may go on. It is safe for
// concurrent use.
type versionBinding struct{ version atomic.Pointer[string] }

// bind sets the version unless it is set already.
func (b *versionBinding) bind(version string) { b.version.CompareAndSwap(nil, &version) }

// get returns the version. ok is false if the stream may begin anywhere.
func (b *versionBinding) get() (version string, ok bool) {
	if v := b.version.Load(); v != nil {
		return *v, true
	}
	return "", false
}

// allows reports whether the stream may go on at an upstream.
func (b *versionBinding) allows(u dialect.Upstream) bool {
	version, bound := b.get()
	return !bound || u.SoftwareVersion == version
}

// eligible returns the upstreams to which the stream may be sent now: decode engines of its software
// version, or those at which it may begin, and prefill engines. Every search for an engine is made among them.
func (s *stream) eligible() []dialect.Upstream {
	list := s.c.eligible(s.j)
	if _, bound := s.software.get(); bound {
		return s.software.filter(list)
	}
	if s.j.Route.Resumable {
		return s.c.o.View().MayBegin(clock.Now(), s.j.Service.Name, list)
	}
	return list
}

// candidates returns the lists of upstreams among which a decode engine is looked for, one after the other.
// A resumable stream that has not begun prefers the version that may have read its prompt: if engines of two
// versions keep it, nobody can tell later which of them began the stream. While a silent engine may go on with it,
// it is started at no other version.
func (s *stream) candidates() [][]dialect.Upstream {
	list := s.eligible()
	_, bound := s.software.get()
	_, read := s.readBy.get()
	if bound || !read || !s.j.Route.Resumable {
		return [][]dialect.Upstream{list}
	}
	own := s.readBy.filter(list)
	if s.besideSilent {
		return [][]dialect.Upstream{own}
	}
	return [][]dialect.Upstream{own, list}
}

// filter returns the upstreams of a list without the decode engines that the binding doesn't allow.
func (b *versionBinding) filter(list []dialect.Upstream) (allowed []dialect.Upstream) {
	for _, u := range list {
		if u.Stage != dialect.StageDecode || b.allows(u) {
			allowed = append(allowed, u)
		}
	}
	return allowed
}

// bindVersion binds a stream that its caller resumes to the software version that began it, and has a new one
// prefer the version that may have read its prompt. The error is an *Error if nobody knows the version of a
// resumed stream.
func (s *stream) bindVersion(ctx context.Context) error {
	if s.lastEvent == "" {
		s.preferPromptVersion(ctx)
		return nil
	}
	if s.j.SoftwareVersion != nil {
		s.software.bind(*s.j.SoftwareVersion)
		return nil
	}
	version, source := s.c.o.Origins.StreamVersion(ctx, s.j.Service.Name, s.originQuery(s.j.Call.Resumes))
	s.c.o.Count("resumed_" + string(source))
	s.log.Info("stream origin", "first_attempt", s.j.Call.Resumes, "source", string(source), "software_version", version)
	if source == origin.Unknown {
		return s.refuseVersion(reasonVersionUnknown)
	}
	s.software.bind(version)
	return nil
}

// originQuery returns the query for the origin of the stream that an attempt of its caller began.
func (s *stream) originQuery(attempt string) origin.Query {
	return origin.Query{Attempt: attempt, Part: s.j.Call.LastPromptPart, PartTokens: s.j.Call.LastPromptPartTokens}
}

// preferPromptVersion has a new stream prefer the software version that may have read its prompt.
func (s *stream) preferPromptVersion(ctx context.Context) {
	if !s.j.Route.Resumable {
		return
	}
	if version, ok := s.c.o.Origins.PromptVersion(ctx, s.j.Service.Name, s.originQuery("")); ok {
		s.readBy.bind(version)
	}
}

// began binds the stream to the software version whose first event is about to be sent to the caller, and
// records the origin of a stream that the caller may resume. That of a stream which is run for a peer is
// recorded by the peer: it may deliver another run.
func (s *stream) began(version string) {
	s.software.bind(version)
	if bound, _ := s.software.get(); s.j.Route.Resumable && !s.j.Relayed && bound == version {
		s.c.o.Origins.StreamBegan(s.j.Service.Name, origin.Origin{Attempt: s.firstAttempt(), Version: version})
	}
}

// beganAtPeer is like began for a stream that a peer runs. Peers of earlier releases don't state the
// version; then it is known only if no other one can have begun the stream.
func (s *stream) beganAtPeer(ctx context.Context, version string, known bool) {
	if _, bound := s.software.get(); bound {
		return
	}
	if !known {
		var source origin.Source
		if version, source = s.c.o.Origins.StreamVersion(ctx, s.j.Service.Name, origin.Query{}); source == origin.Unknown {
			version = noVersion
		}
	}
	s.software.bind(version)
	if version != noVersion && s.j.Route.Resumable {
		s.c.o.Origins.StreamBegan(s.j.Service.Name, origin.Origin{Attempt: s.firstAttempt(), Version: version})
	}
}

// noVersion is the binding of a stream that can go on nowhere, because nobody knows which version began it.
const noVersion = "\x00"

// firstAttempt returns the ID of the caller's attempt that brought the stream's first event.
func (s *stream) firstAttempt() string {
	if s.j.Call.LastEvent != "" && s.j.Call.Resumes != "" {
		return s.j.Call.Resumes
	}
	return s.j.Call.ID
}

// versionGone reports whether no engine of the stream's software version is left that gets requests.
func (s *stream) versionGone() bool {
	if _, bound := s.software.get(); !bound {
		return false
	}
	for _, u := range s.c.eligible(s.j) {
		if u.Stage == dialect.StageDecode && !u.Leaving && s.software.allows(u) {
			return false
		}
	}
	return true
}

// refuseVersion logs and counts the refusal of a stream that can't go on at the software version that
// began it, and returns its *Error.
func (s *stream) refuseVersion(reason string) error {
	version, _ := s.software.get()
	s.c.o.Count("refused_" + reason)
	s.log.Info("refused", "reason", reason, "first_attempt", s.j.Call.Resumes, "last_event", s.lastEvent, "software_version", version)
	return &Error{Outcome: s.outcomeUnserved(), Reason: reason, RetryAfter: streamRetryAfter}
}
