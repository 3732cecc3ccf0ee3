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
)

// stoppable is a response body that returns what is written to w, and ends with an error when
// the test closes w with one.
type stoppable struct {
	*io.PipeReader
	w *io.PipeWriter
}

func newStoppable() *stoppable {
	r, w := io.Pipe()
	return &stoppable{PipeReader: r, w: w}
}

// moveBed is a stream that runs at d1 and can be migrated to d2.
type moveBed struct {
	*bed
	body   *stoppable
	got    sink
	answer *Answer
	err    error
	ended  chan struct{}
}

// runAtFirst starts a stream that runs at d1 and has delivered two events.
func runAtFirst(t *testing.T, route routing.Route) *moveBed {
	t.Helper()
	b := &moveBed{bed: newBed(t, slack, engineUps([]string{"p1"}, []string{"d1", "d2"})...), body: newStoppable(), ended: make(chan struct{})}
	b.d.do["d1"] = []reply{{verdict: dialect.Success, status: http.StatusOK, stream: b.body}}
	b.d.do["d2"] = []reply{{verdict: dialect.Success, status: http.StatusOK, body: events(3, 5)}}
	b.d.stopped = func() { _ = b.body.w.CloseWithError(io.ErrUnexpectedEOF) }
	j := job(route)
	j.Service.Engine.Migrates = true
	full := &dialect.FullError{}
	b.d.hold["d2"] = []error{full}
	go func() {
		defer close(b.ended)
		b.answer, b.err = b.Stream(t.Context(), j, &b.got)
	}()
	_, err := io.WriteString(b.body.w, events(1, 2))
	assert.NilError(t, err)
	for b.running1() == nil {
		time.Sleep(time.Millisecond)
	}
	return b
}

// running1 returns the running stream, or nil before it has started.
func (b *moveBed) running1() *stream {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.streams {
		return s
	}
	return nil
}

// move migrates the stream away from d1.
func (b *moveBed) move(t *testing.T) {
	t.Helper()
	s := b.running1()
	turn, ok := s.migration.begin()
	assert.Assert(t, ok)
	var ticket schedule.Ticket
	b.mu.Lock()
	for _, u := range b.view.Upstreams["s"] {
		if u.ID == "d1" {
			ticket.Upstream = u
		}
	}
	b.mu.Unlock()
	s.migrate(schedule.Migrant{Ticket: ticket, Why: schedule.WhyLeaving}, turn)
}

// TestMovedStreamGoesOn checks that a migrated stream continues at the other engine under the
// response head of the first one, also on a route that allows one attempt, because it is the
// same run.
func TestMovedStreamGoesOn(t *testing.T) {
	b := runAtFirst(t, stream1)
	b.move(t)
	<-b.ended
	assert.NilError(t, b.err)
	assert.Equal(t, b.got.body.String(), events(1, 5))
	assert.Equal(t, b.got.heads, 1)
	assert.Equal(t, b.d.count("copy d1 d2"), 1)
	assert.Equal(t, b.d.count("stop d1 d2"), 1)
	last := b.d.sends[len(b.d.sends)-1]
	assert.Equal(t, string(last.To.ID), "d2")
	assert.DeepEqual(t, *last.Source, dialect.Handle{Engine: "d1", ID: "moved"})
	assert.Equal(t, last.LastEvent, "2")
}

// TestStreamThatIsNotCopiedGoesOnWhereItIs checks that a stream is not stopped before its KV
// cache has been copied.
func TestStreamThatIsNotCopiedGoesOnWhereItIs(t *testing.T) {
	b := runAtFirst(t, stream1)
	b.d.migrate["copy"] = []error{&dialect.StatusError{Op: "move", Status: http.StatusServiceUnavailable}}
	b.move(t)
	assert.Equal(t, b.d.countKind("stop"), 0)
	_, err := io.WriteString(b.body.w, events(3, 4))
	assert.NilError(t, err)
	assert.NilError(t, b.body.w.Close())
	<-b.ended
	assert.NilError(t, b.err)
	assert.Equal(t, b.got.body.String(), events(1, 4))
}

// TestStoppedAndNotCopiedStreamGoesOnAtItsEngine checks that a stream that was stopped but not
// copied continues at its engine from the KV cache there.
func TestStoppedAndNotCopiedStreamGoesOnAtItsEngine(t *testing.T) {
	b := runAtFirst(t, stream1)
	b.d.migrate["stop"] = []error{&dialect.NotCopiedError{Handle: dialect.Handle{Engine: "d1", ID: "kept"}}}
	b.d.mu.Lock()
	b.d.do["d1"] = []reply{{verdict: dialect.Success, status: http.StatusOK, body: events(3, 6)}}
	b.d.mu.Unlock()
	b.move(t)
	assert.NilError(t, b.body.w.CloseWithError(io.ErrUnexpectedEOF))
	<-b.ended
	assert.NilError(t, b.err)
	assert.Equal(t, b.got.body.String(), events(1, 6))
	last := b.d.sends[len(b.d.sends)-1]
	assert.Equal(t, string(last.To.ID), "d1")
	assert.Equal(t, last.Source.ID, "kept")
}

// TestStreamThatEndedMeanwhileIsWhole checks that a stream that ended before it could be stopped
// counts as complete: the engine reports that it no longer runs.
func TestStreamThatEndedMeanwhileIsWhole(t *testing.T) {
	b := runAtFirst(t, stream1)
	b.d.migrate["stop"] = []error{&dialect.NotRunningError{Request: "q"}}
	b.move(t)
	assert.NilError(t, b.body.w.Close())
	<-b.ended
	assert.NilError(t, b.err)
	assert.Equal(t, b.got.body.String(), events(1, 2))
}

// TestEndOfAMoveThatIsUncertainIsNotWhole checks that an unframed response counts as incomplete
// if its stream may have been stopped.
func TestEndOfAMoveThatIsUncertainIsNotWhole(t *testing.T) {
	open := &http.Response{ContentLength: -1}
	chunked := &http.Response{ContentLength: -1, TransferEncoding: []string{"chunked"}}
	assert.Assert(t, endOf(open, nil, true) != nil)
	assert.NilError(t, endOf(open, nil, false))
	assert.NilError(t, endOf(chunked, nil, true))
}

// TestOldMoveDoesNotStopTheStreamElsewhere checks that a migration that began at one engine has
// no effect once the stream runs at another.
func TestOldMoveDoesNotStopTheStreamElsewhere(t *testing.T) {
	var m migration
	m.arrive()
	old, ok := m.begin()
	assert.Assert(t, ok)
	assert.Assert(t, m.ended() == nil)
	m.arrive()
	again, ok := m.begin()
	assert.Assert(t, ok)
	assert.Assert(t, !m.stop(old, schedule.Ticket{}))
	m.cancel(old)
	assert.Assert(t, m.stop(again, schedule.Ticket{}))
	assert.Assert(t, m.ended() != nil)
}
