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

// flight is an attempt on its way, as the fake upstreams know it.
type flight struct {
	id       ident.AttemptID
	request  ident.RequestID
	upstream ident.UpstreamID
	prefill  bool
	model    bool
	// dead: the upstream ended before it could run this attempt.
	dead bool
}

// truth is what really happened to one request.
type truth struct {
	request *kernel.Request
	// touched: some stage ran. runs: decodes or calls that ran.
	touched bool
	runs    int
	answers int
	outcome api.Outcome
}

// fakeWorld plays the upstreams in any order rapid chooses, and keeps the truth.
type fakeWorld struct {
	t       *rapid.T
	k       *kernel.Kernel
	now     time.Time
	view    *kernel.View
	content *config.Content
	// given is the view that the kernel was last given; stale are older ones.
	given *kernel.View
	stale []*kernel.View
	// left is the incarnation in which an upstream was said to be leaving.
	left map[ident.UpstreamID]ident.Incarnation

	flights  []flight
	attaches []flight
	cancels  []flight
	// held is what upstreams hold and nobody has released.
	held map[ident.AttemptID]ident.UpstreamID
	// cancelled are attempts whose cancel overtook them.
	cancelled map[ident.AttemptID]bool
	requests  map[ident.RequestID]*truth
	next      int
	// kvOf remembers which prefill a decode imports.
	kvOf map[ident.AttemptID]ident.AttemptID
	// prefillOf is the newest finished prefill of a request.
	prefillOf map[ident.RequestID]ident.AttemptID
}

func newFakeWorld(t *rapid.T) *fakeWorld {
	c := testContent()
	k, err := kernel.New(kernel.Options{
		Self: kernel.Self{Instance: "e1", Incarnation: 1, Zone: "hall-a"},
		Seed: rapid.Uint64().Draw(t, "seed"),
	})
	if err != nil {
		t.Fatal(err)
	}
	w := &fakeWorld{
		t: t, k: k, now: epoch, content: c, view: testView(c, epoch),
		held:      map[ident.AttemptID]ident.UpstreamID{},
		cancelled: map[ident.AttemptID]bool{},
		requests:  map[ident.RequestID]*truth{},
		left:      map[ident.UpstreamID]ident.Incarnation{},
		kvOf:      map[ident.AttemptID]ident.AttemptID{},
		prefillOf: map[ident.RequestID]ident.AttemptID{},
	}
	w.step(kernel.Configured{Version: 1, Content: c})
	w.give(w.view)
	return w
}

func (w *fakeWorld) step(ev kernel.Event) {
	actions := append([]kernel.Action(nil), w.k.Step(w.now, ev)...)
	for _, a := range actions {
		w.carry(a)
	}
}

func (w *fakeWorld) carry(a kernel.Action) {
	switch a := a.(type) {
	case kernel.StartPrefill:
		w.start(flight{id: a.Attempt, request: a.Request, upstream: a.Upstream, prefill: true, model: true})
	case kernel.StartDecode:
		w.kvOf[a.Attempt] = w.prefillOf[a.Request]
		w.start(flight{id: a.Attempt, request: a.Request, upstream: a.Upstream, model: true})
	case kernel.CallService:
		w.start(flight{id: a.Attempt, request: a.Request, upstream: a.Upstream})
	case kernel.ReattachDecode:
		w.attaches = append(w.attaches, flight{id: a.Attempt, request: a.Request, upstream: a.Upstream, model: true})
	case kernel.CancelAttempt:
		w.cancels = append(w.cancels, flight{id: a.Attempt, upstream: a.Upstream})
	case kernel.AbandonAttempt:
		w.abandon(a.Attempt)
	case kernel.Answer:
		w.answer(a)
	}
}

func (w *fakeWorld) start(f flight) {
	for _, u := range w.given.Upstreams {
		if u.ID != f.upstream {
			continue
		}
		if u.Life >= kernel.Leaving && u.Incarnation >= w.upstream(u.ID).Incarnation {
			w.t.Fatalf("new work for %s, which is known to be in state %d", u.ID, u.Life)
		}
		if w.left[u.ID] != 0 && w.left[u.ID] == w.upstream(u.ID).Incarnation {
			w.t.Fatalf("new work for %s, which said that it is leaving", u.ID)
		}
	}
	f.dead = w.upstream(f.upstream).Life == kernel.Dead
	w.flights = append(w.flights, f)
}

func (w *fakeWorld) answer(a kernel.Answer) {
	tr := w.requests[a.Request]
	tr.answers++
	tr.outcome = a.Outcome
	if tr.answers > 1 {
		w.t.Fatalf("request %s answered %d times", a.Request, tr.answers)
	}
	w.checkRequest(tr)
}

