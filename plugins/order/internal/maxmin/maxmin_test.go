package maxmin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
	"github.com/wardspool/wardspool/plugins/order/internal/due"
)

// content declares the workspaces of the tests with their weights.
var content = &config.Content{Workspaces: []config.Workspace{
	{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 4},
}}

// byPrompt returns the prompt length as the share of a request. These shares are
// exact in floating point, so that Order and the reference compute equal sums.
func byPrompt(r *kernel.Request) float64 { return float64(r.PromptTokens) }

// reference is a simple implementation of the order that follows its
// definition: in each step it looks at all waiting requests and selects the one
// to be served first.
type reference struct {
	waiting []*kernel.QueuedRequest
	running []*kernel.Request
}

// weights has the weights that content declares.
var weights = map[ident.Workspace]float64{"a": 1, "b": 2, "c": 4}

// all returns the IDs of the waiting requests in the order in which they are to be
// served.
func (ref *reference) all(now time.Time) []ident.RequestID {
	remaining := slices.Clone(ref.waiting)
	share := map[ident.Workspace]float64{}
	for _, r := range ref.running {
		share[r.Workspace] += byPrompt(r) / weights[r.Workspace]
	}
	var ids []ident.RequestID
	for len(remaining) > 0 {
		best := 0
		for i := range remaining {
			if comesBefore(remaining[i], remaining[best], share, now) {
				best = i
			}
		}
		r := remaining[best].Request
		ids = append(ids, r.ID)
		share[r.Workspace] += byPrompt(r) / weights[r.Workspace]
		remaining = slices.Delete(remaining, best, best+1)
	}
	return ids
}

// comesBefore reports whether x is served before y: by class (resumed, in time,
// late), then by the share of the workspace, the due time, the workspace's name and
// the request's ID.
func comesBefore(x, y *kernel.QueuedRequest, share map[ident.Workspace]float64, now time.Time) bool {
	rank := func(w *kernel.QueuedRequest) int {
		switch {
		case w.Delivered > 0:
			return 0
		case now.After(w.Request.FirstOutputBy):
			return 2
		}
		return 1
	}
	a, b := x.Request, y.Request
	if rank(x) != rank(y) {
		return rank(x) < rank(y)
	}
	if share[a.Workspace] != share[b.Workspace] {
		return share[a.Workspace] < share[b.Workspace]
	}
	if c := a.FirstOutputBy.Compare(b.FirstOutputBy); c != 0 {
		return c < 0
	}
	if a.Workspace != b.Workspace {
		return a.Workspace < b.Workspace
	}
	return a.ID < b.ID
}

// newOrder returns an order whose shares are the prompt lengths, and its host.
func newOrder() (*Order, *plugintest.Host) {
	host := plugintest.NewHost(&kernel.View{})
	o := &Order{Share: byPrompt}
	o.Attach(host)
	o.Configure(content)
	return o, host
}

// ids returns the IDs of the waiting requests in the order of o.All.
func ids(o *Order) []ident.RequestID {
	var got []ident.RequestID
	for w := range o.All() {
		got = append(got, w.Request.ID)
	}
	return got
}

// TestAgainstNaive compares Order with the reference for random
// sequences of arrivals, placements, denied slots and ends of requests, and checks
// that no state remains after all requests have ended.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o, host := newOrder()
		ref := &reference{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			host.Time = host.Time.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1, 2:
				r := plugintest.Request(fmt.Sprintf("r%02d", step))
				r.Workspace = rapid.SampledFrom([]ident.Workspace{"a", "b", "c"}).Draw(t, "workspace")
				r.PromptTokens = rapid.IntRange(1, 4).Draw(t, "share")
				r.FirstOutputBy = host.Time.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "due")) * time.Second)
				w := &kernel.QueuedRequest{Request: r, Delivered: rapid.SampledFrom([]int{0, 0, 0, 7}).Draw(t, "delivered")}
				o.Add(w)
				ref.waiting = append(ref.waiting, w)
			case 3:
				ref.place(o, rapid.Bool().Draw(t, "placed"))
				ref.denied(o, rapid.Bool().Draw(t, "denied"))
			case 4:
				ref.end(o, rapid.SampledFrom([]kernel.Step{kernel.StepCompleted, kernel.StepFailed}).Draw(t, "how"))
			}
			assert.DeepEqual(t, ids(o), ref.all(host.Time))
			assert.Equal(t, o.Len(), len(ref.waiting))
		}
		for len(ref.running) > 0 {
			ref.end(o, kernel.StepCompleted)
		}
		for len(ref.waiting) > 0 {
			ref.place(o, false)
		}
		assert.Equal(t, len(o.states)+len(o.running)+len(o.waiting)+len(o.backlogged), 0, "state remains after all requests ended")
	})
}

