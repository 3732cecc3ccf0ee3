package driver

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

func TestWholeAnswer(t *testing.T) {
	withDriver(t, decideDecode, func(t *testing.T, r *testDriver) {
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
			return adapter.DecodeResult{Tokens: 3, FinishReason: "stop"}, sendTokens(s, 0, 1, 2)
		}
		res := r.submit(t.Context())
		assert.Equal(t, res.Outcome, api.Complete)
		assert.Equal(t, res.BundleVersion, uint64(7))
		assert.Equal(t, r.out.text, "abc")
		assert.Equal(t, len(eventsOf[kernel.FirstOutput](r.kernel)), 1)
	})
}

func TestRepeatedTokensAreDropped(t *testing.T) {
	withDriver(t, decideDecode, func(t *testing.T, r *testDriver) {
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
			return adapter.DecodeResult{Tokens: 3}, sendTokens(s, 0, 0, 1, 0, 1, 2)
		}
		assert.Equal(t, r.submit(t.Context()).Outcome, api.Complete)
		assert.Equal(t, r.out.text, "abc")
		assert.Equal(t, r.observer.late, 3)
	})
}

func TestMissingTokenBreaksAttempt(t *testing.T) {
	for name, offsets := range map[string][]int{"gap": {0, 1, 3}, "short": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			withDriver(t, decideDecode, func(t *testing.T, r *testDriver) {
				r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
					return adapter.DecodeResult{Tokens: 4}, sendTokens(s, offsets...)
				}
				assert.Equal(t, r.submit(t.Context()).Outcome, api.Unknown)
				failed := eventsOf[kernel.AttemptFailed](r.kernel)
				assert.Equal(t, len(failed), 1)
				assert.Equal(t, failed[0].Offset, 2)
				assert.Equal(t, failed[0].Code, kernel.FailureBroken)
				assert.Equal(t, failed[0].Evidence, kernel.Ambiguous)
				assert.Equal(t, r.out.text, "ab")
			})
		})
	}
}

