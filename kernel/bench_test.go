package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"

	_ "github.com/wardspool/wardspool/plugins/filter/model"
	_ "github.com/wardspool/wardspool/plugins/filter/stale"
	_ "github.com/wardspool/wardspool/plugins/scorer/prefix"
	_ "github.com/wardspool/wardspool/plugins/scorer/zone"
	_ "github.com/wardspool/wardspool/plugins/slots/dispatch"
)

// fleetSize is a number of engines and a number of models, each of which is
// served by an equal share of the engines.
type fleetSize struct{ engines, models int }

func (f fleetSize) String() string { return fmt.Sprintf("%d-engines-%d-models", f.engines, f.models) }

// fleetSizes are the fleet sizes for which decisions are measured: those of the
// deployments in the requirements (9 and 100 engines), the planned deployment
// (600 engines, 15 models) and, as the worst case, 600 engines for one model.
var fleetSizes = []fleetSize{{9, 1}, {100, 1}, {600, 15}, {600, 1}}

// benchKernel returns a kernel with a fleet of the given size, a third of which
// are prefill engines.
func benchKernel(b *testing.B, size fleetSize, slots plugin.ID) *kernel.Kernel {
	b.Helper()
	c := testContent()
	for i := 1; i < size.models; i++ {
		m := c.Models[0]
		m.Name = fmt.Sprintf("%s-%d", testModel, i)
		c.Models = append(c.Models, m)
	}
	c.Policy.Slots = slots
	c.Policy.Filters = []plugin.ID{"filter.role", "filter.model", "filter.leaving", "filter.stale", "filter.ejected"}
	c.Policy.Scorers = []config.Scorer{
		{ID: "scorer.first_output", Weight: 1}, {ID: "scorer.pace", Weight: 1},
		{ID: "scorer.prefix", Weight: 0.5}, {ID: "scorer.zone", Weight: 0.2},
	}
	template := c.Upstreams[0]
	c.Upstreams = nil
	for i := range size.engines {
		u := template
		u.Models = []string{c.Models[i/3%size.models].Name}
		u.ID = ident.UpstreamID(fmt.Sprintf("u%d", i))
		u.Role = config.RoleDecode
		if i%3 == 0 {
			u.Role = config.RolePrefill
		}
		c.Upstreams = append(c.Upstreams, u)
	}
	k, err := kernel.New(kernel.Options{Self: kernel.Self{Instance: "e1", Incarnation: 1, Zone: "hall-a"}, Seed: 1})
	assert.NilError(b, err)
	k.Step(epoch, kernel.Configured{Version: 1, Content: c})
	k.Step(epoch, kernel.ViewChanged{View: testView(c, epoch)})
	return k
}

// benchRequest runs one request from arrival to answer.
func benchRequest(k *kernel.Kernel, now time.Time, id ident.RequestID) {
	r := &kernel.Request{
		ID: id, Workspace: "franchise", Kind: "review", Route: config.RouteModel,
		Model: testModel, PromptTokens: 8000, MaxOutputTokens: 100, Repeatable: true,
		Arrived: now, FirstOutputBy: now.Add(time.Minute), Deadline: now.Add(2 * time.Minute),
	}
	actions := k.Step(now, kernel.Arrive{Request: r})
	for _, a := range actions {
		if start, ok := a.(kernel.StartPrefill); ok {
			finish(k, now, start)
			return
		}
	}
}

func finish(k *kernel.Kernel, now time.Time, start kernel.StartPrefill) {
	var decode ident.AttemptID
	for _, a := range k.Step(now, kernel.PrefillDone{Attempt: start.Attempt, KV: kernel.KVHandle{Engine: start.Upstream}}) {
		if d, ok := a.(kernel.StartDecode); ok {
			decode = d.Attempt
		}
	}
	k.Step(now, kernel.FirstOutput{Attempt: decode})
	k.Step(now, kernel.AttemptDone{Attempt: decode, Tokens: 100})
}

// BenchmarkRequest measures the kernel's total work for one request: arrival,
// placement, decode, first output and answer.
func BenchmarkRequest(b *testing.B) {
	for _, slots := range []plugin.ID{"slots.none", "slots.dispatch"} {
		for _, size := range fleetSizes {
			b.Run(fmt.Sprintf("%s/%s", slots, size), func(b *testing.B) {
				k := benchKernel(b, size, slots)
				b.ReportAllocs()
				for i := range b.N {
					benchRequest(k, epoch.Add(time.Duration(i)*time.Millisecond), ident.RequestID(fmt.Sprintf("r%d", i)))
				}
			})
		}
	}
}

// BenchmarkDecision measures a placement followed by its cancellation, which is
// an upper bound for the placement alone.
func BenchmarkDecision(b *testing.B) {
	for _, slots := range []plugin.ID{"slots.none", "slots.dispatch"} {
		for _, size := range fleetSizes {
			b.Run(fmt.Sprintf("%s/%s", slots, size), func(b *testing.B) {
				k := benchKernel(b, size, slots)
				b.ReportAllocs()
				for i := range b.N {
					id := ident.RequestID(fmt.Sprintf("r%d", i))
					r := &kernel.Request{
						ID: id, Workspace: "franchise", Kind: "review", Route: config.RouteModel,
						Model: testModel, PromptTokens: 8000, MaxOutputTokens: 100, Repeatable: true,
						Arrived: epoch, FirstOutputBy: epoch.Add(time.Minute), Deadline: epoch.Add(2 * time.Minute),
					}
					actions := k.Step(epoch, kernel.Arrive{Request: r})
					var attempt ident.AttemptID
					for _, a := range actions {
						if start, ok := a.(kernel.StartPrefill); ok {
							attempt = start.Attempt
						}
					}
					k.Step(epoch, kernel.CallerGone{Request: id})
					k.Step(epoch, kernel.CancelAcked{Attempt: attempt})
				}
			})
		}
	}
}
