package order_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// tokenTime is the time per output token of a decode engine. prefillRate is the
// rate of a prefill engine in prompt tokens per second.
const (
	tokenTime   = 30 * time.Millisecond
	prefillRate = 20_000.0
)

// piecesPerSlot is the KV memory of a decode engine in pieces, per slot.
const piecesPerSlot = 6

// maxPrefillWait is the maximum queueing time at a prefill engine. While it is
// exceeded at all engines, no request is placed.
const maxPrefillWait = 250 * time.Millisecond

// engine is a simulated decode engine with slots and KV memory.
type engine struct {
	models []string
	slots  int
	// busy is the number of slots, and pieces the memory in pieces, in use.
	busy, pieces int
}

// limit returns the size of the engine's KV memory in pieces.
func (e *engine) limit() int { return piecesPerSlot * e.slots }

// workload describes one workspace and the requests that it sends.
type workload struct {
	name   ident.Workspace
	weight float64
	// models are the models that requests are sent to, with equal probability.
	models []string
	// perSecond is the mean rate of requests.
	perSecond float64
	// prompt is the prompt length in tokens.
	prompt int
	// output is the mean length of the actual output in tokens. declared is
	// max_tokens as a multiple of the actual output.
	output   int
	declared float64
	// splitInto is the number of shorter requests into which each request is split;
	// 0 and 1 mean that requests are not split.
	splitInto int
	// target is the required time to first output.
	target time.Duration
}

// result has the totals of one workspace over a run. A request is in time if its
// first output meets the target; other requests are refused.
type result struct {
	// offered is the number of requests sent, and inTime of those served in time.
	offered, inTime int
	// seconds is the engine time used by the requests served in time.
	seconds float64
	// tokens is the number of output tokens of the requests served in time.
	tokens int
}

// cluster simulates a set of engines with one queue order in virtual time.
type cluster struct {
	t       *testing.T
	host    *plugintest.Host
	order   kernel.QueueOrder
	engines []engine
	// prefills has the time at which each prefill engine will be idle. Prefill
	// engines serve all models.
	prefills []time.Time
	random   *rand.Rand
	events   events
	results  map[ident.Workspace]*result
	// jobs has the actual work of each request, by its ID.
	jobs map[ident.RequestID]job
	// lastNumber is the last number used for an event or a request.
	lastNumber int
	// nextWakeup is the time of the scheduled wake-up; none is scheduled if it
	// is not in the future.
	nextWakeup time.Time
}

// job is the actual work of a request, whatever it declares.
type job struct {
	request *kernel.Request
	// tokens is the length of the output.
	tokens int
	// seconds is the time for prefill and decode.
	seconds float64
}

// event is a completion if engine is set, an arrival if workload is set, and
// otherwise a wake-up at which placements are tried again.
type event struct {
	at time.Time
	// sequence is the order of events that have the same time.
	sequence int
	workload *workload
	engine   *engine
	request  *kernel.Request
}

// events is a heap of events in order of time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newCluster returns an idle cluster for the scenario with the given queue order.
func newCluster(t *testing.T, id plugin.ID, s scenario, seed uint64) *cluster {
	t.Helper()
	p, err := plugin.Load(id, nil)
	assert.NilError(t, err)
	host := plugintest.NewHost(&kernel.View{})
	content := &config.Content{}
	for i := range s.prefills {
		content.Upstreams = append(content.Upstreams, config.Upstream{
			ID: ident.UpstreamID(fmt.Sprint("p", i)), Role: config.RolePrefill,
			PrefillTokensPerSecond: prefillRate,
		})
	}
	for i, e := range s.engines {
		content.Upstreams = append(content.Upstreams, config.Upstream{
			ID: ident.UpstreamID(fmt.Sprint(i)), Role: config.RoleDecode,
			Models: e.models, Slots: e.slots, Pieces: e.limit(),
		})
	}
	models := map[string]bool{}
	for _, c := range s.workloads {
		content.Workspaces = append(content.Workspaces, config.Workspace{Name: c.name, Weight: c.weight})
		for _, m := range c.models {
			if !models[m] {
				models[m] = true
				content.Models = append(content.Models, config.Model{Name: m, PieceTokens: 2000})
			}
		}
	}
	host.Bundle = content
	order := p.(kernel.QueueOrder)
	order.Attach(host)
	if c, ok := p.(kernel.Configurer); ok {
		c.Configure(content)
	}
	return &cluster{
		t: t, host: host, order: order,
		engines:  append([]engine(nil), s.engines...),
		prefills: make([]time.Time, s.prefills),
		random:   rand.New(rand.NewPCG(seed, 7)),
		results:  map[ident.Workspace]*result{},
		jobs:     map[ident.RequestID]job{},
	}
}

// run simulates the workloads for the given time and until all requests have
// ended, and returns the totals by workspace.
func (c *cluster) run(workloads []workload, length time.Duration) map[ident.Workspace]*result {
	for i := range workloads {
		c.results[workloads[i].name] = &result{}
		c.schedule(event{at: c.nextArrival(&workloads[i]), workload: &workloads[i]})
	}
	end := plugintest.Start.Add(length)
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.host.Time = e.at
		switch {
		case e.engine != nil:
			c.complete(e)
		case e.workload != nil && e.at.Before(end):
			c.arrive(e.workload)
			c.schedule(event{at: c.nextArrival(e.workload), workload: e.workload})
		}
		c.place()
	}
	assert.Equal(c.t, c.order.Len(), 0)
	return c.results
}

