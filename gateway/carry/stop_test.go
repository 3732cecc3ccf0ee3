package carry

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/bubble"
)

// endIn makes the instance terminate after the given time, and returns a context for its
// requests that is canceled then.
func endIn(b *bed, after time.Duration) context.Context {
	b.ends = time.Now().Add(after)
	ctx, end := context.WithCancelCause(context.Background())
	time.AfterFunc(after, func() { end(&StoppedError{}) })
	return ctx
}

// TestStreamThatOutlastsItsInstanceIsTurnedAway checks that a stream that would outlast its
// instance is refused before any call is made for it.
func TestStreamThatOutlastsItsInstanceIsTurnedAway(t *testing.T) {
	b := streamBed(t)
	b.ends = time.Now().Add(5 * time.Second)
	j := job(stream1)
	j.Call.OutputEstimate = 100_000
	_, err := b.Stream(t.Context(), j, &sink{})
	assert.Equal(t, fateOf(t, err), NotRun)
	var told *Error
	assert.Assert(t, errors.As(err, &told))
	assert.Equal(t, told.Reason, reasonStopping)
	assert.Assert(t, told.RetryAfter > 0)
	assert.Equal(t, len(b.d.calls), 0)

	j = job(stream1)
	b.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 5)})
	_, err = b.Stream(t.Context(), j, &sink{})
	assert.NilError(t, err)
}

// TestStreamThatWaitsTooLongIsTurnedAway checks that a waiting stream is refused while another
// instance can still serve it in time.
func TestStreamThatWaitsTooLongIsTurnedAway(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := streamBed(t)
		full := []error{&dialect.FullError{}}
		b.d.hold["d1"], b.d.hold["d2"] = full, full
		b.ends = time.Now().Add(5 * time.Second)
		j := job(stream1)
		j.Arrived, j.Deadline = time.Now(), time.Now().Add(time.Minute)
		start := time.Now()
		_, err := b.Stream(t.Context(), j, &sink{})
		assert.Equal(t, fateOf(t, err), NotRun)
		assert.Assert(t, time.Since(start) < 5*time.Second, "%v", time.Since(start))
	})
}

// TestEndOfTheInstanceIsTold checks that at the end of the instance only requests that have not
// run are reported as not run.
func TestEndOfTheInstanceIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		route   routing.Route
		prepare func(b *bed)
		want    Fate
	}{
		"plain, sent":     {once, func(b *bed) { b.d.do["u1"] = []reply{{hangs: true}} }, Unknown},
		"plain, not sent": {once, func(b *bed) { b.d.do["u1"] = []reply{{hangs: true, err: notSent}} }, NotRun},
		"stream, sent":    {stream1, func(b *bed) { b.serveStreams(reply{hangs: true}) }, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				b := newBed(t, slack, plainUps("u1")...)
				j := job(c.route)
				if c.route.Kind == routing.Stream {
					b = streamBed(t)
				}
				j.Arrived, j.Deadline = time.Now(), time.Now().Add(time.Minute)
				c.prepare(b)
				ctx := endIn(b, 2*time.Second)
				var err error
				if c.route.Kind == routing.Stream {
					_, err = b.Stream(ctx, j, &sink{})
				} else {
					_, err = b.Plain(ctx, j)
				}
				assert.Equal(t, fateOf(t, err), c.want)
			})
		})
	}
}
