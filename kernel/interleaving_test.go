package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	_ "github.com/wardspool/wardspool/internal/testseed"
	"github.com/wardspool/wardspool/kernel"
)

// sentAttempt is an attempt that was sent and has not ended, as seen by the
// simulated upstreams.
type sentAttempt struct {
	id       ident.AttemptID
	request  ident.RequestID
	upstream ident.UpstreamID
	prefill  bool
	model    bool
	// dead means that the upstream ended before it could run this attempt.
	dead bool
}

// requestHistory records what actually happened to one request.
type requestHistory struct {
	request *kernel.Request
	// ran means that any stage ran. runs is the number of decodes or service
	// calls that ran.
	ran     bool
	runs    int
	answers int
	outcome api.Outcome
}

// simulation plays the role of the upstreams, with events in an order that
// rapid chooses, and records what actually happened to each request.
type simulation struct {
	t       *rapid.T
	k       *kernel.Kernel
	now     time.Time
	view    *kernel.View
	content *config.Content
	// kernelView is the view that the kernel received last; olderViews are all
	// views before the newest one.
	kernelView *kernel.View
	olderViews []*kernel.View
	// left is the incarnation in which an upstream was reported as leaving.
	left map[ident.UpstreamID]ident.Incarnation

	inFlight   []sentAttempt
	reattaches []sentAttempt
	cancels    []sentAttempt
	// held are the attempts for which upstreams still hold resources.
	held map[ident.AttemptID]ident.UpstreamID
	// cancelled are attempts that their upstream has been told to cancel; if the
	// cancel arrived before the attempt, the upstream does not run it.
	cancelled map[ident.AttemptID]bool
	requests  map[ident.RequestID]*requestHistory
	next      int
	// kvOf maps a decode to the prefill whose KV cache it imports.
	kvOf map[ident.AttemptID]ident.AttemptID
	// prefillOf maps the transfer parameters of a finished prefill to it.
	prefillOf map[string]ident.AttemptID
}

func newSimulation(t *rapid.T) *simulation {
	c := testContent()
	k, err := kernel.New(kernel.Options{
		Self: kernel.Self{Instance: "e1", Incarnation: 1, Zone: "hall-a"},
		Seed: rapid.Uint64().Draw(t, "seed"),
	})
	if err != nil {
		t.Fatal(err)
	}
	w := &simulation{
		t: t, k: k, now: epoch, content: c, view: testView(c, epoch),
		held:      map[ident.AttemptID]ident.UpstreamID{},
		cancelled: map[ident.AttemptID]bool{},
		requests:  map[ident.RequestID]*requestHistory{},
		left:      map[ident.UpstreamID]ident.Incarnation{},
		kvOf:      map[ident.AttemptID]ident.AttemptID{},
		prefillOf: map[string]ident.AttemptID{},
	}
	w.step(kernel.Configured{Version: 1, Content: c})
	w.setView(w.view)
	return w
}

func (w *simulation) step(ev kernel.Event) {
	actions := append([]kernel.Action(nil), w.k.Step(w.now, ev)...)
	for _, a := range actions {
		w.execute(a)
	}
}

// execute carries out an action of the kernel, as a driver would.
func (w *simulation) execute(a kernel.Action) {
	switch a := a.(type) {
	case kernel.StartPrefill:
		w.start(sentAttempt{id: a.Attempt, request: a.Request, upstream: a.Upstream, prefill: true, model: true})
	case kernel.StartDecode:
		w.kvOf[a.Attempt] = w.prefillOf[string(a.KV.Params)]
		w.start(sentAttempt{id: a.Attempt, request: a.Request, upstream: a.Upstream, model: true})
	case kernel.CallService:
		w.start(sentAttempt{id: a.Attempt, request: a.Request, upstream: a.Upstream})
	case kernel.ReattachDecode:
		w.reattaches = append(w.reattaches, sentAttempt{id: a.Attempt, request: a.Request, upstream: a.Upstream, model: true})
	case kernel.CancelAttempt:
		w.cancels = append(w.cancels, sentAttempt{id: a.Attempt, upstream: a.Upstream})
	case kernel.AbandonAttempt:
		w.abandon(a.Attempt)
	case kernel.Answer:
		w.answer(a)
	}
}

// start records an attempt that the kernel sends. It fails the test if the kernel
// knows from a view or from the upstream that the upstream takes no new work.
func (w *simulation) start(f sentAttempt) {
	for _, u := range w.kernelView.Upstreams {
		if u.ID != f.upstream {
			continue
		}
		if u.Liveness >= kernel.Leaving && u.Incarnation >= w.upstream(u.ID).Incarnation {
			w.t.Fatalf("new work was sent to %s, which is in state %d according to the view", u.ID, u.Liveness)
		}
		if w.left[u.ID] != 0 && w.left[u.ID] == w.upstream(u.ID).Incarnation {
			w.t.Fatalf("new work was sent to %s, which has reported that it is leaving", u.ID)
		}
	}
	f.dead = w.upstream(f.upstream).Liveness == kernel.Dead
	w.inFlight = append(w.inFlight, f)
}