// schedule adds an event.
func (c *cluster) schedule(e event) {
	c.lastNumber++
	e.sequence = c.lastNumber
	heap.Push(&c.events, e)
}

// nextArrival returns a random time for the next arrival. Arrivals are a
// Poisson process.
func (c *cluster) nextArrival(load *workload) time.Time {
	return c.host.Time.Add(time.Duration(c.random.ExpFloat64() / load.perSecond * 1e9))
}

// arrive adds a request of the workspace to the queue, or several if the workspace
// splits its requests. The output length is 20 tokens plus an exponentially
// distributed number of tokens.
func (c *cluster) arrive(load *workload) {
	model := load.models[c.random.IntN(len(load.models))]
	tokens := 20 + int(c.random.ExpFloat64()*float64(load.output-20))
	parts := max(load.splitInto, 1)
	for range parts {
		c.lastNumber++
		r := &kernel.Request{
			ID: ident.RequestID(fmt.Sprintf("r%07d", c.lastNumber)), Workspace: load.name,
			Route: config.RouteModel, Model: model, PromptTokens: load.prompt / parts,
			MaxOutputTokens: int(float64(tokens/parts) * max(load.declared, 1)),
			Arrived:         c.host.Time,
			FirstOutputBy:   c.host.Time.Add(load.target),
			Deadline:        c.host.Time.Add(time.Minute),
		}
		seconds := float64(r.PromptTokens)/prefillRate + float64(tokens/parts)*tokenTime.Seconds()
		c.jobs[r.ID] = job{request: r, tokens: tokens / parts, seconds: seconds}
		c.results[load.name].offered++
		c.order.Add(&kernel.QueuedRequest{Request: r, Since: c.host.Time})
	}
}

// place starts, in queue order, all requests for which there is capacity, and
// refuses those that can no longer meet their target.
func (c *cluster) place() {
	var waiting []*kernel.QueuedRequest
	for w := range c.order.All() {
		waiting = append(waiting, w)
	}
	for _, w := range waiting {
		prefill := c.firstIdlePrefill()
		wait := max(prefill.Sub(c.host.Time), 0)
		took := time.Duration(float64(w.Request.PromptTokens) / prefillRate * 1e9)
		if c.host.Time.Add(took + wait).After(w.Request.FirstOutputBy) {
			c.order.Remove(w.Request.ID)
			c.observe(w.Request, kernel.StepRefused)
			continue
		}
		e := c.leastLoaded(w.Request)
		if e == nil || wait > maxPrefillWait {
			continue
		}
		*prefill = c.host.Time.Add(wait + took)
		c.order.Remove(w.Request.ID)
		c.start(w.Request, e, wait)
	}
	if len(waiting) > 0 {
		c.scheduleWakeup()
	}
}

// scheduleWakeup schedules a wake-up for the time at which a prefill engine can
// next accept a request, unless an earlier one is scheduled.
func (c *cluster) scheduleWakeup() {
	at := c.firstIdlePrefill().Add(-maxPrefillWait)
	pending := c.nextWakeup.After(c.host.Time) && !c.nextWakeup.After(at)
	if at.After(c.host.Time) && !pending {
		c.nextWakeup = at
		c.schedule(event{at: at})
	}
}

// firstIdlePrefill returns the entry of the prefill engine that will be idle first.
func (c *cluster) firstIdlePrefill() *time.Time {
	best := &c.prefills[0]
	for i := range c.prefills {
		if c.prefills[i].Before(*best) {
			best = &c.prefills[i]
		}
	}
	return best
}

// leastLoaded returns the decode engine with the fewest busy slots among those
// that serve the request's model and have a free slot and enough memory, or nil
// if there is none.
func (c *cluster) leastLoaded(r *kernel.Request) *engine {
	var best *engine
	for i := range c.engines {
		e := &c.engines[i]
		if e.busy == e.slots || e.pieces+r.Pieces(2000) > e.limit() || !slices.Contains(e.models, r.Model) {
			continue
		}
		if best == nil || e.busy < best.busy {
			best = e
		}
	}
	return best
}

// start runs a request on the decode engine e, after it has waited for its prefill,
// and counts it as served in time.
func (c *cluster) start(r *kernel.Request, e *engine, wait time.Duration) {
	e.busy++
	e.pieces += r.Pieces(2000)
	j := c.jobs[r.ID]
	c.observe(r, kernel.StepPlaced)
	c.schedule(event{at: c.host.Time.Add(wait + time.Duration(j.seconds*1e9)), engine: e, request: r})
	got := c.results[r.Workspace]
	got.inTime++
	got.seconds += j.seconds
	got.tokens += j.tokens
}

// complete releases the resources of a completed request.
func (c *cluster) complete(e event) {
	e.engine.busy--
	e.engine.pieces -= e.request.Pieces(2000)
	c.order.Served(e.request, c.jobs[e.request.ID].seconds)
	c.observe(e.request, kernel.StepCompleted)
}

// observe reports a step of a request to the queue order if it is an observer.
func (c *cluster) observe(r *kernel.Request, step kernel.Step) {
	if o, ok := c.order.(kernel.Observer); ok {
		o.Observe(r, kernel.Record{Time: c.host.Time, Step: step})
	}
}