// place removes the first waiting request from the queue, and starts it if placed
// is true.
func (ref *reference) place(o *Order, placed bool) {
	if len(ref.waiting) == 0 {
		return
	}
	r := ref.waiting[0].Request
	ref.waiting = ref.waiting[1:]
	o.Remove(r.ID)
	if placed {
		ref.running = append(ref.running, r)
		o.Observe(r, kernel.Record{Step: kernel.StepPlaced})
		// A request whose decode moves to another engine is placed again, but
		// must not be counted twice.
		o.Observe(r, kernel.Record{Step: kernel.StepPlaced})
	}
}

// denied removes the first waiting request from the queue while its slot is
// pending. If the argument denied is true, the slot is denied and the request
// returns to the queue; otherwise the request runs.
func (ref *reference) denied(o *Order, denied bool) {
	if len(ref.waiting) == 0 {
		return
	}
	w := ref.waiting[0]
	ref.waiting = ref.waiting[1:]
	o.Remove(w.Request.ID)
	o.Observe(w.Request, kernel.Record{Step: kernel.StepWaiting, Reason: kernel.ReasonSlotPending})
	if denied {
		o.Add(w)
		o.Observe(w.Request, kernel.Record{Step: kernel.StepWaiting, Reason: kernel.ReasonNoSlot})
		ref.waiting = append(ref.waiting, w)
		return
	}
	ref.running = append(ref.running, w.Request)
}

// end ends the first running request. The end is reported twice, and the second
// report must have no effect.
func (ref *reference) end(o *Order, how kernel.Step) {
	if len(ref.running) == 0 {
		return
	}
	r := ref.running[0]
	ref.running = ref.running[1:]
	o.Observe(r, kernel.Record{Step: how})
	o.Observe(r, kernel.Record{Step: how})
}

// TestServicesAreCountedApart checks that a call to a plain service does not count
// towards the workspace's share of the model engines: workspace a still comes
// before b.
func TestServicesAreCountedApart(t *testing.T) {
	o, _ := newOrder()
	call := plugintest.Request("call")
	call.Workspace, call.Service = "a", plugintest.Service
	o.Observe(call, kernel.Record{Step: kernel.StepCalled})
	for _, id := range []string{"a1", "b1"} {
		r := plugintest.Request(id)
		r.Workspace = ident.Workspace(id[:1])
		o.Add(&kernel.QueuedRequest{Request: r})
	}
	assert.DeepEqual(t, ids(o), []ident.RequestID{"a1", "b1"})
}

// TestStopsWhenAsked checks that an iteration can be ended early and that the next
// one starts again with all requests.
func TestStopsWhenAsked(t *testing.T) {
	o, _ := newOrder()
	for i := range 3 {
		o.Add(&kernel.QueuedRequest{Request: plugintest.Request(fmt.Sprint(i))})
	}
	for w := range o.All() {
		assert.Equal(t, w.Request.ID, ident.RequestID("0"))
		break
	}
	assert.Equal(t, len(ids(o)), 3)
}

// TestDueOrder compares the order of due.Queue with that of a sorted slice.
func TestDueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q due.Queue
		now := plugintest.Start.Add(2 * time.Second)
		var all []*kernel.QueuedRequest
		for i := range rapid.IntRange(0, 12).Draw(t, "n") {
			r := plugintest.Request(fmt.Sprintf("r%02d", i))
			r.FirstOutputBy = plugintest.Start.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "due")) * time.Second)
			w := &kernel.QueuedRequest{Request: r, Delivered: rapid.IntRange(0, 1).Draw(t, "delivered")}
			q.Add(w)
			all = append(all, w)
		}
		want := slices.Clone(all)
		slices.SortFunc(want, func(a, b *kernel.QueuedRequest) int {
			if comesBefore(a, b, nil, now) {
				return -1
			}
			return 1
		})
		assert.DeepEqual(t, slices.Collect(q.All(now)), want)
		for _, w := range all {
			q.Remove(w.Request.ID)
			q.Remove(w.Request.ID)
		}
		assert.Equal(t, q.Len(), 0)
	})
}

func BenchmarkAll(b *testing.B) {
	o, host := newOrder()
	for i := range 256 {
		r := plugintest.Request(fmt.Sprint(i))
		r.Workspace = ident.Workspace(fmt.Sprint("w", i%40))
		r.FirstOutputBy = host.Time.Add(time.Duration(i*7919%1000) * time.Millisecond)
		o.Add(&kernel.QueuedRequest{Request: r})
	}
	b.ReportAllocs()
	for b.Loop() {
		for range o.All() {
		}
	}
}
