package driver

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// script is a Decider whose decisions a test writes.
type script struct {
	mu sync.Mutex
	// events lists all events but ticks.
	events []kernel.Event
	decide func(ev kernel.Event) []kernel.Action
	open   int
}

func (s *script) Step(_ time.Time, ev kernel.Event) []kernel.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, ev)
	actions := s.decide(ev)
	if _, ok := ev.(kernel.Arrive); ok {
		s.open++
	}
	for _, a := range actions {
		if _, ok := a.(kernel.Answer); ok {
			s.open--
		}
	}
	return actions
}

func (s *script) NextWake() (time.Time, bool) { return time.Time{}, false }
func (s *script) InFlight() int               { return s.open }
func (s *script) Unreleased() int             { return 0 }
func (s *script) Version() uint64             { return 7 }

// seen returns the events of a type.
func seen[E kernel.Event](s *script) []E {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []E
	for _, ev := range s.events {
		if e, ok := ev.(E); ok {
			out = append(out, e)
		}
	}
	return out
}

// fakeEngine is an engine whose decodes a test writes.
type fakeEngine struct {
	// prefill is optional.
	prefill func(ctx context.Context) (adapter.Prefilled, error)
	decode  func(ctx context.Context, c *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error)

	mu      sync.Mutex
	cancels []ident.AttemptID
}

func (*fakeEngine) PluginInfo() plugin.Info { return plugin.Info{} }

func (e *fakeEngine) Prefill(ctx context.Context, _ *adapter.PrefillCall) (adapter.Prefilled, error) {
	if e.prefill != nil {
		return e.prefill(ctx)
	}
	return adapter.Prefilled{}, nil
}

func (e *fakeEngine) Decode(ctx context.Context, c *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
	return e.decode(ctx, c, s)
}

func (e *fakeEngine) Reattach(ctx context.Context, c *adapter.ReattachCall, s adapter.Sink) (adapter.Decoded, error) {
	return e.decode(ctx, &adapter.DecodeCall{Target: c.Target, ContinueFrom: c.Offset}, s)
}

func (e *fakeEngine) Cancel(_ context.Context, t *adapter.Target) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels = append(e.cancels, t.Attempt)
	return nil
}

// fakeObserver counts.
type fakeObserver struct {
	mu      sync.Mutex
	late    int
	ended   []Summary
	records []kernel.Record
}

func (o *fakeObserver) Decided(r kernel.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records = append(o.records, r)
}

func (o *fakeObserver) Ended(s Summary) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, s)
}

func (o *fakeObserver) Late() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.late++
}

func (*fakeObserver) Contact(ident.UpstreamID, *adapter.CallError)   {}
func (*fakeObserver) Observed(ident.UpstreamID, adapter.Observation) {}
func (*fakeObserver) Undelivered(ident.InstanceID, error)            {}

// collect is an Output that keeps tokens.
type collect struct {
	mu   sync.Mutex
	text string
	err  error
}

func (c *collect) Token(t adapter.Chunk) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text += t.Text
	return c.err
}

// rig is a driver with all that is around it.
type rig struct {
	driver   *Driver
	kernel   *script
	engine   *fakeEngine
	observer *fakeObserver
	out      *collect
	stop     context.CancelFunc
}

// attemptID numbers attempts.
func attemptID(n uint64) ident.AttemptID {
	return ident.AttemptID{Instance: "e-1", Incarnation: 1, Sequence: n}
}

// inRig runs a test in a bubble with fake time. decide is the kernel.
func inRig(t *testing.T, decide func(ev kernel.Event) []kernel.Action, test func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{
			kernel:   &script{decide: decide},
			engine:   &fakeEngine{},
			observer: &fakeObserver{},
			out:      &collect{},
		}
		r.driver = New(Options{
			Kernel: r.kernel, Engine: r.engine, Observer: r.observer,
			Log: slog.New(slog.DiscardHandler),
		})
		ctx, stop := context.WithCancel(t.Context())
		r.stop = stop
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.driver.Run(ctx)
		}()
		r.driver.Post(kernel.ViewChanged{View: &kernel.View{Upstreams: []kernel.Upstream{{ID: "dc-1"}, {ID: "dc-2"}}}})
		test(t, r)
		stop()
		<-done
	})
}

