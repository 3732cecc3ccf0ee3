// Package maxmin serves first the workspace whose running requests are the
// smallest share of the engines, divided by its weight. The queue orders that
// share engines between workspaces differ in how they count a request's share.
package maxmin

import (
	"iter"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/order/internal/due"
)

// Order implements kernel.QueueOrder but for its name, and kernel.Observer.
type Order struct {
	// Share is the share of the engines that one request holds while it runs.
	Share func(r *kernel.Request) float64
	// Completed, if set, is told for how long a request held its share.
	Completed func(r *kernel.Request, held time.Duration)

	host    kernel.Host
	weights map[ident.Workspace]float64
	spaces  map[spaceKey]*space
	busy    busy
	waiting map[ident.RequestID]*space
	running map[ident.RequestID]held
	turns   turns
}

// spaceKey names one workspace's use of one kind of engines: the model engines
// together, since many serve several models, or those of one plain service.
type spaceKey struct {
	workspace ident.Workspace
	service   string
}

// space is one workspace's requests. It is dropped when there are none.
type space struct {
	key    spaceKey
	weight float64
	queue  due.Queue
	// share is that of the running requests, divided by the weight.
	share   float64
	running int
	// at is the workspace's index in busy.
	at int
}

// held is the share that one running request holds.
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

// Configure implements kernel.Configurer. A new weight counts for the requests
// placed from then on.
func (o *Order) Configure(c *config.Content) {
	o.weights = make(map[ident.Workspace]float64, len(c.Workspaces))
	for _, w := range c.Workspaces {
		o.weights[w.Name] = w.Weight
	}
	for _, s := range o.spaces {
		s.weight = o.weight(s.key.workspace)
	}
}

// weight returns a workspace's weight, 1 where none is declared.
func (o *Order) weight(w ident.Workspace) float64 {
	if weight := o.weights[w]; weight > 0 {
		return weight
	}
	return 1
}

// space returns the entry that a request is counted in.
func (o *Order) space(r *kernel.Request) *space {
	key := spaceKey{workspace: r.Workspace, service: r.Service}
	s, ok := o.spaces[key]
	if !ok {
		s = &space{key: key, weight: o.weight(r.Workspace)}
		o.spaces[key] = s
	}
	return s
}

// drop forgets a workspace that has no requests.
func (o *Order) drop(s *space) {
	if s.running == 0 && s.queue.Len() == 0 {
		delete(o.spaces, s.key)
	}
}

// Add implements kernel.QueueOrder. What waits here holds nothing, also when
// its slot was denied after it had been awaited.
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

// All implements kernel.QueueOrder.
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

// Served implements kernel.QueueOrder. The order counts what requests hold
// while they hold it, so there is nothing to charge afterwards.
func (*Order) Served(*kernel.Request, float64) {}

// Observe implements kernel.Observer: a request holds its share from when its
// decode slot is asked for or reserved to its end.
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

// start counts a request as running, once.
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

// completed tells how long a request held its share.
func (o *Order) completed(r *kernel.Request) {
	h, ok := o.running[r.ID]
	if ok && o.Completed != nil {
		o.Completed(r, o.host.Now().Sub(h.since))
	}
}

// end uncounts a request, if it was counted.
func (o *Order) end(id ident.RequestID) {
	h, ok := o.running[id]
	if !ok {
		return
	}
	delete(o.running, id)
	h.space.running--
	h.space.share -= h.share
	if h.space.running == 0 {
		// Sums of fractions do not cancel exactly.
		h.space.share = 0
	}
	o.drop(h.space)
}
