package carry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/routing"
)

// endIn has the instance end in some time, and its requests then.
func endIn(b *bed, after time.Duration) context.Context {
	b.ends = time.Now().Add(after)
	ctx, end := context.WithCancelCause(context.Background())
	time.AfterFunc(after, func() { end(&StoppedError{}) })
	return ctx
}

// TestEndOfTheInstanceIsTold: what has not run is said not to have run, and nothing else is.
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
			synctest.Test(t, func(t *testing.T) {
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
