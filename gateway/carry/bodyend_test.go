package carry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/internal/bubble"
)

// isBoundary reports whether the first n bytes of a stream end after an event.
func isBoundary(stream string, n int) bool { return strings.HasSuffix(stream[:n], "\n\n") }

// wholeEvents returns the complete events in the first n bytes of a stream.
func wholeEvents(stream string, n int) string {
	return stream[:strings.LastIndex(stream[:n], "\n\n")+len("\n\n")]
}

// firstEvent is the length of the first event of a stream that begins with event 1.
var firstEvent = len(events(1, 1))

// checkBrokenOff checks that a stream that ended after n bytes was reported as broken off, and that its
// caller received the complete events only.
func checkBrokenOff(t *testing.T, got *streamRecorder, err error, stream string, n int) {
	t.Helper()
	var broken *InterruptedError
	assert.Check(t, errors.As(err, &broken), "%d bytes: %v", n, err)
	assert.Check(t, got.body.String() == wholeEvents(stream, n), "%d bytes: the caller received %q", n, got.body.String())
}

// TestStreamCutInsideAnEventIsBrokenOff guards against a stream that ends inside an event and reaches
// its caller as complete.
func TestStreamCutInsideAnEventIsBrokenOff(t *testing.T) {
	whole := events(1, 4)
	for _, unframed := range []bool{true, false} {
		for n := firstEvent + 1; n < len(whole); n++ {
			if isBoundary(whole, n) {
				continue
			}
			t.Run(fmt.Sprintf("unframed %t, %d bytes", unframed, n), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					env := newStreamEnv(t)
					env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: whole[:n], unframed: unframed})
					var got streamRecorder
					_, err := env.Stream(t.Context(), job(singleRun), &got)
					checkBrokenOff(t, &got, err, whole, n)
					assert.Check(t, env.d.countKind("do") == 1)
				})
			})
		}
	}
}

// TestStreamCutInsideItsFirstEventIsNotAnswered guards against a caller that receives a part of the
// first event as the whole stream.
func TestStreamCutInsideItsFirstEventIsNotAnswered(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 1)[:firstEvent-1], unframed: true})
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(singleRun), &got)
		assert.Equal(t, outcomeOf(t, err), Unknown)
		assert.Equal(t, got.heads, 0)
		assert.Equal(t, env.d.countKind("do"), 1)
	})
}

// TestResumableStreamCutInsideAnEventGoesOn guards against a resumed stream that repeats or lacks a part
// of an event.
func TestResumableStreamCutInsideAnEventGoesOn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1"})...)
		env.view.Upstreams["s"] = engineUps([]string{"p1"}, []string{"d1", "d2"})
		cut := reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 3)[:2*firstEvent+5], unframed: true}
		rest := reply{verdict: dialect.Success, status: http.StatusOK, body: events(3, 5), unframed: true}
		env.d.do["d1"], env.d.do["d2"] = []reply{cut}, []reply{rest}
		env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(resumable), &got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
	})
}

// TestRelayedStreamCutInsideAnEventIsBrokenOff guards against a peer's answer that ends inside an event and
// reaches the caller as complete.
func TestRelayedStreamCutInsideAnEventIsBrokenOff(t *testing.T) {
	whole := events(1, 3)
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		env.disconnected, env.relayTo = true, answerFromPeer(whole[:2*firstEvent+5], false)
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(singleRun), &got)
		checkBrokenOff(t, &got, err, whole, 2*firstEvent+5)
	})
}

// TestStoppedStreamCutInsideAnEventGoesOnWhole guards against a part of an event that precedes the events
// from the engine to which a stream was moved.
func TestStoppedStreamCutInsideAnEventGoesOnWhole(t *testing.T) {
	env := startStreamAtD1(t, singleRun)
	env.d.stopped = func() {
		_, _ = io.WriteString(env.body.w, events(3, 3)[:5])
		_ = env.body.w.Close()
	}
	env.migrate(t)
	<-env.ended
	assert.NilError(t, env.err)
	assert.Equal(t, env.got.body.String(), events(1, 5))
}
