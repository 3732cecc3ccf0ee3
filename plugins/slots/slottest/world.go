package slottest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Epoch is when virtual time begins.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Options describe a world.
type Options struct {
	Seed      uint64
	Instances int
	Engines   int
	// Zones is the number of zones over which instances and engines are spread
	// in turn; 0 is one zone.
	Zones int
	// Slots and Pieces are each engine's.
	Slots, Pieces int
	Network       Network
	// Policy makes each instance's slot policy.
	Policy func() kernel.SlotPolicy
	// LoadEvery and LoadLag say how often each instance reads an engine's load
	// and how old what it reads is. 0 leaves out the reading.
	LoadEvery, LoadLag time.Duration
}

// World is a set of instances and engines in virtual time.
type World struct {
	Rand    *rand.Rand
	Nodes   []*Node
	Engines []*Engine
	Traffic Traffic

	options Options
	now     time.Time
	events  events
	order   uint64
	cuts    map[link]bool
	// places finds an upstream in any view: views differ only in instances and
	// in what they say of the upstreams.
	places map[ident.UpstreamID]int
}

// NewWorld makes a world in which all instances see each other and all engines
// live.
func NewWorld(o Options) *World {
	w := &World{
		Rand:    rand.New(rand.NewPCG(o.Seed, o.Seed^0x5bd1e995)),
		Traffic: Traffic{ByKind: map[string]int{}},
		options: o,
		now:     Epoch,
		cuts:    map[link]bool{},
		places:  map[ident.UpstreamID]int{},
	}
	for i := range o.Engines {
		w.places[w.upstreamID(i)] = i
		w.Engines = append(w.Engines, newEngine(w, w.upstreamID(i), o.Slots, o.Pieces))
	}
	view := w.firstView()
	for i := range o.Instances {
		w.Nodes = append(w.Nodes, newNode(w, i, view))
	}
	for _, n := range w.Nodes {
		n.wake()
		w.watchLoads(n)
	}
	return w
}

func (w *World) upstreamID(i int) ident.UpstreamID {
	return ident.UpstreamID(fmt.Sprintf("decode-%d", i+1))
}

func (w *World) zone(i int) ident.Zone {
	return ident.Zone(fmt.Sprintf("hall-%d", i%max(w.options.Zones, 1)+1))
}

func (w *World) firstView() kernel.View {
	v := kernel.View{Version: 1, Trusted: true}
	for i := range w.options.Instances {
		v.Instances = append(v.Instances, kernel.Instance{
			ID:          instanceID(i),
			Zone:        w.zone(i),
			Incarnation: 1,
			Life:        kernel.Live,
		})
	}
	for i, e := range w.Engines {
		v.Upstreams = append(v.Upstreams, kernel.Upstream{
			Index:       i,
			ID:          e.ID,
			Zone:        w.zone(i),
			Incarnation: 1,
			Life:        kernel.Live,
			Spec:        config.Upstream{ID: e.ID, Role: config.RoleDecode, Slots: e.Slots, Pieces: e.Pieces},
		})
	}
	return v
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// After does something at a later virtual time.
func (w *World) After(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, do: do})
}

// Run lets virtual time pass.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	same := 0
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		same++
		if e.at.Sub(w.now) > time.Millisecond {
			same = 0
		}
		if same > maxBusy {
			panic("slottest: time does not pass: a policy asks to be woken again and again")
		}
		w.now = e.at
		e.do()
	}
	w.now = end
}

// maxBusy is the number of events, each within a millisecond of the one before,
// that shows a loop.
const maxBusy = 1_000_000

// watchLoads lets an instance read all engines' loads again and again.
func (w *World) watchLoads(n *Node) {
	if w.options.LoadEvery == 0 {
		return
	}
	for _, e := range w.Engines {
		first := time.Duration(w.Rand.Int64N(int64(w.options.LoadEvery)))
		w.After(first, func() { w.readLoad(n, e) })
	}
}

func (w *World) readLoad(n *Node, e *Engine) {
	if n.killed {
		return
	}
	n.do(func() { n.SeeLoad(e.ID, e.loadBefore(w.now.Add(-w.options.LoadLag))) })
	w.After(w.options.LoadEvery, func() { w.readLoad(n, e) })
}

// event is something that will happen.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

// events is a heap of events by time and order.
type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
