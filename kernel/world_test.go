package kernel_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"

	_ "github.com/wardspool/wardspool/plugins/admission/known"
	_ "github.com/wardspool/wardspool/plugins/admission/queue"
	_ "github.com/wardspool/wardspool/plugins/filter/ejected"
	_ "github.com/wardspool/wardspool/plugins/filter/leaving"
	_ "github.com/wardspool/wardspool/plugins/filter/role"
	_ "github.com/wardspool/wardspool/plugins/order/deadline"
	_ "github.com/wardspool/wardspool/plugins/scorer/firstoutput"
	_ "github.com/wardspool/wardspool/plugins/scorer/pace"
	_ "github.com/wardspool/wardspool/plugins/slots/none"
)

// epoch is the start of virtual time in kernel tests.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	testModel   = "manifest-reader"
	testService = "preorder"
)

// testContent returns a small bundle with two prefill engines, two decode engines
// and two service processes.
func testContent() *config.Content {
	c := &config.Content{
		Deployment: "test",
		Models:     []config.Model{{Name: testModel, MaxContext: 64000, KVBytesPerToken: 1000, PieceTokens: 2000}},
		Services:   []config.Service{{Name: testService, Timeout: time.Second, Concurrency: 4}},
		Workspaces: []config.Workspace{{Name: "franchise", Weight: 1}},
		Policy: config.Policy{
			Slots:      "slots.none",
			Order:      "order.deadline",
			Admission:  []plugin.ID{"admission.known", "admission.queue"},
			Filters:    []plugin.ID{"filter.role", "filter.leaving", "filter.ejected"},
			Scorers:    []config.Scorer{{ID: "scorer.first_output", Weight: 1}, {ID: "scorer.pace", Weight: 1}},
			QueueLimit: 64, MaxAttempts: 4,
		},
	}
	engine := config.Upstream{
		Models: []string{testModel}, Slots: 20, Pieces: 200, PrefillTokensPerSecond: 20000,
		LinkBytesPerSecond: 1e9, DecodeStep: 20 * time.Millisecond,
	}
	for _, id := range []ident.UpstreamID{"p1", "p2", "d1", "d2"} {
		u := engine
		u.ID = id
		u.Role = config.RoleDecode
		if strings.HasPrefix(string(id), "p") {
			u.Role = config.RolePrefill
		}
		c.Upstreams = append(c.Upstreams, u)
	}
	for _, id := range []ident.UpstreamID{"s1", "s2"} {
		c.Upstreams = append(c.Upstreams, config.Upstream{ID: id, Role: config.RoleService, Service: testService})
	}
	return c
}

// testView returns a view in which every declared upstream is live.
func testView(c *config.Content, now time.Time) *kernel.View {
	v := &kernel.View{Version: 1, Trusted: true}
	v.Instances = []kernel.Instance{{ID: "e1", Zone: "hall-a", Incarnation: 1, Liveness: kernel.Live}}
	for _, u := range c.Upstreams {
		v.Upstreams = append(v.Upstreams, kernel.Upstream{
			ID: u.ID, Zone: "hall-a", Incarnation: 1, Liveness: kernel.Live,
			Load: kernel.Load{At: now, Slots: u.Slots, PiecesTotal: u.Pieces},
		})
	}
	return v
}

// session drives one kernel with a sequence of events and records its actions.
type session struct {
	t       *testing.T
	k       *kernel.Kernel
	now     time.Time
	content *config.Content
	view    *kernel.View
	lines   []string
	// observe, if it is set, is called with each action.
	observe func(kernel.Action)
	// prefill, decode and service are the newest attempts of each stage.
	prefill, decode, service ident.AttemptID
}

func newSession(t *testing.T) *session {
	t.Helper()
	c := testContent()
	k, err := kernel.New(kernel.Options{
		Self: kernel.Self{Instance: "e1", Incarnation: 1, Zone: "hall-a"},
		Seed: 7,
	})
	assert.NilError(t, err)
	s := &session{t: t, k: k, now: epoch, content: c, view: testView(c, epoch)}
	s.step(kernel.Configured{Version: 1, Content: c})
	s.step(kernel.ViewChanged{View: s.view})
	return s
}

// advance lets virtual time pass and sends a Tick whenever NextWake requires it.
func (s *session) advance(d time.Duration) {
	end := s.now.Add(d)
	for {
		at, ok := s.k.NextWake()
		if !ok || at.After(end) {
			break
		}
		if at.After(s.now) {
			s.now = at
		}
		s.step(kernel.Tick{})
	}
	s.now = end
}

func (s *session) step(ev kernel.Event) []kernel.Action {
	actions := append([]kernel.Action(nil), s.k.Step(s.now, ev)...)
	for _, a := range actions {
		s.record(a)
	}
	return actions
}

