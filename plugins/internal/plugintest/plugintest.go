// Package plugintest provides views, decisions and a host for tests of plug-ins.
package plugintest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Start is the initial time of the test host and the time of all decisions and
// load reports.
var Start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// Model is the model that the engines of this package serve.
var Model = config.Model{
	Name:            "reader",
	MaxContext:      32000,
	KVBytesPerToken: 100_000,
	PieceTokens:     2000,
}

// Service is the plain service that the service upstreams of this package run.
const Service = "billing"

// zones are the availability zones over which upstreams and instances are
// distributed.
var zones = []ident.Zone{"hall-a", "hall-b", "hall-c"}

// Prefill returns an idle prefill engine with the given index in the view.
func Prefill(index int) kernel.Upstream {
	u := upstream(index, config.RolePrefill)
	u.Spec.PrefillTokensPerSecond = 20_000
	u.Spec.LinkBytesPerSecond = 5e9
	u.Spec.Pieces = 60
	return u
}

// Decode returns an idle decode engine with the given index in the view.
func Decode(index int) kernel.Upstream {
	u := upstream(index, config.RoleDecode)
	u.Spec.Slots = 20
	u.Spec.Pieces = 120
	u.Spec.LinkBytesPerSecond = 5e9
	u.Spec.DecodeStep = 20 * time.Millisecond
	u.Spec.DecodeStepPerRequest = 500 * time.Microsecond
	return u
}

// ServiceUpstream returns an idle upstream that runs the plain service Service.
func ServiceUpstream(index int) kernel.Upstream {
	u := upstream(index, config.RoleService)
	u.Spec.Service = Service
	u.Spec.Models = nil
	return u
}

// upstream returns a live upstream with a load report of the time Start that shows
// no load.
func upstream(index int, role config.Role) kernel.Upstream {
	id := ident.UpstreamID(fmt.Sprintf("%s-%d", role, index))
	return kernel.Upstream{
		Index:       index,
		ID:          id,
		Zone:        zones[index%len(zones)],
		Incarnation: 1,
		Liveness:    kernel.Live,
		Spec:        config.Upstream{ID: id, Role: role, Models: []string{Model.Name}},
		Load:        kernel.Load{At: Start},
	}
}

// View returns a view of n engines and the given number of live instances. Every
// third engine is a prefill engine, beginning with the first; the others are decode
// engines.
func View(n, instances int) *kernel.View {
	v := &kernel.View{Version: 1, Trusted: true}
	for i := range n {
		u := Decode(i)
		if i%3 == 0 {
			u = Prefill(i)
		}
		// Zones change every three engines, so that each zone has engines of
		// both roles.
		u.Zone = zones[i/3%len(zones)]
		v.Upstreams = append(v.Upstreams, u)
	}
	for i := range instances {
		v.Instances = append(v.Instances, kernel.Instance{
			ID:          ident.InstanceID(fmt.Sprintf("entry-%d", i)),
			Zone:        zones[i%len(zones)],
			Incarnation: 1,
			Liveness:    kernel.Live,
		})
	}
	return v
}

// Request returns a request with the given ID to the model Model.
func Request(id string) *kernel.Request {
	return &kernel.Request{
		ID:              ident.RequestID(id),
		Workspace:       "north",
		Kind:            "review",
		Route:           config.RouteModel,
		Model:           Model.Name,
		PromptTokens:    5000,
		MaxOutputTokens: 400,
		Repeatable:      true,
		Arrived:         Start,
		FirstOutputBy:   Start.Add(2 * time.Second),
		Pace:            54 * time.Millisecond,
		Deadline:        Start.Add(time.Minute),
	}
}

// Decision returns a decision at the time Start for the request and the view.
func Decision(r *kernel.Request, v *kernel.View) *kernel.Decision {
	return &kernel.Decision{
		Now:          Start,
		Self:         kernel.Self{Instance: "entry-0", Incarnation: 1, Zone: zones[0]},
		Request:      r,
		Model:        &Model,
		View:         v,
		PromptTokens: r.PromptTokens,
	}
}

// Sent is a message that a plug-in sent through Host.Send.
type Sent struct {
	To      ident.InstanceID
	Message kernel.PeerMessage
}

// Host is a fake kernel.Host that returns the values of its fields.
type Host struct {
	// Time is the result of Now.
	Time time.Time
	// SelfInfo is the result of Self.
	SelfInfo kernel.Self
	// CurrentView is the result of View.
	CurrentView *kernel.View
	// Bundle is the result of Content.
	Bundle *config.Content
	// Queue is the result of QueueLength.
	Queue int
	// Predict computes the result of Estimate. If it is nil, Estimate predicts
	// an immediate first output.
	Predict func(*kernel.Request) kernel.Estimate
	// Outbox has the messages passed to Send.
	Outbox []Sent
	random *rand.Rand
}

var _ kernel.Host = (*Host)(nil)

// NewHost returns a host at the time Start with the given view. Its random numbers
// have a fixed seed.
func NewHost(v *kernel.View) *Host {
	return &Host{
		Time:        Start,
		SelfInfo:    kernel.Self{Instance: "entry-0", Incarnation: 1, Zone: zones[0]},
		CurrentView: v,
		Bundle:      &config.Content{Models: []config.Model{Model}},
		random:      rand.New(rand.NewPCG(1, 2)),
	}
}

// Now implements kernel.Host.
func (h *Host) Now() time.Time { return h.Time }

// Self implements kernel.Host.
func (h *Host) Self() kernel.Self { return h.SelfInfo }

// View implements kernel.Host.
func (h *Host) View() *kernel.View { return h.CurrentView }

// Content implements kernel.Host.
func (h *Host) Content() *config.Content { return h.Bundle }

// Upstream implements kernel.Host.
func (h *Host) Upstream(id ident.UpstreamID) *kernel.Upstream {
	for i := range h.CurrentView.Upstreams {
		if h.CurrentView.Upstreams[i].ID == id {
			return &h.CurrentView.Upstreams[i]
		}
	}
	return nil
}

// Model implements kernel.Host.
func (h *Host) Model(name string) *config.Model {
	for i := range h.Bundle.Models {
		if h.Bundle.Models[i].Name == name {
			return &h.Bundle.Models[i]
		}
	}
	return nil
}

// Rand implements kernel.Host. It returns a generator with a fixed seed.
func (h *Host) Rand() *rand.Rand { return h.random }

// Send implements kernel.Host. It appends the message to Outbox.
func (h *Host) Send(to ident.InstanceID, m kernel.PeerMessage) {
	h.Outbox = append(h.Outbox, Sent{To: to, Message: m})
}

// QueueLength implements kernel.Host.
func (h *Host) QueueLength() int { return h.Queue }

// Estimate implements kernel.Host.
func (h *Host) Estimate(r *kernel.Request) kernel.Estimate {
	if h.Predict == nil {
		return kernel.Estimate{Possible: true}
	}
	return h.Predict(r)
}

// SlotGranted implements kernel.Host. It does nothing.
func (*Host) SlotGranted(ident.AttemptID) {}

// SlotDenied implements kernel.Host. It does nothing.
func (*Host) SlotDenied(ident.AttemptID, time.Time) {}
