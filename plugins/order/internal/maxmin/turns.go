package maxmin

import (
	"container/heap"
	"time"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/order/internal/due"
)

// busy is the list of workspaces that have requests waiting, in no particular
// order.
type busy []*space

// add appends a workspace.
func (b *busy) add(s *space) {
	s.at = len(*b)
	*b = append(*b, s)
}

// remove deletes a workspace by moving the last one to its index.
func (b *busy) remove(s *space) {
	last := len(*b) - 1
	moved := (*b)[last]
	(*b)[s.at] = moved
	moved.at = s.at
	(*b)[last] = nil
	*b = (*b)[:last]
}

// class is the priority of a request. It takes precedence over the shares of the
// workspaces; lower values are served first.
type class int

const (
	// resumed requests come first: their callers' streams are interrupted, and
	// the work done so far would be lost.
	resumed class = iota
	// intime requests can still meet their target for the first output.
	intime
	// late requests come last: they have already missed their target, and serving
	// them earlier would only delay others.
	late
)

// turn is the position of one workspace in an iteration over the queue.
type turn struct {
	space *space
	// late is the range of late requests in the workspace's queue.
	late due.Span
	// taken is the number of requests returned so far. share is the workspace's
	// share including these requests.
	taken int
	share float64
	// head is the next request to return; class and due belong to it.
	head  *kernel.Waiting
	class class
	due   time.Time
}

// turns iterates over the waiting requests of all workspaces, as if each request
// were placed when it is returned. It is a heap of the workspaces by the order in
// which they are served. The memory is reused by later iterations.
type turns struct {
	now time.Time
	// queue is the heap.
	queue []*turn
	// spare has unused turns for reuse.
	spare []*turn
}

// begin starts an iteration over the requests that are waiting in o.
func (t *turns) begin(o *Order) {
	t.now = o.host.Now()
	t.spare = append(t.spare, t.queue...)
	t.queue = t.queue[:0]
	for _, s := range o.busy {
		x := t.take()
		*x = turn{space: s, late: s.queue.Late(t.now), share: s.share}
		x.advance(t.now)
		t.queue = append(t.queue, x)
	}
	heap.Init(t)
}

// take returns an unused turn, and allocates one only if there is none.
func (t *turns) take() *turn {
	last := len(t.spare) - 1
	if last < 0 {
		return &turn{}
	}
	x := t.spare[last]
	t.spare = t.spare[:last]
	return x
}

// next returns the next request to be served, or nil if there are no more.
func (t *turns) next(o *Order) *kernel.Waiting {
	if len(t.queue) == 0 {
		return nil
	}
	x := t.queue[0]
	w := x.head
	x.taken++
	if x.taken == x.space.queue.Len() {
		t.spare = append(t.spare, heap.Pop(t).(*turn))
		return w
	}
	x.share += o.Share(w.Request) / x.space.weight
	x.advance(t.now)
	heap.Fix(t, 0)
	return w
}

// advance sets head to the workspace's next request.
func (x *turn) advance(now time.Time) {
	x.head = x.space.queue.At(x.taken, x.late)
	x.due = due.Time(x.head)
	x.class = intime
	if due.Resumed(x.head) {
		x.class = resumed
	}
	if due.Late(x.head, now) {
		x.class = late
	}
}

// before reports whether x is served before y. The keys are unique, so the order is
// total, and the same sequence of events always gives the same order.
func (x *turn) before(y *turn) bool {
	if x.class != y.class {
		return x.class < y.class
	}
	if x.share != y.share {
		return x.share < y.share
	}
	if c := x.due.Compare(y.due); c != 0 {
		return c < 0
	}
	a, b := x.space.key, y.space.key
	if a.workspace != b.workspace {
		return a.workspace < b.workspace
	}
	return a.service < b.service
}

// Len implements heap.Interface.
func (t *turns) Len() int { return len(t.queue) }

// Less implements heap.Interface.
func (t *turns) Less(i, j int) bool { return t.queue[i].before(t.queue[j]) }

// Swap implements heap.Interface.
func (t *turns) Swap(i, j int) { t.queue[i], t.queue[j] = t.queue[j], t.queue[i] }

// Push implements heap.Interface.
func (t *turns) Push(x any) { t.queue = append(t.queue, x.(*turn)) }

// Pop implements heap.Interface.
func (t *turns) Pop() any {
	last := len(t.queue) - 1
	x := t.queue[last]
	t.queue = t.queue[:last]
	return x
}
