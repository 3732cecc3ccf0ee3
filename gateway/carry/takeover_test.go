package carry

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// TestTakeoverDoesNotHoldUpTheAnswerAtTheDeadline guards against a caller who is told nothing before its
// deadline, because another run is still being started for its stream, which has no event yet.
func TestTakeoverDoesNotHoldUpTheAnswerAtTheDeadline(t *testing.T) {
	hung := reply{hangs: true}
	for name, prepare := range map[string]func(env *testEnv){
		"prefill is not answered": func(env *testEnv) {
			env.d.silent["p1"] = true
			env.d.prefillTime = map[ident.UpstreamID][]time.Duration{"p1": {0, 5 * time.Second}}
		},
		"decode is not answered": func(env *testEnv) { env.d.silent["d2"] = true },
	} {
		for deadline := 800 * time.Millisecond; deadline <= 1500*time.Millisecond; deadline += 50 * time.Millisecond {
			t.Run(fmt.Sprint(name, ", ", deadline), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
					env.d.silent = map[ident.UpstreamID]bool{"d1": true}
					env.d.do["d1"], env.d.do["d2"] = []reply{hung}, []reply{hung}
					env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
					prepare(env)
					r := resumable
					r.PaceObjective = 300 * time.Millisecond
					j := job(r)
					j.Deadline = j.Arrived.Add(deadline)
					_, err := env.Stream(t.Context(), j, &streamRecorder{})
					var failed *Error
					assert.Assert(t, errors.As(err, &failed), "%v", err)
					assert.Assert(t, failed.Outcome != NotRun)
					assert.Assert(t, time.Now().Before(j.Deadline), "answered %v after the deadline", time.Since(j.Deadline))
				})
			})
		}
	}
}
