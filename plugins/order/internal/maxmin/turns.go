package maxmin

import (
	"container/heap"
	"time"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/order/internal/due"
)

// backloggedList is the list of workspaces that have requests waiting, in no
// particular order.
type backloggedList []*workspaceState

// add appends a workspace.
func (b *backloggedList) add(s *workspaceState) {
	s.backloggedIndex = len(*b)
	*b = append(*b, s)
}

// remove deletes a workspace by moving the last one to its index.
func (b *backloggedList) remove(s *workspaceState) {
	last := len(*b) - 1
	moved := (*b)[last]
	(*b)[s.backloggedIndex] = moved
	moved.backloggedIndex = s.backloggedIndex
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
	// inTime requests can still meet their target for the first output.
	inTime
	// late requests come last: they have already missed their target, and serving
	// them earlier would only delay others.
	late
)

// cursor is the position of one workspace in an iteration over the queue.
type cursor struct {
	state *workspaceState
	// late is the range of late requests in the workspace's queue.
	late due.Span
	// returned is the number of requests returned so far. share is the workspace's
	// share including these requests.
	returned int
	share    float64
	// head is the next request to return; class and due belong to it.
	head  *kernel.QueuedRequest
	class class
	due   time.Time
}

// iteration iterates over the waiting requests of all workspaces, as if each
// request were placed when it is returned. It is a heap of the workspaces by
// the order in which they are served. The memory is reused by later iterations.
type iteration struct {
	now time.Time
	// heap has the cursors of workspaces with requests that were not returned yet.
	// It is maintained with package container/heap.
	heap []*cursor
	// unused has cursors that later iterations reuse.
	unused []*cursor
}

// begin starts an iteration over the requests that are waiting in o.
func (it *iteration) begin(o *Order) {
	it.now = o.host.Now()
	it.unused = append(it.unused, it.heap...)
	it.heap = it.heap[:0]
	for _, s := range o.backlogged {
		x := it.newCursor()
		*x = cursor{state: s, late: s.queue.Late(it.now), share: s.share}
		x.advance(it.now)
		it.heap = append(it.heap, x)
	}
	heap.Init(it)
}

// newCursor returns an unused cursor, and allocates one only if there is none.
func (it *iteration) newCursor() *cursor {
	last := len(it.unused) - 1
	if last < 0 {
		return &cursor{}
	}
	x := it.unused[last]
	it.unused = it.unused[:last]
	return x
}

// next returns the next request to be served, or nil if there are no more.
func (it *iteration) next(o *Order) *kernel.QueuedRequest {
	if len(it.heap) == 0 {
		return nil
	}
	x := it.heap[0]
	w := x.head
	x.returned++
	if x.returned == x.state.queue.Len() {
		it.unused = append(it.unused, heap.Pop(it).(*cursor))
		return w
	}
	x.share += o.Share(w.Request) / x.state.weight
	x.advance(it.now)
	heap.Fix(it, 0)
	return w
}

// advance sets head to the workspace's next request.
func (x *cursor) advance(now time.Time) {
	x.head = x.state.queue.At(x.returned, x.late)
	x.due = due.Time(x.head)
	x.class = inTime
	if due.Resumed(x.head) {
		x.class = resumed
	}
	if due.Late(x.head, now) {
		x.class = late
	}
}

// before reports whether x is served before y. The keys are unique, so the order is
// total, and the same sequence of events always gives the same order.
func (x *cursor) before(y *cursor) bool {
	if x.class != y.class {
		return x.class < y.class
	}
	if x.share != y.share {
		return x.share < y.share
	}
	if c := x.due.Compare(y.due); c != 0 {
		return c < 0
	}
	a, b := x.state.key, y.state.key
	if a.workspace != b.workspace {
		return a.workspace < b.workspace
	}
	return a.service < b.service
}

// Len implements heap.Interface.
func (it *iteration) Len() int { return len(it.heap) }

// Less implements heap.Interface.
func (it *iteration) Less(i, j int) bool { return it.heap[i].before(it.heap[j]) }

// Swap implements heap.Interface.
func (it *iteration) Swap(i, j int) { it.heap[i], it.heap[j] = it.heap[j], it.heap[i] }

// Push implements heap.Interface.
func (it *iteration) Push(x any) { it.heap = append(it.heap, x.(*cursor)) }

// Pop implements heap.Interface.
func (it *iteration) Pop() any {
	last := len(it.heap) - 1
	x := it.heap[last]
	it.heap = it.heap[:last]
	return x
}
