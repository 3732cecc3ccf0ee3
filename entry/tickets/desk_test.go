package tickets

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/ticket"
)

// fakeForwarder is a Forwarder that forwards to a Dispatcher in the same process.
type fakeForwarder struct {
	known      bool
	dispatcher *Dispatcher
	err        error
}

func (f *fakeForwarder) Known(ident.InstanceID) bool { return f.known }

func (f *fakeForwarder) Forward(ctx context.Context, _ ident.InstanceID, c *Call) (*Reply, error) {
	if f.err != nil {
		return nil, f.err
	}
	r := f.dispatcher.ExecuteHere(ctx, c)
	return &r, nil
}

func newTestDispatcher(t *testing.T, instance ident.InstanceID, f Forwarder) *Dispatcher {
	t.Helper()
	codec, err := ticket.NewCodec(ticket.Key{ID: "k", Secret: bytes.Repeat([]byte("s"), 32)})
	assert.NilError(t, err)
	return New(Options{
		Life:   ticket.Process{Instance: instance, Incarnation: 1, Nonce: 1},
		Limits: ticket.DefaultLimits(), Codec: codec, Forward: f,
		Log: slog.New(slog.DiscardHandler),
	})
}

func issueCall(t *testing.T, d *Dispatcher) *Call {
	t.Helper()
	text, _, problem := d.Issue("default")
	assert.Assert(t, problem == nil)
	return &Call{Ticket: text, Method: "POST", Path: "/services/desk/x", Workspace: "default", Wait: time.Minute}
}

// TestCallGoesOnWhileAnyoneWaits: a call is not cancelled when the presentation
// that started it stops waiting while another one still waits.
func TestCallGoesOnWhileAnyoneWaits(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, "a", nil)
		cancelled := 0
		d.SetRunner(func(ctx context.Context, _ *Call) ticket.Result {
			select {
			case <-time.After(time.Second):
				return ticket.Result{Outcome: api.Complete, Status: 200}
			case <-ctx.Done():
				cancelled++
				return ticket.Result{Outcome: api.Unknown, Status: 499}
			}
		})
		c := issueCall(t, d)
		first, leaveFirst := context.WithCancel(t.Context())
		second, leaveSecond := context.WithCancel(t.Context())
		defer leaveSecond()
		replies := make(chan Reply, 2)
		go func() { replies <- d.Execute(first, c) }()
		synctest.Wait()
		go func() { replies <- d.Execute(second, c) }()
		synctest.Wait()
		leaveFirst()
		assert.Equal(t, (<-replies).Problem.Outcome, api.Unknown)
		assert.Equal(t, (<-replies).Result.Outcome, api.Complete)
		d.Wait()
		assert.Equal(t, cancelled, 0)

		// The call is cancelled when the last presentation stops waiting.
		c = issueCall(t, d)
		third, leaveThird := context.WithCancel(t.Context())
		go func() { replies <- d.Execute(third, c) }()
		synctest.Wait()
		leaveThird()
		<-replies
		d.Wait()
		assert.Equal(t, cancelled, 1)
		assert.Equal(t, d.Execute(t.Context(), c).Result.Outcome, api.Unknown, "a cancelled call must not run again")
	})
}

// TestResultIsKept: a call that was answered with "not-run" must not run on a
// later presentation.
func TestResultIsKept(t *testing.T) {
	d := newTestDispatcher(t, "a", nil)
	runs := 0
	d.SetRunner(func(context.Context, *Call) ticket.Result {
		runs++
		return ticket.Result{Outcome: api.NotRun, Status: 503, Body: []byte("later")}
	})
	c := issueCall(t, d)
	for range 3 {
		r := d.Execute(t.Context(), c)
		assert.Equal(t, string(r.Result.Body), "later")
	}
	assert.Equal(t, runs, 1)
}

func TestForward(t *testing.T) {
	a := newTestDispatcher(t, "a", nil)
	a.SetRunner(func(context.Context, *Call) ticket.Result { return ticket.Result{Outcome: api.Complete, Status: 200} })
	f := &fakeForwarder{known: true, dispatcher: a}
	b := newTestDispatcher(t, "b", f)
	c := issueCall(t, a)
	assert.Equal(t, b.Execute(t.Context(), c).Result.Outcome, api.Complete)

	f.err = errors.ErrUnsupported
	r := b.Execute(t.Context(), c)
	assert.Equal(t, r.Problem.Type, api.ProblemExecutorGone)
	assert.Equal(t, r.Problem.Outcome, api.Unknown)

	f.known = false
	assert.Equal(t, b.Execute(t.Context(), c).Problem.Outcome, api.Unknown)

	// A forwarded call is never forwarded again.
	assert.Equal(t, b.ExecuteHere(t.Context(), c).Problem.Outcome, api.Unknown)
}

// unreachableForwarder is a Forwarder to an executor that never answers, as
// behind a network partition.
type unreachableForwarder struct{}

func (unreachableForwarder) Known(ident.InstanceID) bool { return true }

func (unreachableForwarder) Forward(ctx context.Context, _ ident.InstanceID, _ *Call) (*Reply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestForwardEndsWithTheDeadline: an executor behind a network partition does
// not answer. The caller must be told before its deadline that the outcome is
// unknown.
func TestForwardEndsWithTheDeadline(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := issueCall(t, newTestDispatcher(t, "a", nil))
		c.Wait = 5 * time.Second
		began := time.Now()
		r := newTestDispatcher(t, "b", unreachableForwarder{}).Execute(t.Context(), c)
		assert.Equal(t, r.Problem.Outcome, api.Unknown)
		assert.Equal(t, time.Since(began), c.Wait-15*time.Millisecond)
	})
}

// TestSecondPresentationEndsWithItsDeadline: a second presentation ends by its
// own deadline, while the call that it waits for has a later one and continues.
func TestSecondPresentationEndsWithItsDeadline(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, "a", nil)
		d.SetRunner(func(context.Context, *Call) ticket.Result {
			time.Sleep(30 * time.Second)
			return ticket.Result{Outcome: api.Complete, Status: 200}
		})
		c := issueCall(t, d)
		first := make(chan Reply, 1)
		go func() { first <- d.Execute(t.Context(), c) }()
		synctest.Wait()
		again := *c
		again.Wait = 5 * time.Second
		began := time.Now()
		r := d.Execute(t.Context(), &again)
		assert.Equal(t, r.Problem.Type, api.ProblemDeadline)
		assert.Equal(t, r.Problem.Outcome, api.Unknown)
		assert.Equal(t, time.Since(began), again.Wait-15*time.Millisecond)
		assert.Equal(t, (<-first).Result.Outcome, api.Complete)
	})
}

func TestPauseAndStop(t *testing.T) {
	d := newTestDispatcher(t, "a", nil)
	c := issueCall(t, d)
	d.Paused(time.Hour)
	assert.Equal(t, d.Execute(t.Context(), c).Problem.Type, api.ProblemTicketExpired)
	d.Stop()
	_, _, problem := d.Issue("default")
	assert.Equal(t, problem.Type, api.ProblemStopping)
}
