package carry

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
)

// TestCutIsNamedByWhatEndedTheRun checks that the reason is not derived from the read error
// alone. That error does not distinguish a disconnected caller from an instance that stops, or
// an engine that ended the run from one whose run was canceled.
func TestCutIsNamedByWhatEndedTheRun(t *testing.T) {
	live := t.Context()
	left, leave := context.WithCancel(live)
	leave()
	late, done := context.WithDeadline(live, time.Now())
	defer done()
	stopping, stop := context.WithCancelCause(live)
	stop(&StoppedError{})
	request, end := context.WithTimeout(stopping, time.Minute)
	defer end()
	silent := &adapter.CallError{Err: &UnresponsiveError{Upstream: "d1", Err: io.EOF}}
	for _, c := range []struct {
		ctx  context.Context
		err  error
		want CutReason
	}{
		{live, io.ErrUnexpectedEOF, CutByEngine},
		{live, silent, CutBySilence},
		{live, &CallerWriteError{Err: io.ErrClosedPipe}, CutByCaller},
		{left, context.Canceled, CutByCaller},
		{late, context.DeadlineExceeded, CutByDeadline},
		{request, context.Canceled, CutByStop},
	} {
		assert.Equal(t, cutReason(c.ctx, c.err), c.want, "%v", c.err)
	}
}

// TestCutAnswerIsCounted checks that an interrupted response is counted under its reason.
func TestCutAnswerIsCounted(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 3), breaks: true})
	var counted []string
	env.o.Count = func(name string) { counted = append(counted, name) }
	var got streamRecorder
	_, err := env.Stream(t.Context(), job(singleRun), &got)
	var broken *InterruptedError
	assert.Assert(t, errors.As(err, &broken), "%v", err)
	assert.Equal(t, broken.Reason, CutByEngine)
	assert.DeepEqual(t, counted[len(counted)-1], "answers_cut_engine")
}
