package front

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPanicOfAHandlerIsReported guards against requests that end without an answer and without a line
// in the log at the default level.
func TestPanicOfAHandlerIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		panics   any
		reported bool
	}{"fault": {"index out of range", true}, "aborted answer": {http.ErrAbortHandler, false}, "no panic": {nil, false}} {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			var counted []string
			f := New(Options{Log: slog.New(slog.NewJSONHandler(&logged, nil)), Count: func(name string) { counted = append(counted, name) }})
			func() {
				defer func() { assert.Equal(t, recover(), c.panics) }()
				defer f.reportPanic(httptest.NewRequest(http.MethodGet, "/p", nil))
				if c.panics != nil {
					panic(c.panics)
				}
			}()
			assert.Equal(t, strings.Contains(logged.String(), "handler panicked"), c.reported, logged.String())
			assert.Equal(t, len(counted) == 1, c.reported, "%v", counted)
		})
	}
}