// submit submits a request and returns its result.
func (r *rig) submit(ctx context.Context) Result {
	return r.driver.Submit(ctx, &Exchange{
		Request: &kernel.Request{ID: "r-1", Route: config.RouteModel, PromptTokens: 10, Deadline: time.Now().Add(time.Minute)},
		Model:   &adapter.ModelRequest{Endpoint: adapter.Completions},
		Output:  r.out,
	})
}

// decodeOnce is a kernel that starts one decode and answers as it ends.
func decodeOnce(ev kernel.Event) []kernel.Action {
	switch ev.(type) {
	case kernel.Arrive:
		return []kernel.Action{kernel.StartDecode{Attempt: attemptID(1), Request: "r-1", Upstream: "dc-1"}}
	case kernel.AttemptDone:
		return []kernel.Action{kernel.Answer{Request: "r-1", Outcome: api.Complete}}
	case kernel.AttemptFailed, kernel.CallerGone:
		return []kernel.Action{
			kernel.CancelAttempt{Attempt: attemptID(1), Upstream: "dc-1"},
			kernel.Answer{Request: "r-1", Outcome: api.Unknown, Problem: api.NewProblem(api.ProblemUpstreamFailed, api.Unknown, "")},
		}
	default:
		return nil
	}
}

// token is the token at an offset of the answer "abc...".
func token(offset int) adapter.Chunk {
	return adapter.Chunk{Offset: offset, Text: string(rune('a' + offset))}
}

// play sends the tokens at the given offsets.
func play(s adapter.Sink, offsets ...int) error {
	for _, o := range offsets {
		if err := s.Token(token(o)); err != nil {
			return err
		}
	}
	return nil
}

func TestWholeAnswer(t *testing.T) {
	inRig(t, decodeOnce, func(t *testing.T, r *rig) {
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
			return adapter.Decoded{Tokens: 3, FinishReason: "stop"}, play(s, 0, 1, 2)
		}
		res := r.submit(t.Context())
		assert.Equal(t, res.Outcome, api.Complete)
		assert.Equal(t, res.BundleVersion, uint64(7))
		assert.Equal(t, r.out.text, "abc")
		assert.Equal(t, len(seen[kernel.FirstOutput](r.kernel)), 1)
	})
}

func TestRepeatedTokensAreDropped(t *testing.T) {
	inRig(t, decodeOnce, func(t *testing.T, r *rig) {
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
			return adapter.Decoded{Tokens: 3}, play(s, 0, 0, 1, 0, 1, 2)
		}
		assert.Equal(t, r.submit(t.Context()).Outcome, api.Complete)
		assert.Equal(t, r.out.text, "abc")
		assert.Equal(t, r.observer.late, 3)
	})
}

func TestMissingTokenBreaksAttempt(t *testing.T) {
	for name, offsets := range map[string][]int{"gap": {0, 1, 3}, "short": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			inRig(t, decodeOnce, func(t *testing.T, r *rig) {
				r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
					return adapter.Decoded{Tokens: 4}, play(s, offsets...)
				}
				assert.Equal(t, r.submit(t.Context()).Outcome, api.Unknown)
				failed := seen[kernel.AttemptFailed](r.kernel)
				assert.Equal(t, len(failed), 1)
				assert.Equal(t, failed[0].Offset, 2)
				assert.Equal(t, failed[0].Code, kernel.FailureBroken)
				assert.Equal(t, failed[0].Evidence, kernel.Ambiguous)
				assert.Equal(t, r.out.text, "ab")
			})
		})
	}
}

