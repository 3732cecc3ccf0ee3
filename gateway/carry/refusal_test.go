package carry

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/bubble"
)

// TestRefusalsAreCountedByCause guards against refusals for lack of room whose counters do not tell
// whether the forecast refused a request, or a request waited until it was too late, and against
// promised returns that are not counted.
func TestRefusalsAreCountedByCause(t *testing.T) {
	for cause, prepare := range map[string]func(j *Job){
		// No engine can ever hold the prompt, so that the first decision refuses.
		"expected": func(j *Job) { j.Call.PromptTokens, j.Route.Objective = 1_000_000, time.Second },
		// Engines seem to have room and reject each reservation.
		"late": func(j *Job) { j.Route.Objective = 300 * time.Millisecond },
		"resumed": func(j *Job) {
			j.Call.LastEvent, j.Call.ReceivedEvents, j.Deadline = "3", 3, j.Arrived.Add(time.Second)
		},
	} {
		t.Run(cause, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newStreamEnv(t)
				env.d.reserve["d1"], env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}}, []error{&dialect.NoCapacityError{}}
				var mu sync.Mutex
				counts := map[string]int{}
				env.o.Count = func(name string) {
					mu.Lock()
					defer mu.Unlock()
					counts[name]++
				}
				j := job(routing.Route{Kind: routing.Stream, MaxAttempts: 2, Resumable: true})
				prepare(j)
				_, err := env.Stream(t.Context(), j, &streamRecorder{})
				assert.Equal(t, outcomeOf(t, err), NotRun)
				mu.Lock()
				defer mu.Unlock()
				assert.Equal(t, counts["stream_no_room"], 1)
				assert.Equal(t, counts["return_promised"], 1)
				for name, n := range counts {
					if strings.HasPrefix(name, "no_room_") {
						assert.Equal(t, name, "no_room_"+cause)
						assert.Equal(t, n, 1)
					}
				}
				assert.Equal(t, counts["no_room_"+cause], 1)
			})
		})
	}
}