func (w *fakeWorld) checkRequest(tr *truth) {
	if tr.answers > 0 && tr.outcome == api.NotRun && tr.touched {
		w.t.Fatalf("request %s: told not-run, but it ran", tr.request.ID)
	}
	if !tr.request.Repeatable && tr.runs > 1 {
		w.t.Fatalf("request %s must run at most once, ran %d times", tr.request.ID, tr.runs)
	}
}

// ran notes that an attempt's work was begun by its upstream.
func (w *fakeWorld) ran(f flight) {
	tr := w.requests[f.request]
	tr.touched = true
	if !f.prefill {
		tr.runs++
	}
	w.held[f.id] = f.upstream
	if pre, ok := w.kvOf[f.id]; ok {
		delete(w.held, pre)
	}
	w.checkRequest(tr)
}

// take removes and returns a flight that rapid chooses.
func take(t *rapid.T, list *[]flight, label string) (flight, bool) {
	if len(*list) == 0 {
		return flight{}, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, label)
	f := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return f, true
}

func (w *fakeWorld) arrive(t *rapid.T) {
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
	w.requests[r.ID] = &truth{request: r}
	w.step(kernel.Arrive{Request: r})
}

// resolve ends one attempt in one of the ways it can end.
func (w *fakeWorld) resolve(t *rapid.T) {
	f, ok := take(t, &w.flights, "flight")
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

func (w *fakeWorld) end(t *rapid.T, f flight, how string) {
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
			fail.Code = kernel.FailureKVGone
			delete(w.held, w.kvOf[f.id])
		}
	case "broken", "stalled":
		// The upstream ran it; the news was lost.
		w.ran(f)
		fail.Evidence, fail.Code = kernel.Ambiguous, kernel.FailureBroken
		if how == "stalled" {
			fail.Code = kernel.FailureStalled
		}
	case "lost":
		// The upstream never got it, but nobody can know.
		fail.Evidence, fail.Code = kernel.Ambiguous, kernel.FailureBroken
	}
	w.step(fail)
}

func (w *fakeWorld) succeed(t *rapid.T, f flight) {
	if f.prefill {
		w.prefillOf[f.request] = f.id
		w.step(kernel.PrefillDone{Attempt: f.id, KV: kvFrom(f.upstream)})
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

// reattach ends one attempt to read on in a stream.
func (w *fakeWorld) reattach(t *rapid.T) {
	f, ok := take(t, &w.attaches, "attach")
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

func (w *fakeWorld) pass(t *rapid.T) {
	end := w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	w.passUntil(end)
}

func (w *fakeWorld) passUntil(end time.Time) {
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

// settle lets everything that is under way come to its end and checks that
// nothing is left behind.
func (w *fakeWorld) settle(t *rapid.T) {
	for range 50 {
		for len(w.flights) > 0 {
			f := w.flights[0]
			w.flights = w.flights[1:]
			if w.cancelled[f.id] {
				w.step(kernel.AttemptFailed{Attempt: f.id, Evidence: kernel.Refused, Code: kernel.FailureUpstream})
				continue
			}
			w.end(t, f, "refused")
		}
		for len(w.attaches) > 0 {
			f := w.attaches[0]
			w.attaches = w.attaches[1:]
			w.step(kernel.AttemptFailed{Attempt: f.id, Evidence: kernel.Refused, Code: kernel.FailureBroken})
		}
		for len(w.cancels) > 0 {
			f := w.cancels[0]
			w.cancels = w.cancels[1:]
			w.released(f.id)
			w.step(kernel.CancelAcked{Attempt: f.id})
		}
		w.passUntil(w.now.Add(time.Second))
	}
	if n := w.k.InFlight(); n != 0 {
		t.Fatalf("%d requests without an answer at quiescence", n)
	}
	if n := w.k.Unreleased(); n != 0 {
		t.Fatalf("%d cancels pending at quiescence", n)
	}
	for id, at := range w.held {
		t.Fatalf("attempt %s still held on %s at quiescence", id, at)
	}
	for id, tr := range w.requests {
		if tr.answers != 1 {
			t.Fatalf("request %s has %d answers", id, tr.answers)
		}
	}
}

// TestInterleavings checks the promises over random interleavings of
// completions, failures, lost news, cancels, vanished callers, leaving and
// dying upstreams, stale views and pauses.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFakeWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   w.arrive,
			"arrive2":  w.arrive,
			"resolve":  w.resolve,
			"resolve2": w.resolve,
			"reattach": w.reattach,
			"cancel":   w.cancel,
			"gone":     w.callerGone,
			"pass":     w.pass,
			"leave":    w.leave,
			"die":      w.die,
			"restart":  w.restart,
			"stale":    w.staleView,
			"pause":    w.pause,
		})
		w.settle(t)
	})
}
