package openai

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/kernel"
)

// TestEndlessErrorIsNoRefusal guards against an error without end that counts as proof that the engine did not run the
// request, or that is read without end.
func TestEndlessErrorIsNoRefusal(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			closed := make(chan struct{})
			e, target := newEngine(t, func(w http.ResponseWriter, r *http.Request) {
				defer close(closed)
				w.WriteHeader(http.StatusServiceUnavailable)
				_, err := io.WriteString(w, `{"error":{"code":"not_started"}}`)
				for piece := strings.Repeat(" ", 4<<10); err == nil && r.Context().Err() == nil; {
					time.Sleep(pause)
					_, err = io.WriteString(w, piece)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			start := time.Now()
			_, err := e.Prefill(ctx, &adapter.PrefillCall{Target: target, Model: &adapter.ModelRequest{}})
			assert.Assert(t, err != nil)
			assert.Equal(t, adapter.AsCallError(err).Evidence, kernel.Ambiguous)
			assert.Assert(t, time.Since(start) < 2*timeout, "%v", time.Since(start))
			<-closed
		})
	}
}
