package carry

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// born returns copies of upstreams with the given incarnation.
func born(incarnation ident.Incarnation, ups []dialect.Upstream) []dialect.Upstream {
	out := append([]dialect.Upstream(nil), ups...)
	for i := range out {
		out[i].Incarnation = incarnation
	}
	return out
}

// hung sends a request to x, which never answers. After 300 ms, a list says that x has the
// incarnation listed. It returns the bed, the duration of the request and its error.
func hung(t *testing.T, r routing.Route, listed ident.Incarnation) (*bed, time.Duration, error) {
	ups := born(5, plainUps("x", "y"))
	b := newBed(t, slack, ups...)
	for range 9 {
		// y has more requests in flight, so that x is chosen.
		b.o.Books.PickService(time.Now(), ups[1:], true, nil)
	}
	b.d.do["x"] = []reply{{hangs: true}}
	time.AfterFunc(300*time.Millisecond, func() { b.Listed(born(listed, ups[:1])) })
	start := time.Now()
	_, err := b.Plain(t.Context(), job(r))
	return b, time.Since(start), err
}

// TestRestartEndsWhatWaitsForTheFormerIncarnation checks that requests which wait for an
// upstream that has restarted end at once: a repeatable one is sent elsewhere, for another it is
// reported as unknown whether it ran.
func TestRestartEndsWhatWaitsForTheFormerIncarnation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b, took, err := hung(t, often, 6)
		assert.NilError(t, err)
		assert.Equal(t, took, 300*time.Millisecond)
		assert.Equal(t, b.d.count("do y"), 1)
	})
	bubble.Test(t, func(t *testing.T) {
		b, took, err := hung(t, once, 6)
		assert.Equal(t, fateOf(t, err), Unknown)
		assert.Equal(t, took, 300*time.Millisecond)
		assert.Equal(t, b.d.countKind("do"), 1)
	})
}

// TestSameOrOlderIncarnationEndsNothing checks that lists that arrive late or repeatedly cancel
// no attempts.
func TestSameOrOlderIncarnationEndsNothing(t *testing.T) {
	for _, listed := range []ident.Incarnation{5, 4, 0} {
		bubble.Test(t, func(t *testing.T) {
			_, took, _ := hung(t, often, listed)
			assert.Assert(t, took > 20*time.Second, "%v", took)
		})
	}
}

// TestReportShowsARestart checks that a restart is detected from an engine's report before any
// list shows it. The stream continues elsewhere, and failures of the old incarnation do not
// count against the new one.
func TestReportShowsARestart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b, got, took, err := stallAt(t, resumable, func(b *bed) {
			b.view.Upstreams["s"] = born(5, b.view.Upstreams["s"])
			b.d.incarnations = map[ident.UpstreamID]ident.Incarnation{"d1": 6}
		})
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
		assert.Assert(t, took < time.Second, "%v", took)
		assert.Equal(t, b.d.count("do d2"), 1)
		fresh := born(6, engineUps(nil, []string{"d1"}))
		assert.Equal(t, len(b.o.Books.Reachable(time.Now(), fresh, dialect.StageDecode)), 1)
	})
}

// TestRestartEndsAMovedStream checks that a stream that was migrated to another engine ends when
// that engine restarts, even if nothing resets its connection.
func TestRestartEndsAMovedStream(t *testing.T) {
	b := runAtFirst(t, stream1)
	b.d.mu.Lock()
	b.d.do["d2"] = []reply{{hangs: true}}
	b.d.mu.Unlock()
	ups := b.view.Upstreams["s"]
	b.mu.Lock()
	b.view.Upstreams["s"] = born(5, ups)
	b.mu.Unlock()
	b.move(t)
	for b.d.count("do d2") == 0 {
		time.Sleep(time.Millisecond)
	}
	b.Listed(born(6, ups))
	select {
	case <-b.ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the stream still waits for an engine that has restarted")
	}
	var off *BrokenOffError
	assert.Assert(t, errors.As(b.err, &off), "%v", b.err)
	assert.Equal(t, b.got.body.String(), events(1, 2))
}
