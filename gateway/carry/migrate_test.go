package carry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// controlledBody is a response body that returns what is written to w, and ends with an error
// when the test closes w with one.
type controlledBody struct {
	*io.PipeReader
	w *io.PipeWriter
}

func newControlledBody() *controlledBody {
	r, w := io.Pipe()
	return &controlledBody{PipeReader: r, w: w}
}

// migrationEnv is a stream that runs at d1 and can be migrated to d2.
type migrationEnv struct {
	*testEnv
	body     *controlledBody
	got      streamRecorder
	response *Response
	err      error
	ended    chan struct{}
}

// startStreamAtD1 starts a stream that runs at d1 and has delivered two events.
func startStreamAtD1(t *testing.T, route routing.Route) *migrationEnv {
	t.Helper()
	return startVersionedStreamAtD1(t, route, "", "")
}

// startVersionedStreamAtD1 is like startStreamAtD1, with the software versions of d1 and d2.
func startVersionedStreamAtD1(t *testing.T, route routing.Route, v1, v2 string) *migrationEnv {
	t.Helper()
	env := &migrationEnv{testEnv: newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...), body: newControlledBody(), ended: make(chan struct{})}
	env.view.Upstreams["s"][1].SoftwareVersion, env.view.Upstreams["s"][2].SoftwareVersion = v1, v2
	env.d.do["d1"] = []reply{{verdict: dialect.Success, status: http.StatusOK, stream: env.body}}
	env.d.do["d2"] = []reply{{verdict: dialect.Success, status: http.StatusOK, body: events(3, 5)}}
	env.d.stopped = func() { _ = env.body.w.CloseWithError(io.ErrUnexpectedEOF) }
	j := job(route)
	j.Service.Engine.SupportsMigration = true
	full := &dialect.NoCapacityError{}
	env.d.reserve["d2"] = []error{full}
	go func() {
		defer close(env.ended)
		env.response, env.err = env.Stream(t.Context(), j, &env.got)
	}()
	_, err := io.WriteString(env.body.w, events(1, 2))
	assert.NilError(t, err)
	for env.firstStream() == nil {
		time.Sleep(time.Millisecond)
	}
	return env
}

// firstStream returns the running stream, or nil before it has started.
func (env *migrationEnv) firstStream() *stream {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, s := range env.streams {
		return s
	}
	return nil
}

// migrate migrates the stream away from d1.
func (env *migrationEnv) migrate(t *testing.T) {
	t.Helper()
	env.migrateFrom(t, "d1")
}

// migrateFrom migrates the stream away from an engine.
func (env *migrationEnv) migrateFrom(t *testing.T, from ident.UpstreamID) {
	t.Helper()
	s := env.firstStream()
	turn, ok := s.migration.begin()
	assert.Assert(t, ok)
	var ticket schedule.Ticket
	env.mu.Lock()
	for _, u := range env.view.Upstreams["s"] {
		if u.ID == from {
			ticket.Upstream = u
		}
	}
	env.mu.Unlock()
	s.migrate(schedule.Migrant{Ticket: ticket, Reason: schedule.ReasonLeaving}, turn)
}

// TestMovedStreamGoesOn checks that a migrated stream continues at the other engine under the
// response head of the first one, also on a route that allows one attempt, because it is the
// same run.
func TestMovedStreamGoesOn(t *testing.T) {
	env := startStreamAtD1(t, singleRun)
	env.migrate(t)
	<-env.ended
	assert.NilError(t, env.err)
	assert.Equal(t, env.got.body.String(), events(1, 5))
	assert.Equal(t, env.got.heads, 1)
	assert.Equal(t, env.d.count("copy d1 d2"), 1)
	assert.Equal(t, env.d.count("stop d1 d2"), 1)
	last := env.d.sends[len(env.d.sends)-1]
	assert.Equal(t, string(last.To.ID), "d2")
	assert.DeepEqual(t, *last.Source, dialect.Handle{Engine: "d1", ID: "moved"})
	assert.Equal(t, last.LastEvent, "2")
}

// TestStreamThatIsNotCopiedGoesOnWhereItIs checks that a stream is not stopped before its KV
// cache has been copied.
func TestStreamThatIsNotCopiedGoesOnWhereItIs(t *testing.T) {
	env := startStreamAtD1(t, singleRun)
	env.d.migrate["copy"] = []error{&dialect.StatusError{Op: "move", Status: http.StatusServiceUnavailable}}
	env.migrate(t)
	assert.Equal(t, env.d.countKind("stop"), 0)
	_, err := io.WriteString(env.body.w, events(3, 4))
	assert.NilError(t, err)
	assert.NilError(t, env.body.w.Close())
	<-env.ended
	assert.NilError(t, env.err)
	assert.Equal(t, env.got.body.String(), events(1, 4))
}