func (s *session) record(a kernel.Action) {
	switch a := a.(type) {
	case kernel.StartPrefill:
		s.prefill = a.Attempt
	case kernel.StartDecode:
		s.decode = a.Attempt
	case kernel.CallService:
		s.service = a.Attempt
	}
	if s.observe != nil {
		s.observe(a)
	}
	at := s.now.Sub(epoch).Milliseconds()
	s.lines = append(s.lines, fmt.Sprintf("%6d ms  %s", at, describe(a)))
}

// describe formats an action as one line, without details that are irrelevant to
// the tests.
func describe(a kernel.Action) string {
	switch a := a.(type) {
	case kernel.StartPrefill:
		return fmt.Sprintf("prefill   %s on %s (attempt %d, from %d)", a.Request, a.Upstream, a.Attempt.Sequence, a.ContinueFrom)
	case kernel.StartDecode:
		return fmt.Sprintf("decode    %s on %s (attempt %d, from %d)", a.Request, a.Upstream, a.Attempt.Sequence, a.ContinueFrom)
	case kernel.ReattachDecode:
		text := fmt.Sprintf("reattach  %s on %s (attempt %d, offset %d)", a.Request, a.Upstream, a.Attempt.Sequence, a.Offset)
		if a.Wait > 0 {
			text += fmt.Sprintf(" after %v", a.Wait.Round(time.Millisecond))
		}
		return text
	case kernel.CallService:
		return fmt.Sprintf("call      %s on %s (attempt %d)", a.Request, a.Upstream, a.Attempt.Sequence)
	case kernel.AbandonAttempt:
		return fmt.Sprintf("abandon   attempt %d", a.Attempt.Sequence)
	case kernel.CancelAttempt:
		return fmt.Sprintf("cancel    attempt %d on %s", a.Attempt.Sequence, a.Upstream)
	case kernel.Answer:
		if a.Problem == nil {
			return fmt.Sprintf("answer    %s %s", a.Request, a.Outcome)
		}
		return fmt.Sprintf("answer    %s %s %s retry after %d ms", a.Request, a.Outcome, strings.TrimPrefix(string(a.Problem.Type), "urn:wardspool:problem:"), a.Problem.RetryAfterMS)
	case kernel.Log:
		return fmt.Sprintf("log       %s %s: %s", a.Record.Request, a.Record.Step, a.Record.Reason)
	default:
		return fmt.Sprintf("%T", a)
	}
}

// review returns a repeatable model request that arrives now.
func (s *session) review(id string) *kernel.Request {
	return &kernel.Request{
		ID: ident.RequestID(id), Workspace: "franchise", Kind: "review", Route: config.RouteModel,
		Model: testModel, PromptTokens: 8000, MaxOutputTokens: 100, Repeatable: true,
		Arrived: s.now, FirstOutputBy: s.now.Add(2 * time.Second), Deadline: s.now.Add(20 * time.Second),
	}
}

// confirm returns a service request that must run at most once.
func (s *session) confirm(id string) *kernel.Request {
	return &kernel.Request{
		ID: ident.RequestID(id), Workspace: "franchise", Kind: "confirm", Route: config.RouteService,
		Service: testService, Arrived: s.now, Deadline: s.now.Add(5 * time.Second),
	}
}

func (s *session) transcript() string { return strings.Join(s.lines, "\n") + "\n" }

// setLiveness sets the Liveness of one upstream in a new view.
func (s *session) setLiveness(id ident.UpstreamID, liveness kernel.Liveness) {
	s.changeUpstream(id, func(u *kernel.Upstream) { u.Liveness = liveness })
}

// restart makes the next incarnation of one upstream known.
func (s *session) restart(id ident.UpstreamID) {
	s.changeUpstream(id, func(u *kernel.Upstream) { u.Incarnation++ })
}

// changeUpstream changes one upstream in a new view.
func (s *session) changeUpstream(id ident.UpstreamID, change func(*kernel.Upstream)) {
	s.changeUpstreams(func(u *kernel.Upstream) {
		if u.ID == id {
			change(u)
		}
	})
}

// changeUpstreams changes the upstreams in a new view.
func (s *session) changeUpstreams(change func(*kernel.Upstream)) {
	v := *s.view
	v.Version++
	v.Upstreams = append([]kernel.Upstream(nil), v.Upstreams...)
	for i := range v.Upstreams {
		change(&v.Upstreams[i])
	}
	s.view = &v
	s.step(kernel.ViewChanged{View: s.view})
}

// kvFrom returns the handle of a KV cache that the given prefill engine holds.
func kvFrom(id ident.UpstreamID) kernel.KVHandle { return kernel.KVHandle{Engine: id} }
