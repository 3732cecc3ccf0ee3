package carry

import (
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// stall runs a stream at d1 that sends two events and then nothing for three seconds. silent
// says whether d1 answers liveness checks in that time. It returns the bed, what the caller
// received, the duration and the error.
func stall(t *testing.T, r routing.Route, silent bool) (*bed, *sink, time.Duration, error) {
	t.Helper()
	return stallAt(t, r, func(b *bed) { b.d.silent = map[ident.UpstreamID]bool{"d1": silent} })
}

// stallAt is like stall, but happens prepares the bed.
func stallAt(t *testing.T, r routing.Route, happens func(b *bed)) (*bed, *sink, time.Duration, error) {
	t.Helper()
	r.PaceObjective = 300 * time.Millisecond
	b := newBed(t, slack, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
	body := newStoppable()
	b.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
	b.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(3, 5)}}
	full := &dialect.FullError{}
	b.d.hold["d2"] = []error{full, nil}
	happens(b)
	var upstream sync.WaitGroup
	defer upstream.Wait()
	upstream.Go(func() {
		if _, err := io.WriteString(body.w, events(1, 2)); err != nil {
			return
		}
		time.Sleep(3 * time.Second)
		if _, err := io.WriteString(body.w, events(3, 5)); err == nil {
			_ = body.w.Close()
		}
	})
	got := &sink{}
	start := time.Now()
	_, err := b.Stream(t.Context(), job(r), got)
	return b, got, time.Since(start), err
}

// TestStreamAtASilentEngineGoesOnElsewhere checks that a stream continues elsewhere, long before
// its caller would disconnect, once its engine has failed to answer a liveness check. An engine
// that only pauses is waited for.
func TestStreamAtASilentEngineGoesOnElsewhere(t *testing.T) {
	for _, silent := range []bool{true, false} {
		bubble.Test(t, func(t *testing.T) {
			b, got, took, err := stall(t, resumable, silent)
			assert.NilError(t, err)
			assert.Equal(t, got.body.String(), events(1, 5))
			assert.Equal(t, got.heads, 1)
			assert.Equal(t, took < time.Second, silent, "%v", took)
			assert.Equal(t, b.d.count("do d2"), map[bool]int{true: 1, false: 0}[silent])
		})
	}
}

// TestStreamThatRunsOnceIsLeftAtASilentEngine checks that a stream that may run only once is
// left at an engine that does not answer.
func TestStreamThatRunsOnceIsLeftAtASilentEngine(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b, got, _, err := stall(t, stream1, true)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
		assert.Equal(t, b.d.count("do d2"), 0)
	})
}

// TestSilenceDoesNotSayThatARequestWasNotSent checks that an unanswered liveness check is not
// taken as evidence that the request was not sent: it may have run all the same.
func TestSilenceDoesNotSayThatARequestWasNotSent(t *testing.T) {
	b := newBed(t, slack, engineUps([]string{"p1"}, []string{"d1"})...)
	b.d.silent = map[ident.UpstreamID]bool{"d1": true}
	b.d.do["d1"] = []reply{{hangs: true}}
	r := resumable
	r.PaceObjective, r.Objective = 10*time.Millisecond, 500*time.Millisecond
	_, err := b.Stream(t.Context(), job(r), &sink{})
	assert.Equal(t, b.d.count("do d1"), 1)
	assert.Equal(t, fateOf(t, err), Unknown)
}
