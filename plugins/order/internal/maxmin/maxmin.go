// Package maxmin implements weighted max-min fairness between workspaces. The
// workspace whose running requests hold the smallest share of the engines, divided
// by its weight, is served first. The queue orders that are based on this package
// differ only in the function that computes the share of a request.
package maxmin

import (
	"iter"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/order/internal/due"
)

// Order implements kernel.Observer and the methods of kernel.QueueOrder except
// PluginInfo, which the embedding plug-in provides.
type Order struct {
	// Share returns the share of the engines that a request holds while it runs.
	Share func(r *kernel.Request) float64
	// Completed, if not nil, is called when a request completes, with the time
	// for which it held its share.
	Completed func(r *kernel.Request, held time.Duration)

	host    kernel.Host
	weights map[ident.Workspace]float64
	states  map[stateKey]*workspaceState
	// backlogged has the workspaces that have requests waiting.
	backlogged backloggedList
	waiting    map[ident.RequestID]*workspaceState
	running    map[ident.RequestID]heldShare
	iteration  iteration
}

// stateKey identifies the requests of one workspace to one group of engines. All
// model engines form a single group, because many of them serve several models.
// The upstreams of each plain service form a group of their own.
type stateKey struct {
	workspace ident.Workspace
	// service is empty for requests to models.
	service string
}

// workspaceState is the state of one workspace's requests to one group of
// engines. It is deleted when no request is waiting or running.
type workspaceState struct {
	key    stateKey
	weight float64
	queue  due.Queue
	// share is the total share of the running requests, divided by the weight.
	share   float64
	running int
	// backloggedIndex is the index in Order.backlogged while requests are waiting.
	backloggedIndex int
}

// heldShare is the share that one running request holds. The share is divided
// by the workspace's weight at the start of the request.
type heldShare struct {
	state *workspaceState
	share float64
	since time.Time
}

// Attach implements kernel.Attacher.
func (o *Order) Attach(h kernel.Host) {
	o.host = h
	o.states = map[stateKey]*workspaceState{}
	o.waiting = map[ident.RequestID]*workspaceState{}
	o.running = map[ident.RequestID]heldShare{}
}

// Configure implements kernel.Configurer. A new weight applies to requests that
// are placed after the change.
func (o *Order) Configure(c *config.Content) {
	o.weights = make(map[ident.Workspace]float64, len(c.Workspaces))
	for _, w := range c.Workspaces {
		o.weights[w.Name] = w.Weight
	}
	for _, s := range o.states {
		s.weight = o.weight(s.key.workspace)
	}
}

// weight returns the weight of a workspace, or 1 if the bundle declares none.
func (o *Order) weight(w ident.Workspace) float64 {
	if weight := o.weights[w]; weight > 0 {
		return weight
	}
	return 1
}

// state returns the state to which a request belongs, and creates it if necessary.
func (o *Order) state(r *kernel.Request) *workspaceState {
	key := stateKey{workspace: r.Workspace, service: r.Service}
	s, ok := o.states[key]
	if !ok {
		s = &workspaceState{key: key, weight: o.weight(r.Workspace)}
		o.states[key] = s
	}
	return s
}

// deleteIfEmpty deletes s if it has no waiting and no running requests.
func (o *Order) deleteIfEmpty(s *workspaceState) {
	if s.running == 0 && s.queue.Len() == 0 {
		delete(o.states, s.key)
	}
}

// Add implements kernel.QueueOrder. A waiting request holds no share. Add therefore
// also releases the share of a request that returns to the queue because the slot
// that it was waiting for was denied.
func (o *Order) Add(w *kernel.QueuedRequest) {
	o.release(w.Request.ID)
	s := o.state(w.Request)
	if s.queue.Len() == 0 {
		o.backlogged.add(s)
	}
	s.queue.Add(w)
	o.waiting[w.Request.ID] = s
}

// Remove implements kernel.QueueOrder.
func (o *Order) Remove(id ident.RequestID) {
	s, ok := o.waiting[id]
	if !ok {
		return
	}
	delete(o.waiting, id)
	s.queue.Remove(id)
	if s.queue.Len() == 0 {
		o.backlogged.remove(s)
		o.deleteIfEmpty(s)
	}
}

// Len implements kernel.QueueOrder.
func (o *Order) Len() int { return len(o.waiting) }

// All implements kernel.QueueOrder. It yields the requests as if each were placed
// when it is yielded, so that its share counts for those that follow.
func (o *Order) All() iter.Seq[*kernel.QueuedRequest] {
	return func(yield func(*kernel.QueuedRequest) bool) {
		o.iteration.begin(o)
		for w := o.iteration.next(o); w != nil; w = o.iteration.next(o) {
			if !yield(w) {
				return
			}
		}
	}
}

// Served implements kernel.QueueOrder. It does nothing: shares are counted while
// requests hold them, so there is no usage to account for afterwards.
func (*Order) Served(*kernel.Request, float64) {}

// Observe implements kernel.Observer. A request holds its share from the time at
// which its decode slot is requested or reserved until it ends.
func (o *Order) Observe(r *kernel.Request, rec kernel.Record) {
	switch rec.Step {
	case kernel.StepWaiting:
		if rec.Reason == kernel.ReasonSlotPending {
			o.start(r)
		}
	case kernel.StepPlaced, kernel.StepCalled:
		o.start(r)
	case kernel.StepCompleted:
		o.completed(r)
		o.release(r.ID)
	case kernel.StepRetrying, kernel.StepResuming, kernel.StepRefused,
		kernel.StepCancelled, kernel.StepFailed:
		o.release(r.ID)
	}
}

// start adds the request's share to its workspace. It does nothing if the request
// is already counted as running.
func (o *Order) start(r *kernel.Request) {
	if _, counted := o.running[r.ID]; counted {
		return
	}
	s := o.state(r)
	share := o.Share(r) / s.weight
	s.share += share
	s.running++
	o.running[r.ID] = heldShare{state: s, share: share, since: o.host.Now()}
}

// completed calls Order.Completed with the time for which the request held its
// share.
func (o *Order) completed(r *kernel.Request) {
	h, ok := o.running[r.ID]
	if ok && o.Completed != nil {
		o.Completed(r, o.host.Now().Sub(h.since))
	}
}

// release releases the share of a request. It does nothing if the request is not
// counted as running.
func (o *Order) release(id ident.RequestID) {
	h, ok := o.running[id]
	if !ok {
		return
	}
	delete(o.running, id)
	h.state.running--
	h.state.share -= h.share
	if h.state.running == 0 {
		// Rounding errors would otherwise remain: adding and subtracting
		// floating-point fractions does not cancel exactly.
		h.state.share = 0
	}
	o.deleteIfEmpty(h.state)
}
