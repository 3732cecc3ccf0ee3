package carry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// panickingDialect panics at each reservation.
type panickingDialect struct{ *fakeDialect }

// Reserve implements dialect.Dialect.
func (panickingDialect) Reserve(context.Context, dialect.Upstream, int, time.Duration) (string, error) {
	panic("reservation")
}

// TestPanicLeavesTheQueue guards against a request that stays at the head of the queue after its handler
// panicked, so that no later one is served.
func TestPanicLeavesTheQueue(t *testing.T) {
	env := newStreamEnv(t)
	defer env.Close()
	env.o.Dialect = panickingDialect{env.d}
	j := job(singleRun)
	func() {
		defer func() { assert.Check(t, recover() != nil, "no panic") }()
		var got streamRecorder
		_, err := env.Stream(t.Context(), j, &got)
		t.Errorf("stream ended without a panic: %v", err)
	}()
	assert.Equal(t, env.o.Admission.Waiting(j.Service.Name), 0)
}