// TestLateAttemptWritesNothing has a first attempt go on after the kernel has
// replaced it.
func TestLateAttemptWritesNothing(t *testing.T) {
	decide := func(ev kernel.Event) []kernel.Action {
		switch e := ev.(type) {
		case kernel.Arrive:
			return []kernel.Action{kernel.StartDecode{Attempt: attemptID(1), Request: "r-1", Upstream: "dc-1"}}
		case kernel.LoadSeen:
			return []kernel.Action{
				kernel.CancelAttempt{Attempt: attemptID(1), Upstream: "dc-1"},
				kernel.StartDecode{Attempt: attemptID(2), Request: "r-1", Upstream: "dc-2", ContinueFrom: 1},
			}
		case kernel.AttemptDone:
			if e.Attempt == attemptID(2) {
				return []kernel.Action{kernel.Answer{Request: "r-1", Outcome: api.Complete}}
			}
		}
		return nil
	}
	inRig(t, decide, func(t *testing.T, r *rig) {
		r.engine.decode = func(_ context.Context, c *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
			if c.Attempt == attemptID(2) {
				return adapter.Decoded{Tokens: 3}, play(s, 1, 2)
			}
			err := play(s, 0)
			assert.NilError(t, err)
			// This engine does not notice the cancel for a while.
			time.Sleep(time.Second)
			return adapter.Decoded{Tokens: 4}, play(s, 1, 2, 3)
		}
		go func() {
			time.Sleep(500 * time.Millisecond)
			r.driver.Post(kernel.LoadSeen{})
		}()
		assert.Equal(t, r.submit(t.Context()).Outcome, api.Complete)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, r.out.text, "abc")
		assert.Equal(t, r.observer.late, 1)
		assert.Equal(t, len(seen[kernel.AttemptFailed](r.kernel)), 0)
	})
}

func TestStall(t *testing.T) {
	for name, tokens := range map[string]int{"first": 0, "next": 2} {
		t.Run(name, func(t *testing.T) {
			inRig(t, decodeOnce, func(t *testing.T, r *rig) {
				r.engine.decode = func(ctx context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
					for i := range tokens {
						assert.NilError(t, s.Token(token(i)))
						time.Sleep(time.Second)
					}
					<-ctx.Done()
					return adapter.Decoded{}, ctx.Err()
				}
				begin := time.Now()
				assert.Equal(t, r.submit(t.Context()).Outcome, api.Unknown)
				failed := seen[kernel.AttemptFailed](r.kernel)
				assert.Equal(t, failed[0].Code, kernel.FailureStalled)
				assert.Equal(t, failed[0].Offset, tokens)
				last := time.Duration(max(tokens-1, 0)) * time.Second
				assert.Equal(t, time.Since(begin), last+defaultStall)
			})
		})
	}
}

func TestMissingEndMarkIsNoLoss(t *testing.T) {
	inRig(t, decodeOnce, func(t *testing.T, r *rig) {
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
			assert.NilError(t, s.Token(token(0)))
			last := token(1)
			last.FinishReason = "stop"
			assert.NilError(t, s.Token(last))
			return adapter.Decoded{}, errors.ErrUnsupported
		}
		res := r.submit(t.Context())
		assert.Equal(t, res.Outcome, api.Complete)
		assert.Equal(t, res.Decoded.FinishReason, "stop")
	})
}

func TestCallerGone(t *testing.T) {
	inRig(t, decodeOnce, func(t *testing.T, r *rig) {
		ctx, leave := context.WithCancel(t.Context())
		r.engine.decode = func(ctx context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
			assert.NilError(t, s.Token(token(0)))
			leave()
			<-ctx.Done()
			return adapter.Decoded{}, ctx.Err()
		}
		r.submit(ctx)
		synctest.Wait()
		assert.Equal(t, len(seen[kernel.CallerGone](r.kernel)), 1)
		assert.DeepEqual(t, r.engine.cancels, []ident.AttemptID{attemptID(1)})
		assert.Equal(t, len(seen[kernel.CancelAcked](r.kernel)), 1)
	})
}

