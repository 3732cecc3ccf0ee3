package carry

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// newVersionedEnv returns a test environment with one prefill engine, and decode engines that run the
// given software versions: d1 the first one and so on. The first request goes to d1.
func newVersionedEnv(t *testing.T, versions ...string) *testEnv {
	t.Helper()
	names := []string{"d1", "d2", "d3", "d4"}[:len(versions)]
	env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, names)...)
	for i, u := range env.view.Upstreams["s"][1:] {
		env.view.Upstreams["s"][1+i].SoftwareVersion = versions[i]
		if i > 0 {
			env.d.reserve[u.Address] = []error{&dialect.NoCapacityError{}, nil}
		}
	}
	return env
}

// decodeSends returns the IDs of the engines to which callers' requests were sent.
func decodeSends(env *testEnv) (sent []ident.UpstreamID) {
	for _, s := range env.d.sends {
		sent = append(sent, s.To.ID)
	}
	return sent
}

// brokenAfter returns a reply that breaks off after the given number of events.
func brokenAfter(count int) reply {
	return reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, count), breaks: true}
}

// wholeFrom returns a reply with the events from the given one to the fifth.
func wholeFrom(first int) reply {
	return reply{verdict: dialect.Success, status: http.StatusOK, body: events(first, 5)}
}

// TestBrokenStreamGoesOnAtItsSoftwareVersion guards against a stream that goes on, within one answer, at an
// engine of another software version than the one that began it.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1", "v2", "v2", "v1")
		env.d.do["d1"] = []reply{brokenAfter(3)}
		env.d.do["d2"], env.d.do["d3"], env.d.do["d4"] = []reply{wholeFrom(4)}, []reply{wholeFrom(4)}, []reply{wholeFrom(4)}
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(resumable), &got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
		assert.DeepEqual(t, decodeSends(env), []ident.UpstreamID{"d1", "d4"})
	})
}

// TestBrokenStreamOfAGoneSoftwareVersionEnds guards against a stream that waits until its deadline, or
// goes on elsewhere, when no engine of its software version is left.
func TestBrokenStreamOfAGoneSoftwareVersionEnds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1", "v2")
		env.d.do["d1"], env.d.do["d2"] = []reply{brokenAfter(3)}, []reply{wholeFrom(4)}
		env.view.Upstreams["s"][1].Leaving = false
		env.d.onDo = func() { env.view.Upstreams["s"][1].Leaving = true }
		j := job(resumable)
		var got streamRecorder
		_, err := env.Stream(t.Context(), j, &got)
		var broken *InterruptedError
		assert.Assert(t, errors.As(err, &broken), "%v", err)
		assert.Equal(t, got.body.String(), events(1, 3))
		assert.DeepEqual(t, decodeSends(env), []ident.UpstreamID{"d1"})
	})
}

// TestStreamThatBeganNothingMayBeginAnywhere guards against a stream that is bound to a software version
// before its first event.
func TestStreamThatBeganNothingMayBeginAnywhere(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1", "v2")
		env.d.do["d1"], env.d.do["d2"] = []reply{brokenAfter(0)}, []reply{wholeFrom(1)}
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(resumable), &got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
	})
}

// TestMovedStreamStaysAtItsSoftwareVersion guards against a stream that is moved to an engine of another
// software version.
func TestMovedStreamStaysAtItsSoftwareVersion(t *testing.T) {
	env := startVersionedStreamAtD1(t, singleRun, "v1", "v2")
	env.migrate(t)
	assert.Equal(t, env.d.countKind("copy"), 0)
	assert.NilError(t, env.body.w.Close())
	<-env.ended
	assert.NilError(t, env.err)
	assert.Equal(t, env.got.body.String(), events(1, 2))
}