// TestStoppedAndNotCopiedStreamGoesOnAtItsEngine checks that a stream that was stopped but not
// copied continues at its engine from the KV cache there.
func TestStoppedAndNotCopiedStreamGoesOnAtItsEngine(t *testing.T) {
	env := startStreamAtD1(t, singleRun)
	env.d.migrate["stop"] = []error{&dialect.NotCopiedError{Handle: dialect.Handle{Engine: "d1", ID: "kept"}}}
	env.d.mu.Lock()
	env.d.do["d1"] = []reply{{verdict: dialect.Success, status: http.StatusOK, body: events(3, 6)}}
	env.d.mu.Unlock()
	env.migrate(t)
	assert.NilError(t, env.body.w.CloseWithError(io.ErrUnexpectedEOF))
	<-env.ended
	assert.NilError(t, env.err)
	assert.Equal(t, env.got.body.String(), events(1, 6))
	last := env.d.sends[len(env.d.sends)-1]
	assert.Equal(t, string(last.To.ID), "d1")
	assert.Equal(t, last.Source.ID, "kept")
}

// TestStreamThatEndedMeanwhileIsWhole checks that a stream that ended before it could be stopped
// counts as complete: the engine reports that it no longer runs.
func TestStreamThatEndedMeanwhileIsWhole(t *testing.T) {
	env := startStreamAtD1(t, singleRun)
	env.d.migrate["stop"] = []error{&dialect.NotRunningError{Request: "q"}}
	env.migrate(t)
	assert.NilError(t, env.body.w.Close())
	<-env.ended
	assert.NilError(t, env.err)
	assert.Equal(t, env.got.body.String(), events(1, 2))
}

// TestEndOfAMoveThatIsUncertainIsNotWhole checks that an unframed response counts as incomplete
// if its stream may have been stopped.
func TestEndOfAMoveThatIsUncertainIsNotWhole(t *testing.T) {
	open := framingOf(&http.Response{ContentLength: -1})
	chunked := framingOf(&http.Response{ContentLength: -1, TransferEncoding: []string{"chunked"}})
	lives := func() bool { return true }
	assert.Assert(t, bodyEnd{framing: open, stopped: true, senderLives: lives}.check() != nil)
	assert.NilError(t, bodyEnd{framing: open, senderLives: lives}.check())
	assert.NilError(t, bodyEnd{framing: chunked, stopped: true, senderLives: lives}.check())
}

// TestMoveAtASilentEngineDoesNotEndALaterOne guards against an instance that crashes, or a stream that goes on from
// the wrong KV cache, because a silent engine answers a stop after the stream was taken over and moved again.
func TestMoveAtASilentEngineDoesNotEndALaterOne(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := &migrationEnv{testEnv: newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2", "d3"})...), ended: make(chan struct{})}
		first, second := newControlledBody(), newControlledBody()
		full := &dialect.NoCapacityError{}
		env.d.reserve["d2"], env.d.reserve["d3"] = []error{full}, []error{full}
		env.d.do["d1"] = []reply{{verdict: dialect.Success, status: http.StatusOK, stream: first}}
		env.d.do["d2"] = []reply{{verdict: dialect.Success, status: http.StatusOK, stream: second}}
		env.d.do["d3"] = []reply{{verdict: dialect.Success, status: http.StatusOK, body: events(4, 6)}}
		env.d.stopTime = map[ident.UpstreamID]time.Duration{"d1": stopTimeout + time.Second, "d2": 400 * time.Millisecond}
		env.d.stopped = func() { _ = second.w.CloseWithError(io.ErrUnexpectedEOF) }
		r := resumable
		r.PaceObjective = 300 * time.Millisecond
		j := job(r)
		j.Service.Engine.SupportsMigration = true
		go func() {
			defer close(env.ended)
			env.response, env.err = env.Stream(t.Context(), j, &env.got)
		}()
		_, err := io.WriteString(first.w, events(1, 2))
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		env.d.mu.Lock()
		env.d.silent = map[ident.UpstreamID]bool{"d1": true}
		env.d.reserve["d2"] = nil
		env.d.mu.Unlock()
		go env.migrateFrom(t, "d1")
		_, err = io.WriteString(second.w, events(3, 3))
		assert.NilError(t, err)
		// The second stop is under way when the first one fails.
		time.Sleep(1900*time.Millisecond - time.Since(j.Arrived))
		env.migrateFrom(t, "d2")
		<-env.ended
		assert.NilError(t, env.err)
		assert.Equal(t, env.got.body.String(), events(1, 6))
		env.Close()
		for _, u := range env.view.Upstreams["s"] {
			assert.Equal(t, env.o.Scheduler.RequestCount(u.ID), 0, "%s", u.ID)
		}
	})
}

// TestOldMoveDoesNotStopTheStreamElsewhere checks that a migration that began at one engine has
// no effect once the stream runs at another.
func TestOldMoveDoesNotStopTheStreamElsewhere(t *testing.T) {
	var m migration
	m.recordStart()
	old, ok := m.begin()
	assert.Assert(t, ok)
	assert.Assert(t, m.recordEnd() == nil)
	m.recordStart()
	again, ok := m.begin()
	assert.Assert(t, ok)
	assert.Assert(t, m.beginStop(old, schedule.Ticket{}) == nil)
	m.cancel(old)
	assert.Assert(t, m.beginStop(again, schedule.Ticket{}) != nil)
	assert.Assert(t, m.recordEnd() != nil)
}
