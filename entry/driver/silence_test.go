package driver

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"

	_ "github.com/wardspool/wardspool/plugins/admission/known"
	_ "github.com/wardspool/wardspool/plugins/filter/leaving"
	_ "github.com/wardspool/wardspool/plugins/filter/role"
	_ "github.com/wardspool/wardspool/plugins/order/deadline"
	_ "github.com/wardspool/wardspool/plugins/slots/none"
)

// answerLength is the length of the answers of silentFleet, in tokens.
const answerLength = 4

// silentFleet is an engine adapter whose engines may fall silent.
type silentFleet struct {
	fakeEngine
	// prefillSilence and decodeSilence are how long the n-th prefill or decode,
	// counted from 0, is silent; further ones are not silent.
	prefillSilence, decodeSilence []time.Duration
	// silentAt is the token before which a decode is silent.
	silentAt int

	started           sync.Mutex
	prefills, decodes int
}

func (f *silentFleet) Prefill(ctx context.Context, _ *adapter.PrefillCall) (adapter.PrefillResult, error) {
	f.started.Lock()
	n := f.prefills
	f.prefills++
	f.started.Unlock()
	return adapter.PrefillResult{}, silentFor(ctx, f.prefillSilence, n)
}

func (f *silentFleet) Decode(ctx context.Context, c *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
	f.started.Lock()
	n := f.decodes
	f.decodes++
	f.started.Unlock()
	for i := c.ContinueFrom; i < answerLength; i++ {
		if i == f.silentAt || n > 0 && i == c.ContinueFrom {
			if err := silentFor(ctx, f.decodeSilence, n); err != nil {
				return adapter.DecodeResult{}, err
			}
		}
		if err := s.Token(token(i)); err != nil {
			return adapter.DecodeResult{}, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return adapter.DecodeResult{Tokens: answerLength, FinishReason: "stop"}, nil
}

// silentFor waits for the n-th of the given times, or not at all if there is none.
func silentFor(ctx context.Context, times []time.Duration, n int) error {
	if n >= len(times) {
		return nil
	}
	select {
	case <-time.After(times[n]):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// kernelContent declares two prefill and two decode engines.
func kernelContent(attempts int) *config.Content {
	c := &config.Content{
		Models:     []config.Model{{Name: "m", MaxContext: 1000, KVBytesPerToken: 1000, PieceTokens: 100}},
		Workspaces: []config.Workspace{{Name: "w", Weight: 1}},
		Policy: config.Policy{
			Slots: "slots.none", Order: "order.deadline", Admission: []plugin.ID{"admission.known"},
			Filters: []plugin.ID{"filter.role", "filter.leaving"}, QueueLimit: 10, MaxAttempts: attempts,
			TransferStall: 300 * time.Millisecond,
		},
	}
	for id, role := range map[ident.UpstreamID]config.Role{
		"pf-1": config.RolePrefill, "pf-2": config.RolePrefill, "dc-1": config.RoleDecode, "dc-2": config.RoleDecode,
	} {
		c.Upstreams = append(c.Upstreams, config.Upstream{
			ID: id, Role: role, Models: []string{"m"}, Slots: 10, Pieces: 100, PrefillTokensPerSecond: 1e5,
			LinkBytesPerSecond: 1e9, DecodeStep: 10 * time.Millisecond,
		})
	}
	return c
}

// answerFrom returns the answer to a model request that a driver with a kernel of
// its own gets from the fleet, the output, and the time that it took. The deadline
// is 20 s.
func answerFrom(t *testing.T, f *silentFleet, c *config.Content, repeatable bool) (Result, string, time.Duration) {
	t.Helper()
	k, err := kernel.New(kernel.Options{Self: kernel.Self{Instance: "e-1", Incarnation: 1, Zone: "z"}, Seed: 7})
	assert.NilError(t, err)
	d := New(Options{Kernel: k, Engine: f, Observer: &fakeObserver{}, Log: discardLogger()})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	defer func() {
		stop()
		<-done
	}()
	view := &kernel.View{Version: 1, Trusted: true}
	for _, u := range c.Upstreams {
		view.Upstreams = append(view.Upstreams, kernel.Upstream{
			ID: u.ID, Zone: "z", Incarnation: 1, Liveness: kernel.Live,
			Load: kernel.Load{At: time.Now(), Slots: u.Slots, PiecesTotal: u.Pieces},
		})
	}
	d.Post(kernel.ViewChanged{View: view})
	d.Post(kernel.Configured{Version: 1, Content: c})
	out := &recordedOutput{}
	begin := time.Now()
	r := d.Submit(t.Context(), &Exchange{
		Request: &kernel.Request{
			ID: "r-1", Workspace: "w", Route: config.RouteModel, Model: "m", PromptTokens: 100, MaxOutputTokens: 10,
			Repeatable: repeatable, Arrived: begin, FirstOutputBy: begin.Add(4 * time.Second), Deadline: begin.Add(20 * time.Second),
		},
		Model:  &adapter.ModelRequest{Endpoint: adapter.Completions, Model: "m"},
		Output: out,
	})
	return r, out.text, time.Since(begin)
}

var silences = []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond}

// TestSilentEngineKeepsItsStreamUntilAnotherEngineAnswers guards against ending a
// stream at an engine that is silent for a while, although no other one can give
// its answer.
func TestSilentEngineKeepsItsStreamUntilAnotherEngineAnswers(t *testing.T) {
	const never = time.Hour
	for name, tt := range map[string]struct {
		silentAt, attempts int
		runsOnce           bool
		// others is the silence of all later decodes.
		others []time.Duration
	}{
		"no further attempt, before the first token":  {attempts: 1},
		"no further attempt, between tokens":          {attempts: 1, silentAt: 2},
		"runs once, before the first token":           {attempts: 4, runsOnce: true},
		"other engine is silent, before the first":    {attempts: 4, others: []time.Duration{never, never, never}},
		"other engine is silent, between tokens":      {attempts: 4, silentAt: 2, others: []time.Duration{never, never, never}},
		"the only further attempt, before the first":  {attempts: 2, others: []time.Duration{never}},
		"the only further attempt, in between tokens": {attempts: 2, silentAt: 2, others: []time.Duration{never}},
	} {
		for _, silence := range silences {
			t.Run(fmt.Sprintf("%s/%v", name, silence), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					f := &silentFleet{silentAt: tt.silentAt, decodeSilence: append([]time.Duration{silence}, tt.others...)}
					r, text, took := answerFrom(t, f, kernelContent(tt.attempts), !tt.runsOnce)
					assert.Equal(t, r.Outcome, api.Complete)
					assert.Equal(t, text, "abcd")
					assert.Assert(t, took < silence+100*time.Millisecond, "took %v", took)
					if tt.runsOnce {
						assert.Equal(t, f.decodes, 1)
					}
				})
			})
		}
	}
}

