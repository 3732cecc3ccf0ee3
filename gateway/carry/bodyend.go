package carry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
)

// framing is how the end of a response body is marked.
type framing string

// The kinds of framing, as they appear in logs.
const (
	framedByLength     framing = "length"
	framedByChunks     framing = "chunks"
	framedByConnection framing = "connection"
)

// framingOf returns the framing of a response's body.
func framingOf(resp *http.Response) framing {
	switch {
	case roundtrip.EndsWithConnection(resp):
		return framedByConnection
	case resp.ContentLength >= 0:
		return framedByLength
	default:
		return framedByChunks
	}
}

// IncompleteEventError reports a stream that ended inside an event.
type IncompleteEventError struct {
	// Bytes is the length of the part that was received.
	Bytes int
}

// Error implements the error interface.
func (e *IncompleteEventError) Error() string {
	return fmt.Sprintf("stream ended inside an event, after %d bytes of it", e.Bytes)
}

// UnconfirmedEndError reports a body that ended with its connection and that nothing shows to be
// complete.
type UnconfirmedEndError struct {
	// Reason says what is missing.
	Reason string
}

// Error implements the error interface.
func (e *UnconfirmedEndError) Error() string {
	return "response ended with its connection and may be incomplete: " + e.Reason
}

// bodyEnd describes the end of a response body that was read to its end without an error. Whether the
// body is complete is decided here for all responses of upstreams and peers.
type bodyEnd struct {
	framing framing
	// rest is what follows the last complete event of a stream.
	rest []byte
	// stopped means that the engine may have been told to stop the stream.
	stopped bool
	// noEvents means that the body is that of a stream from its beginning, and holds no event.
	noEvents bool
	// senderLives reports whether the process that sent the body still runs.
	senderLives func() bool
}

// check returns an error if the body is not complete, or if its end is that of its connection and may
// be due to the end of the process. An orderly end at a process that goes on counts as complete.
func (e bodyEnd) check() error {
	incomplete := e.rest[lastEventEnd(e.rest):]
	switch {
	case insideEvent(incomplete):
		return &IncompleteEventError{Bytes: len(incomplete)}
	case e.framing != framedByConnection:
		return nil
	case e.stopped:
		return &UnconfirmedEndError{Reason: "the stream may have been stopped"}
	case e.noEvents:
		return &UnconfirmedEndError{Reason: "no event was received"}
	case !e.senderLives():
		return &UnconfirmedEndError{Reason: "its sender does not answer"}
	default:
		return nil
	}
}

// maxLivenessChecks is the number of liveness checks after which an upstream whose body ended with its
// connection counts as gone. One check may be lost on the way.
const maxLivenessChecks = 3

// lives reports whether an upstream that has answered a request still runs. Each call asks the upstream,
// because an answer from before the end of the body shows nothing. The response of a request that may run
// once is lost if the upstream counts as gone, so that a silent one is asked as long as the caller waits.
func (c *Forwarder) lives(j *Job, u dialect.Upstream) bool {
	state := stateUnknown
	for tries := 0; state == stateUnknown && (tries < maxLivenessChecks || !j.Route.Repeatable()); tries++ {
		if clock.Until(j.answerBy()) < stateCheckTimeout {
			break
		}
		asked := clock.Now()
		if state = c.queryState(u); state == stateUnknown {
			pause.For(context.Background(), min(stateCheckTimeout-clock.Since(asked), clock.Until(j.answerBy())))
		}
	}
	c.o.Count("unframed_end_" + string(state))
	return state == stateAlive
}

// peerLives is the senderLives of responses of peers. Peers frame their responses, so it counts as
// incomplete if one ends with its connection.
func peerLives() bool { return false }