// TestLateAttemptWritesNothing lets a first attempt send tokens after the
// kernel has replaced it: they must be dropped.
func TestLateAttemptWritesNothing(t *testing.T) {
	decide := func(ev kernel.Event) []kernel.Action {
		switch e := ev.(type) {
		case kernel.Arrive:
			return []kernel.Action{kernel.StartDecode{Attempt: attemptID(1), Request: "r-1", Upstream: "dc-1"}}
		case kernel.LoadReported:
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
	withDriver(t, decide, func(t *testing.T, r *testDriver) {
		r.engine.decode = func(_ context.Context, c *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
			if c.Attempt == attemptID(2) {
				return adapter.DecodeResult{Tokens: 3}, sendTokens(s, 1, 2)
			}
			err := sendTokens(s, 0)
			assert.NilError(t, err)
			// The engine notices the cancel only after a delay.
			time.Sleep(time.Second)
			return adapter.DecodeResult{Tokens: 4}, sendTokens(s, 1, 2, 3)
		}
		go func() {
			time.Sleep(500 * time.Millisecond)
			r.driver.Post(kernel.LoadReported{})
		}()
		assert.Equal(t, r.submit(t.Context()).Outcome, api.Complete)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, r.out.text, "abc")
		assert.Equal(t, r.observer.late, 1)
		assert.Equal(t, len(eventsOf[kernel.AttemptFailed](r.kernel)), 0)
	})
}

// TestStall checks that a silent decode is reported to the kernel after its time
// limit, and again after a further one, and goes on until the kernel ends it.
func TestStall(t *testing.T) {
	for name, tokens := range map[string]int{"first": 0, "next": 2} {
		t.Run(name, func(t *testing.T) {
			stalls := 0
			decide := func(ev kernel.Event) []kernel.Action {
				if _, ok := ev.(kernel.AttemptStalled); !ok {
					return decideDecode(ev)
				}
				stalls++
				if stalls < 2 {
					return nil
				}
				return decideDecode(kernel.AttemptFailed{})
			}
			withDriver(t, decide, func(t *testing.T, r *testDriver) {
				r.engine.decode = func(ctx context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
					for i := range tokens {
						assert.NilError(t, s.Token(token(i)))
						time.Sleep(time.Second)
					}
					<-ctx.Done()
					return adapter.DecodeResult{}, ctx.Err()
				}
				begin := time.Now()
				assert.Equal(t, r.submit(t.Context()).Outcome, api.Unknown)
				stalled := eventsOf[kernel.AttemptStalled](r.kernel)
				assert.Equal(t, len(stalled), 2)
				assert.Equal(t, stalled[0].Offset, tokens)
				assert.Equal(t, stalled[0].Origin.IsZero(), tokens == 0)
				last := time.Duration(max(tokens-1, 0)) * time.Second
				assert.Equal(t, time.Since(begin), last+2*defaultStall)
				assert.Equal(t, len(eventsOf[kernel.AttemptFailed](r.kernel)), 0)
			})
		})
	}
}

// TestTwoWriters checks that the caller never gets tokens of a silent attempt and
// of the one that is to replace it: the one that writes first goes on.
func TestTwoWriters(t *testing.T) {
	out := &recordedOutput{}
	write := func(d *delivery, n uint64, offset int) (tokenStatus, error) {
		return d.writeToken(attemptID(n), token(offset))
	}
	begin := func() *delivery {
		out.text = ""
		d := &delivery{out: out}
		d.setCurrent(attemptID(1))
		_, err := write(d, 1, 0)
		assert.NilError(t, err)
		d.setCandidate(attemptID(2), 1, attemptID(1))
		return d
	}
	superseded := &SupersededError{}

	d := begin()
	v, err := write(d, 2, 1)
	assert.NilError(t, err)
	assert.Equal(t, v, tokenSent)
	_, err = write(d, 1, 1)
	assert.Assert(t, errors.As(err, &superseded), "the silent attempt must not write after its replacement")
	_, err = write(d, 2, 2)
	assert.NilError(t, err)
	assert.Equal(t, out.text, "abc")

	d = begin()
	_, err = write(d, 1, 1)
	assert.NilError(t, err)
	for offset := 1; offset < 4; offset++ {
		v, err = write(d, 2, offset)
		assert.NilError(t, err)
		assert.Equal(t, v, tokenDropped, "the replacement must not write after the attempt has gone on")
	}
	_, err = write(d, 1, 2)
	assert.NilError(t, err)
	assert.Equal(t, out.text, "abc")

	// A replacement that is replaced itself may have written a token before it
	// was ended.
	d = begin()
	_, err = write(d, 2, 1)
	assert.NilError(t, err)
	d.setCandidate(attemptID(3), 1, attemptID(1))
	for offset := 1; offset < 4; offset++ {
		_, err = write(d, 3, offset)
		assert.NilError(t, err)
	}
	assert.Equal(t, out.text, "abcd")
}

func TestMissingEndMarkIsNoLoss(t *testing.T) {
	withDriver(t, decideDecode, func(t *testing.T, r *testDriver) {
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
			assert.NilError(t, s.Token(token(0)))
			last := token(1)
			last.FinishReason = "stop"
			assert.NilError(t, s.Token(last))
			return adapter.DecodeResult{}, errors.ErrUnsupported
		}
		res := r.submit(t.Context())
		assert.Equal(t, res.Outcome, api.Complete)
		assert.Equal(t, res.Decoded.FinishReason, "stop")
	})
}

func TestCallerGone(t *testing.T) {
	withDriver(t, decideDecode, func(t *testing.T, r *testDriver) {
		ctx, leave := context.WithCancel(t.Context())
		r.engine.decode = func(ctx context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
			assert.NilError(t, s.Token(token(0)))
			leave()
			<-ctx.Done()
			return adapter.DecodeResult{}, ctx.Err()
		}
		r.submit(ctx)
		synctest.Wait()
		assert.Equal(t, len(eventsOf[kernel.CallerGone](r.kernel)), 1)
		assert.DeepEqual(t, r.engine.cancels, []ident.AttemptID{attemptID(1)})
		assert.Equal(t, len(eventsOf[kernel.CancelAcked](r.kernel)), 1)
	})
}

func TestUnreachableCallerIsGone(t *testing.T) {
	withDriver(t, decideDecode, func(t *testing.T, r *testDriver) {
		r.out.err = errors.ErrUnsupported
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
			return adapter.DecodeResult{}, sendTokens(s, 0)
		}
		r.submit(t.Context())
		assert.Equal(t, len(eventsOf[kernel.CallerGone](r.kernel)), 1)
		assert.Equal(t, len(eventsOf[kernel.AttemptFailed](r.kernel)), 0, "a failed write to the caller is no failure of the upstream")
	})
}

func TestCancelOfUnsentAttempt(t *testing.T) {
	withDriver(t, decideDecode, func(t *testing.T, r *testDriver) {
		ctx, leave := context.WithCancel(t.Context())
		r.engine.decode = func(ctx context.Context, _ *adapter.DecodeCall, _ adapter.Sink) (adapter.DecodeResult, error) {
			leave()
			<-ctx.Done()
			return adapter.DecodeResult{}, &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureConnect, Err: ctx.Err()}
		}
		r.submit(ctx)
		synctest.Wait()
		assert.Equal(t, len(r.engine.cancels), 0, "an attempt that was not sent needs no cancel at the upstream")
		assert.Equal(t, len(eventsOf[kernel.CancelAcked](r.kernel)), 1)
	})
}