func (w *simulation) answer(a kernel.Answer) {
	history := w.requests[a.Request]
	history.answers++
	history.outcome = a.Outcome
	if history.answers > 1 {
		w.t.Fatalf("request %s was answered %d times, want once", a.Request, history.answers)
	}
	w.checkRequest(history)
}

// checkRequest fails the test if the request was answered not-run although a
// stage ran, or if it ran twice although it must run at most once.
func (w *simulation) checkRequest(history *requestHistory) {
	if history.answers > 0 && history.outcome == api.NotRun && history.ran {
		w.t.Fatalf("request %s was answered not-run, but it ran", history.request.ID)
	}
	if !history.request.Repeatable && history.runs > 1 {
		w.t.Fatalf("request %s must run at most once, but ran %d times", history.request.ID, history.runs)
	}
}

// ran records that an upstream has started to run an attempt.
func (w *simulation) ran(f sentAttempt) {
	history := w.requests[f.request]
	history.ran = true
	if !f.prefill {
		history.runs++
	}
	w.held[f.id] = f.upstream
	if pre, ok := w.kvOf[f.id]; ok {
		delete(w.held, pre)
	}
	w.checkRequest(history)
}

// take removes and returns an attempt that rapid chooses, false if the list is
// empty.
func take(t *rapid.T, list *[]sentAttempt, label string) (sentAttempt, bool) {
	if len(*list) == 0 {
		return sentAttempt{}, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, label)
	f := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return f, true
}

func (w *simulation) arrive(t *rapid.T) {
	w.next++
	r := &kernel.Request{
		ID:        ident.RequestID(fmt.Sprintf("r%d", w.next)),
		Workspace: "franchise", Kind: "any", Route: config.RouteService, Service: testService,
		Repeatable: rapid.Bool().Draw(t, "repeatable"),
		Arrived:    w.now, Deadline: w.now.Add(10 * time.Second),
		FirstOutputBy: w.now.Add(2 * time.Second),
	}
	if rapid.Bool().Draw(t, "model") {
		r.Route, r.Service, r.Model = config.RouteModel, "", testModel
		r.PromptTokens, r.MaxOutputTokens = 4000, 50
	}
	w.requests[r.ID] = &requestHistory{request: r}
	w.step(kernel.Arrive{Request: r})
}

// resolve ends a random attempt with a random result.
func (w *simulation) resolve(t *rapid.T) {
	f, ok := take(t, &w.inFlight, "flight")
	if !ok {
		return
	}
	if w.cancelled[f.id] {
		w.step(kernel.AttemptFailed{Attempt: f.id, Evidence: kernel.Refused, Code: kernel.FailureUpstream})
		return
	}
	if f.dead {
		w.end(t, f, "lost")
		return
	}
	w.end(t, f, rapid.SampledFrom([]string{"done", "done", "unsent", "refused", "draining", "kv", "broken", "stalled", "lost"}).Draw(t, "end"))
}

// stall reports a random attempt as stalled, and sometimes as resumed.
func (w *simulation) stall(t *rapid.T) {
	if len(w.inFlight) == 0 {
		return
	}
	f := w.inFlight[rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "stalled")]
	if !f.model {
		return
	}
	w.step(kernel.AttemptStalled{Attempt: f.id})
	if !f.prefill && rapid.Bool().Draw(t, "resumes") {
		w.step(kernel.AttemptResumed{Attempt: f.id})
	}
}

// end ends an attempt with the given result.
func (w *simulation) end(t *rapid.T, f sentAttempt, how string) {
	fail := kernel.AttemptFailed{Attempt: f.id, Upstream: f.upstream, Evidence: kernel.Refused, Code: kernel.FailureCapacity}
	switch how {
	case "done":
		w.ran(f)
		w.succeed(t, f)
		return
	case "unsent":
		fail.Evidence, fail.Code = kernel.NotSent, kernel.FailureConnect
	case "draining":
		fail.Code = kernel.FailureDraining
		w.left[f.upstream] = w.upstream(f.upstream).Incarnation
	case "kv":
		if f.model && !f.prefill {
			fail.Code = kernel.FailureKVMissing
			delete(w.held, w.kvOf[f.id])
		}
	case "broken", "stalled":
		// The upstream ran the attempt, but the answer was lost.
		w.ran(f)
		fail.Evidence, fail.Code = kernel.Ambiguous, kernel.FailureBroken
		if how == "stalled" {
			fail.Code = kernel.FailureStalled
		}
	case "lost":
		// The upstream never received the attempt, but the sender cannot know.
		fail.Evidence, fail.Code = kernel.Ambiguous, kernel.FailureBroken
	}
	w.step(fail)
}

