package carry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/ident"
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

// TestUnframedStreamOfADeadEngineIsBrokenOff guards against a stream that ends between events because
// its engine died and reaches its caller as complete. A stream of an engine that goes on is complete.
func TestUnframedStreamOfADeadEngineIsBrokenOff(t *testing.T) {
	for _, c := range []struct {
		name     string
		end      func(env *testEnv)
		unframed bool
		complete bool
	}{
		{"runs", func(*testEnv) {}, true, true},
		{"rejects the check", func(env *testEnv) { env.d.busy = true }, true, true},
		{"crashed", func(env *testEnv) { env.d.crashed = bothDecode }, true, false},
		{"silent", func(env *testEnv) { env.d.silent = bothDecode }, true, false},
		{"restarted", func(env *testEnv) { env.d.incarnations = map[ident.UpstreamID]ident.Incarnation{"d1": 2, "d2": 2} }, true, false},
		{"framed, crashed", func(env *testEnv) { env.d.crashed = bothDecode }, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newStreamEnv(t)
				for i := range env.view.Upstreams["s"] {
					env.view.Upstreams["s"][i].Incarnation = 1
				}
				env.d.incarnations = map[ident.UpstreamID]ident.Incarnation{"d1": 1, "d2": 1}
				env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 3), unframed: c.unframed})
				env.d.onDo = func() { c.end(env) }
				var got streamRecorder
				_, err := env.Stream(t.Context(), job(singleRun), &got)
				assert.Equal(t, err == nil, c.complete, "%v", err)
				assert.Equal(t, got.body.String(), events(1, 3))
				assert.Equal(t, env.d.countKind("do"), 1)
			})
		})
	}
}

// bothDecode is the set of the decode engines of newStreamEnv.
var bothDecode = map[ident.UpstreamID]bool{"d1": true, "d2": true}

// TestUnframedStreamWithoutEventsIsNoAnswer guards against an engine that breaks off before the first event
// and whose caller receives an empty stream as complete.
func TestUnframedStreamWithoutEventsIsNoAnswer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, unframed: true})
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(singleRun), &got)
		assert.Equal(t, outcomeOf(t, err), Unknown)
		assert.Equal(t, got.heads, 0)
	})
}

// TestUnframedStreamResumedAfterItsLastEventIsComplete guards against a resumed stream that can never
// end because nothing is left to send.
func TestUnframedStreamResumedAfterItsLastEventIsComplete(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, unframed: true})
		j := job(resumable)
		j.Call.LastEvent, j.Call.ReceivedEvents = "5", 5
		var got streamRecorder
		_, err := env.Stream(t.Context(), j, &got)
		assert.NilError(t, err)
		assert.Equal(t, got.heads, 1)
	})
}

// TestUnframedResponseOfADeadUpstreamIsNoAnswer guards against a plain response that was cut short by
// the end of its process and reaches the caller as complete.
func TestUnframedResponseOfADeadUpstreamIsNoAnswer(t *testing.T) {
	for _, dead := range []bool{true, false} {
		bubble.Test(t, func(t *testing.T) {
			env := newTestEnv(t, ampleBudget, plainUps("a")...)
			env.d.do["a"] = []reply{{verdict: dialect.Success, status: http.StatusOK, body: "part", unframed: true}}
			env.d.crashed = map[ident.UpstreamID]bool{"a": dead}
			resp, err := env.Plain(t.Context(), job(atMostOnce))
			if dead {
				assert.Equal(t, outcomeOf(t, err), Unknown)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(resp.Body), "part")
		})
	}
}

// TestUnframedResponseOfAPeerIsNoAnswer guards against a peer's response that was cut short and counts
// as complete although peers frame their responses.
func TestUnframedResponseOfAPeerIsNoAnswer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		env.disconnected = true
		env.relayTo = func(q relay.Request) (*http.Response, error) {
			resp, err := answerFromPeer(events(1, 2), false)(q)
			resp.ContentLength = -1
			return resp, err
		}
		_, err := env.Plain(t.Context(), job(atMostOnce))
		assert.Equal(t, outcomeOf(t, err), Unknown)
		var broken *InterruptedError
		_, err = env.Stream(t.Context(), job(singleRun), &streamRecorder{})
		assert.Assert(t, errors.As(err, &broken), "%v", err)
	})
}

// TestStreamsWithAnyLineEndsAreWhole guards against streams whose lines end with CR LF or CR and of which
// no event is recognized: they reach the caller in one piece at the end, or not at all.
func TestStreamsWithAnyLineEndsAreWhole(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		bubble.Test(t, func(t *testing.T) {
			whole := strings.ReplaceAll(events(1, 3), "\n", end)
			env := newStreamEnv(t)
			body := newControlledBody()
			env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, stream: body, unframed: true})
			var got streamRecorder
			result := make(chan error, 1)
			go func() {
				_, err := env.Stream(t.Context(), job(singleRun), &got)
				result <- err
			}()
			for n := range len(whole) {
				_, err := io.WriteString(body.w, whole[n:n+1])
				assert.NilError(t, err)
			}
			synctest.Wait()
			// The LF after the CR that ended the last event may come later.
			assert.Equal(t, strings.TrimSuffix(got.body.String(), "\n"), strings.TrimSuffix(whole, "\n"))
			assert.NilError(t, body.w.Close())
			assert.NilError(t, <-result)
			assert.Equal(t, got.body.String(), whole)
		})
	}
}

// TestBytesAfterTheLastEvent checks which bytes after the last event of a stream are a part of another
// one.
func TestBytesAfterTheLastEvent(t *testing.T) {
	for rest, want := range map[string]bool{
		"": false, "\n": false, "\r\n": false, ": comment\n": false, ": a\r\n: b\r\n": false,
		": comm": true, "id: 4\n": true, "i": true, ": comment\ndata: x\n": true, "data: x\r\n": true, " ": true,
		"data: x\r\n\r": false, "data: x\r\n\rd": true, "data: x\r\n\r\n": false,
	} {
		assert.Check(t, insideEvent([]byte(rest)) == want, "%q", rest)
	}
}
