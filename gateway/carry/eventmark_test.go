package carry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// TestByteOrderMarkHidesNoEvent guards against a stream that is broken off, or whose first event comes twice, because a
// byte order mark precedes the ID of the first event.
func TestByteOrderMarkHidesNoEvent(t *testing.T) {
	const mark = "\ufeff"
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: mark + events(1, 5)})
	var got streamRecorder
	_, err := env.Stream(t.Context(), job(singleRun), &got)
	assert.Check(t, err)
	all, _ := parseEvents(got.body.String())
	assert.Check(t, len(all) == 5, "%q", got.body.String())

	for _, whole := range []int{1, 2} {
		env = newStreamEnv(t)
		env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: mark + events(1, whole), breaks: true})
		env.o.Count = func(name string) {
			if name == "stream_restarted" {
				env.d.mu.Lock()
				defer env.d.mu.Unlock()
				env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: mark + events(whole+1, 5)})
			}
		}
		got = streamRecorder{}
		_, err = env.Stream(t.Context(), job(resumable), &got)
		assert.Check(t, err)
		assert.Equal(t, got.body.String(), mark+events(1, 5))
	}
}