func TestDuplicateRequestID(t *testing.T) {
	withDriver(t, decideDecode, func(t *testing.T, r *testDriver) {
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
			time.Sleep(time.Second)
			return adapter.DecodeResult{Tokens: 1}, sendTokens(s, 0)
		}
		first := make(chan Result)
		go func() { first <- r.submit(t.Context()) }()
		synctest.Wait()
		second := r.submit(t.Context())
		assert.Equal(t, second.Outcome, api.NotRun)
		assert.Equal(t, r.observer.records[0].Reason, ReasonDuplicateID)
		assert.Equal(t, (<-first).Outcome, api.Complete)
		assert.Equal(t, len(eventsOf[kernel.Arrive](r.kernel)), 1)
	})
}

func TestStopAnswersWhatIsLeft(t *testing.T) {
	withDriver(t, decideDecode, func(t *testing.T, r *testDriver) {
		r.engine.decode = func(ctx context.Context, _ *adapter.DecodeCall, _ adapter.Sink) (adapter.DecodeResult, error) {
			<-ctx.Done()
			return adapter.DecodeResult{}, ctx.Err()
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

// TestSlowCallerHoldsUpNoOther blocks the write to one caller: the driver's
// goroutine must not wait for it.
func TestSlowCallerHoldsUpNoOther(t *testing.T) {
	withDriver(t, decideDecode, func(t *testing.T, r *testDriver) {
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
			return adapter.DecodeResult{Tokens: 2}, sendTokens(s, 0, 1)
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
		assert.Equal(t, len(r.observer.ended), 1, "the kernel's answer must be executed while the write is blocked")
		close(taken)
		<-ended
	})
}

// outputFunc adapts a function to Output.
type outputFunc func(c adapter.Chunk) error

func (f outputFunc) Token(c adapter.Chunk) error { return f(c) }

// decideReattach is the decision function of a kernel that reattaches to the
// stream after a wait when the connection of the decode breaks.
func decideReattach(ev kernel.Event) []kernel.Action {
	if _, ok := ev.(kernel.AttemptFailed); ok {
		return []kernel.Action{kernel.ReattachDecode{
			Attempt: attemptID(1), Request: "r-1", Upstream: "dc-1", Offset: 1, Wait: time.Second,
		}}
	}
	return decideDecode(ev)
}

func TestReattachWaits(t *testing.T) {
	withDriver(t, decideReattach, func(t *testing.T, r *testDriver) {
		begin := time.Now()
		r.engine.decode = func(_ context.Context, c *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
			if c.ContinueFrom == 0 {
				assert.NilError(t, s.Token(token(0)))
				return adapter.DecodeResult{}, errors.ErrUnsupported
			}
			assert.Equal(t, time.Since(begin), time.Second)
			return adapter.DecodeResult{Tokens: 2}, sendTokens(s, 1)
		}
		assert.Equal(t, r.submit(t.Context()).Outcome, api.Complete)
		assert.Equal(t, r.out.text, "ab")
	})
}

// TestCancelWhileReattachWaits: the decode still runs at its engine while the
// reattach call waits here, so a cancel must be sent to the engine.
func TestCancelWhileReattachWaits(t *testing.T) {
	withDriver(t, decideReattach, func(t *testing.T, r *testDriver) {
		ctx, leave := context.WithCancel(t.Context())
		r.engine.decode = func(_ context.Context, _ *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
			assert.NilError(t, s.Token(token(0)))
			time.AfterFunc(500*time.Millisecond, leave)
			return adapter.DecodeResult{}, errors.ErrUnsupported
		}
		r.submit(ctx)
		synctest.Wait()
		assert.DeepEqual(t, r.engine.cancels, []ident.AttemptID{attemptID(1)})
	})
}

// TestReattachIsNeverUnsent: a reattached attempt was sent earlier, so its
// cancel must reach the engine even if the reattach call was never sent.
func TestReattachIsNeverUnsent(t *testing.T) {
	d := New(Options{})
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(&CancelledError{})
	for _, reattached := range []bool{false, true} {
		a := &attempt{ctx: ctx, reattached: reattached}
		_, err := d.makeCall(a, nil)
		assert.ErrorContains(t, err, "canceled")
		assert.Equal(t, a.unsent, !reattached)
	}
}
