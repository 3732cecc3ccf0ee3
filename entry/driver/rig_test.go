package driver

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// scriptedKernel is a Decider whose decisions are scripted by a test.
type scriptedKernel struct {
	mu sync.Mutex
	// events lists all events received.
	events []kernel.Event
	decide func(ev kernel.Event) []kernel.Action
	open   int
}

func (s *scriptedKernel) Step(_ time.Time, ev kernel.Event) []kernel.Action {
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

func (s *scriptedKernel) NextWake() (time.Time, bool) { return time.Time{}, false }
func (s *scriptedKernel) InFlight() int               { return s.open }
func (s *scriptedKernel) PendingCancels() int         { return 0 }
func (s *scriptedKernel) Version() uint64             { return 7 }

// eventsOf returns the received events of type E.
func eventsOf[E kernel.Event](s *scriptedKernel) []E {
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

// fakeEngine is an engine whose calls are scripted by a test.
type fakeEngine struct {
	// prefill is optional.
	prefill func(ctx context.Context) (adapter.PrefillResult, error)
	decode  func(ctx context.Context, c *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error)

	mu      sync.Mutex
	cancels []ident.AttemptID
}

func (*fakeEngine) PluginInfo() plugin.Info { return plugin.Info{} }

func (e *fakeEngine) Prefill(ctx context.Context, _ *adapter.PrefillCall) (adapter.PrefillResult, error) {
	if e.prefill != nil {
		return e.prefill(ctx)
	}
	return adapter.PrefillResult{}, nil
}

func (e *fakeEngine) Decode(ctx context.Context, c *adapter.DecodeCall, s adapter.Sink) (adapter.DecodeResult, error) {
	return e.decode(ctx, c, s)
}

func (e *fakeEngine) Reattach(ctx context.Context, c *adapter.ReattachCall, s adapter.Sink) (adapter.DecodeResult, error) {
	return e.decode(ctx, &adapter.DecodeCall{Target: c.Target, ContinueFrom: c.Offset}, s)
}

func (e *fakeEngine) Cancel(_ context.Context, t *adapter.Target) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels = append(e.cancels, t.Attempt)
	return nil
}

// fakeObserver records dropped tokens, summaries and decision records.
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

func (o *fakeObserver) TokenDropped() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.late++
}

func (*fakeObserver) AttemptEnded(ident.UpstreamID, *adapter.CallError)  {}
func (*fakeObserver) LoadObserved(ident.UpstreamID, adapter.Observation) {}
func (*fakeObserver) PeerSendFailed(ident.InstanceID, error)             {}

// recordedOutput is an Output that appends the text of the tokens, and fails
// with err if it is set.
type recordedOutput struct {
	mu   sync.Mutex
	text string
	err  error
}

func (c *recordedOutput) Token(t adapter.Chunk) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text += t.Text
	return c.err
}

// testDriver is a running driver with a scripted kernel, a fake engine, an
// observer and an output.
type testDriver struct {
	driver   *Driver
	kernel   *scriptedKernel
	engine   *fakeEngine
	observer *fakeObserver
	out      *recordedOutput
	stop     context.CancelFunc
}

// attemptID returns the attempt ID with sequence number n.
func attemptID(n uint64) ident.AttemptID {
	return ident.AttemptID{Instance: "e-1", Incarnation: 1, Sequence: n}
}

// withDriver runs a test with a running driver in a synctest bubble (fake clock).
// decide makes the kernel's decisions.
func withDriver(t *testing.T, decide func(ev kernel.Event) []kernel.Action, test func(t *testing.T, r *testDriver)) {
	bubble.Test(t, func(t *testing.T) {
		r := &testDriver{
			kernel:   &scriptedKernel{decide: decide},
			engine:   &fakeEngine{},
			observer: &fakeObserver{},
			out:      &recordedOutput{},
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

// submit submits a repeatable model request and returns its result.
func (r *testDriver) submit(ctx context.Context) Result {
	return r.driver.Submit(ctx, &Exchange{
		Request: &kernel.Request{ID: "r-1", Repeatable: true, Route: config.RouteModel, PromptTokens: 10, Deadline: time.Now().Add(time.Minute)},
		Model:   &adapter.ModelRequest{Endpoint: adapter.Completions},
		Output:  r.out,
	})
}

// decideDecode is the decision function of a kernel that starts one decode and
// answers when it ends.
func decideDecode(ev kernel.Event) []kernel.Action {
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

// token returns the token at an offset of the answer "abc...".
func token(offset int) adapter.Chunk {
	return adapter.Chunk{Offset: offset, Text: string(rune('a' + offset))}
}

// sendTokens sends the tokens at the given offsets to s.
func sendTokens(s adapter.Sink, offsets ...int) error {
	for _, o := range offsets {
		if err := s.Token(token(o)); err != nil {
			return err
		}
	}
	return nil
}
