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
	spaces  map[spaceKey]*space
	// busy has the workspaces that have requests waiting.
	busy    busy
	waiting map[ident.RequestID]*space
	running map[ident.RequestID]held
	turns   turns
}

// spaceKey identifies the requests of one workspace to one group of engines. All
// model engines form a single group, because many of them serve several models.
// The upstreams of each plain service form a group of their own.
type spaceKey struct {
	workspace ident.Workspace
	// service is empty for requests to models.
	service string
}

// space is the state of one workspace's requests to one group of engines. It is
// deleted when no request is waiting or running.
type space struct {
	key    spaceKey
	weight float64
	queue  due.Queue
	// share is the total share of the running requests, divided by the weight.
	share   float64
	running int
	// at is the index in Order.busy while requests are waiting.
	at int
}

// held is the share that one running request holds. The share is divided by the
// workspace's weight at the start of the request.
type held struct {
	space *space
	share float64
	since time.Time
}

// Attach implements kernel.Attacher.
func (o *Order) Attach(h kernel.Host) {
	o.host = h
	o.spaces = map[spaceKey]*space{}
	o.waiting = map[ident.RequestID]*space{}
	o.running = map[ident.RequestID]held{}
}

// Configure implements kernel.Configurer. A new weight applies to requests that
// are placed after the change.
func (o *Order) Configure(c *config.Content) {
	o.weights = make(map[ident.Workspace]float64, len(c.Workspaces))
	for _, w := range c.Workspaces {
		o.weights[w.Name] = w.Weight
	}
	for _, s := range o.spaces {
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

// space returns the state to which a request belongs, and creates it if necessary.
func (o *Order) space(r *kernel.Request) *space {
	key := spaceKey{workspace: r.Workspace, service: r.Service}
	s, ok := o.spaces[key]
	if !ok {
		s = &space{key: key, weight: o.weight(r.Workspace)}
		o.spaces[key] = s
	}
	return s
}

// drop deletes s if it has no waiting and no running requests.
func (o *Order) drop(s *space) {
	if s.running == 0 && s.queue.Len() == 0 {
		delete(o.spaces, s.key)
	}
}

// Add implements kernel.QueueOrder. A waiting request holds no share. Add therefore
// also releases the share of a request that returns to the queue because the slot
// that it was waiting for was denied.
func (o *Order) Add(w *kernel.Waiting) {
	o.end(w.Request.ID)
	s := o.space(w.Request)
	if s.queue.Len() == 0 {
		o.busy.add(s)
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
		o.busy.remove(s)
		o.drop(s)
	}
}

// Len implements kernel.QueueOrder.
func (o *Order) Len() int { return len(o.waiting) }

// All implements kernel.QueueOrder. It yields the requests as if each were placed
// when it is yielded, so that its share counts for those that follow.
func (o *Order) All() iter.Seq[*kernel.Waiting] {
	return func(yield func(*kernel.Waiting) bool) {
		o.turns.begin(o)
		for w := o.turns.next(o); w != nil; w = o.turns.next(o) {
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
		o.end(r.ID)
	case kernel.StepRetrying, kernel.StepResuming, kernel.StepRefused,
		kernel.StepCancelled, kernel.StepFailed:
		o.end(r.ID)
	}
}

// start adds the request's share to its workspace. It does nothing if the request
// is already counted as running.
func (o *Order) start(r *kernel.Request) {
	if _, counted := o.running[r.ID]; counted {
		return
	}
	s := o.space(r)
	share := o.Share(r) / s.weight
	s.share += share
	s.running++
	o.running[r.ID] = held{space: s, share: share, since: o.host.Now()}
}

// completed calls Order.Completed with the time for which the request held its
// share.
func (o *Order) completed(r *kernel.Request) {
	h, ok := o.running[r.ID]
	if ok && o.Completed != nil {
		o.Completed(r, o.host.Now().Sub(h.since))
	}
}

// end releases the share of a request. It does nothing if the request is not
// counted as running.
func (o *Order) end(id ident.RequestID) {
	h, ok := o.running[id]
	if !ok {
		return
	}
	delete(o.running, id)
	h.space.running--
	h.space.share -= h.share
	if h.space.running == 0 {
		// Rounding errors would otherwise remain: adding and subtracting
		// floating-point fractions does not cancel exactly.
		h.space.share = 0
	}
	o.drop(h.space)
}