// TestSilentPrefillEngineKeepsItsPrompt guards against ending a prefill that is
// silent for a while, although there is no other attempt.
func TestSilentPrefillEngineKeepsItsPrompt(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		for attempts, others := range [][]time.Duration{1: nil, 2: {time.Hour}} {
			if attempts == 0 {
				continue
			}
			t.Run(fmt.Sprintf("repeatable %v, attempts %d", repeatable, attempts), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					const silence = 2500 * time.Millisecond
					f := &silentFleet{prefillSilence: append([]time.Duration{silence}, others...), silentAt: answerLength}
					r, text, took := answerFrom(t, f, kernelContent(attempts), repeatable)
					assert.Equal(t, r.Outcome, api.Complete)
					assert.Equal(t, text, "abcd")
					assert.Assert(t, took < silence+100*time.Millisecond, "took %v", took)
					assert.Equal(t, f.decodes, 1)
				})
			})
		}
	}
}

// TestSilentEngineIsLeftAsSoonAsAnotherAnswers checks that an engine that has
// ended without a word costs no more than its time limit and a backoff.
func TestSilentEngineIsLeftAsSoonAsAnotherAnswers(t *testing.T) {
	forever := []time.Duration{time.Hour}
	for name, tt := range map[string]struct {
		fleet *silentFleet
		limit time.Duration
	}{
		"prefill":                {&silentFleet{prefillSilence: forever, silentAt: answerLength}, minPrefillTimeout},
		"before the first token": {&silentFleet{decodeSilence: forever}, 300 * time.Millisecond},
		"between tokens":         {&silentFleet{decodeSilence: forever, silentAt: 2}, 320 * time.Millisecond},
		"two engines":            {&silentFleet{decodeSilence: []time.Duration{time.Hour, time.Hour}, silentAt: 2}, 620 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				r, text, took := answerFrom(t, tt.fleet, kernelContent(4), true)
				assert.Equal(t, r.Outcome, api.Complete)
				assert.Equal(t, text, "abcd")
				assert.Assert(t, took < tt.limit+300*time.Millisecond, "took %v", took)
				assert.Assert(t, len(tt.fleet.cancels) > 0, "the silent attempt must be cancelled")
			})
		})
	}
}

// TestCallerIsAnsweredBeforeItsDeadline guards against answering a caller at its
// deadline, when it no longer waits.
func TestCallerIsAnsweredBeforeItsDeadline(t *testing.T) {
	for name, f := range map[string]*silentFleet{
		"before the first token": {decodeSilence: []time.Duration{time.Hour}},
		"between tokens":         {decodeSilence: []time.Duration{time.Hour}, silentAt: 2},
		"prefill":                {prefillSilence: []time.Duration{time.Hour}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				r, _, took := answerFrom(t, f, kernelContent(1), true)
				assert.Equal(t, r.Problem.Type, api.ProblemDeadline)
				assert.Equal(t, r.Outcome, api.Unknown)
				assert.Equal(t, took, 20*time.Second-30*time.Millisecond)
			})
		})
	}
}