func (w *simulation) succeed(t *rapid.T, f sentAttempt) {
	if f.prefill {
		kv := kernel.KVHandle{Engine: f.upstream, Params: []byte(f.id.String())}
		w.prefillOf[string(kv.Params)] = f.id
		w.step(kernel.PrefillDone{Attempt: f.id, KV: kv})
		return
	}
	if f.model {
		w.step(kernel.FirstOutput{Attempt: f.id})
		if rapid.Bool().Draw(t, "breaks") {
			w.step(kernel.AttemptFailed{Attempt: f.id, Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Offset: 5})
			return
		}
	}
	delete(w.held, f.id)
	w.step(kernel.AttemptDone{Attempt: f.id})
}

// reattach ends a random reconnect to a stream, successfully or not.
func (w *simulation) reattach(t *rapid.T) {
	f, ok := take(t, &w.reattaches, "attach")
	if !ok {
		return
	}
	if _, holds := w.held[f.id]; holds && rapid.Bool().Draw(t, "works") {
		delete(w.held, f.id)
		w.step(kernel.AttemptDone{Attempt: f.id})
		return
	}
	evidence := rapid.SampledFrom([]kernel.Evidence{kernel.NotSent, kernel.Refused, kernel.Ambiguous}).Draw(t, "evidence")
	w.step(kernel.AttemptFailed{Attempt: f.id, Evidence: evidence, Code: kernel.FailureBroken, Offset: 5})
}

// advance lets a random time pass.
func (w *simulation) advance(t *rapid.T) {
	end := w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	w.advanceUntil(end)
}

func (w *simulation) advanceUntil(end time.Time) {
	for range 10000 {
		at, ok := w.k.NextWake()
		if !ok || at.After(end) {
			break
		}
		if at.After(w.now) {
			w.now = at
		}
		w.step(kernel.Tick{})
	}
	w.now = end
	w.step(kernel.Tick{})
}

// endAll ends all attempts and acknowledges all cancels, and then checks that
// every request has exactly one answer and that no upstream still holds
// resources.
func (w *simulation) endAll(t *rapid.T) {
	for range 50 {
		for len(w.inFlight) > 0 {
			f := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			if w.cancelled[f.id] {
				w.step(kernel.AttemptFailed{Attempt: f.id, Evidence: kernel.Refused, Code: kernel.FailureUpstream})
				continue
			}
			w.end(t, f, "refused")
		}
		for len(w.reattaches) > 0 {
			f := w.reattaches[0]
			w.reattaches = w.reattaches[1:]
			w.step(kernel.AttemptFailed{Attempt: f.id, Evidence: kernel.Refused, Code: kernel.FailureBroken})
		}
		for len(w.cancels) > 0 {
			f := w.cancels[0]
			w.cancels = w.cancels[1:]
			w.released(f.id)
			w.step(kernel.CancelAcked{Attempt: f.id})
		}
		w.advanceUntil(w.now.Add(time.Second))
	}
	if n := w.k.InFlight(); n != 0 {
		t.Fatalf("%d requests have no answer after all attempts ended", n)
	}
	if n := w.k.PendingCancels(); n != 0 {
		t.Fatalf("%d cancels are pending after all were acknowledged", n)
	}
	for id, at := range w.held {
		t.Fatalf("attempt %s still holds resources on upstream %s after all attempts ended", id, at)
	}
	for id, history := range w.requests {
		if history.answers != 1 {
			t.Fatalf("request %s has %d answers, want 1", id, history.answers)
		}
	}
}

// TestInterleavings checks the kernel's guarantees over random interleavings of
// completions, failures, stalls, lost answers, cancels, disconnecting callers, leaving,
// ending and restarting upstreams, stale views and pauses: every request gets
// exactly one answer, a request that must run at most once never runs twice, no
// request that ran is answered not-run, no work is sent to an upstream known to
// take none, and no upstream keeps resources.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   w.arrive,
			"arrive2":  w.arrive,
			"resolve":  w.resolve,
			"resolve2": w.resolve,
			"reattach": w.reattach,
			"stall":    w.stall,
			"stall2":   w.stall,
			"cancel":   w.cancel,
			"gone":     w.callerGone,
			"pass":     w.advance,
			"leave":    w.markLeaving,
			"die":      w.endUpstream,
			"restart":  w.restart,
			"stale":    w.staleView,
			"pause":    w.pause,
		})
		w.endAll(t)
	})
}