func TestUnreachableCallerIsGone(t *testing.T) {
	inRig(t, decodeOnce, func(t *testing.T, r *rig) {
		r.out.err = errors.ErrUnsupported
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
			return adapter.Decoded{}, play(s, 0)
		}
		r.submit(t.Context())
		assert.Equal(t, len(seen[kernel.CallerGone](r.kernel)), 1)
		assert.Equal(t, len(seen[kernel.AttemptFailed](r.kernel)), 0, "the upstream is not at fault")
	})
}

func TestCancelOfUnsentAttempt(t *testing.T) {
	inRig(t, decodeOnce, func(t *testing.T, r *rig) {
		ctx, leave := context.WithCancel(t.Context())
		r.engine.decode = func(ctx context.Context, _ *adapter.DecodeCall, _ adapter.Sink) (adapter.Decoded, error) {
			leave()
			<-ctx.Done()
			return adapter.Decoded{}, &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureConnect, Err: ctx.Err()}
		}
		r.submit(ctx)
		synctest.Wait()
		assert.Equal(t, len(r.engine.cancels), 0, "the upstream knows nothing of it")
		assert.Equal(t, len(seen[kernel.CancelAcked](r.kernel)), 1)
	})
}

func TestDuplicateRequestID(t *testing.T) {
	inRig(t, decodeOnce, func(t *testing.T, r *rig) {
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
			time.Sleep(time.Second)
			return adapter.Decoded{Tokens: 1}, play(s, 0)
		}
		first := make(chan Result)
		go func() { first <- r.submit(t.Context()) }()
		synctest.Wait()
		second := r.submit(t.Context())
		assert.Equal(t, second.Outcome, api.NotRun)
		assert.Equal(t, r.observer.records[0].Reason, ReasonDuplicateID)
		assert.Equal(t, (<-first).Outcome, api.Complete)
		assert.Equal(t, len(seen[kernel.Arrive](r.kernel)), 1)
	})
}

func TestStopAnswersWhatIsLeft(t *testing.T) {
	inRig(t, decodeOnce, func(t *testing.T, r *rig) {
		r.engine.decode = func(ctx context.Context, _ *adapter.DecodeCall, _ adapter.Sink) (adapter.Decoded, error) {
			<-ctx.Done()
			return adapter.Decoded{}, ctx.Err()
		}
		got := make(chan Result)
		go func() { got <- r.submit(t.Context()) }()
		synctest.Wait()
		r.stop()
		assert.Equal(t, (<-got).Outcome, api.Unknown)
		assert.Equal(t, r.submit(t.Context()).Outcome, api.NotRun)
		assert.Assert(t, !r.driver.Post(kernel.Stop{}))
	})
}

// TestSlowCallerHoldsUpNoOther has a caller that takes no byte: the driver's
// goroutine must go on all the same.
func TestSlowCallerHoldsUpNoOther(t *testing.T) {
	inRig(t, decodeOnce, func(t *testing.T, r *rig) {
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.Decoded, error) {
			return adapter.Decoded{Tokens: 2}, play(s, 0, 1)
		}
		taken := make(chan struct{})
		slow := outputFunc(func(adapter.Chunk) error {
			<-taken
			return nil
		})
		ended := make(chan Result)
		go func() {
			ended <- r.driver.Submit(t.Context(), &Exchange{
				Request: &kernel.Request{ID: "r-1", Deadline: time.Now().Add(time.Minute)},
				Model:   &adapter.ModelRequest{}, Output: slow,
			})
		}()
		synctest.Wait()
		assert.Assert(t, r.driver.Post(kernel.CallerGone{Request: "r-1"}))
		assert.NilError(t, r.driver.Quiesce(t.Context()))
		assert.Equal(t, len(r.observer.ended), 1, "the kernel's answer was carried out")
		close(taken)
		<-ended
	})
}

// outputFunc is an Output.
type outputFunc func(c adapter.Chunk) error

func (f outputFunc) Token(c adapter.Chunk) error { return f(c) }
