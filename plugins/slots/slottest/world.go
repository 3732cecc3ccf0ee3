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

// Epoch is the start of virtual time.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Options describe a World.
type Options struct {
	Seed      uint64
	Instances int
	Engines   int
	// Zones is the number of zones, to which instances and engines are assigned
	// in turn. 0 stands for one zone.
	Zones int
	// Slots and Pieces are the limits of each engine.
	Slots, Pieces int
	Network       Network
	// Policy returns a new slot policy for an instance.
	Policy func() kernel.SlotPolicy
	// LoadEvery is the interval at which each instance reads each engine's load,
	// and LoadLag the age of the load that it reads. If LoadEvery is 0, loads
	// are not read.
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
	// upstreamIndex is an upstream's index in every view. It is the same for all
	// views: they list the same upstreams in the same order.
	upstreamIndex map[ident.UpstreamID]int
}

// NewWorld returns a world in which every instance sees all instances and
// engines as live.
func NewWorld(o Options) *World {
	w := &World{
		Rand:          rand.New(rand.NewPCG(o.Seed, o.Seed^0x5bd1e995)),
		Traffic:       Traffic{ByKind: map[string]int{}},
		options:       o,
		now:           Epoch,
		cuts:          map[link]bool{},
		upstreamIndex: map[ident.UpstreamID]int{},
	}
	for i := range o.Engines {
		w.upstreamIndex[w.upstreamID(i)] = i
		w.Engines = append(w.Engines, newEngine(w, w.upstreamID(i), o.Slots, o.Pieces))
	}
	view := w.initialView()
	for i := range o.Instances {
		w.Nodes = append(w.Nodes, newNode(w, i, view))
	}
	for _, n := range w.Nodes {
		n.scheduleWake()
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

// initialView returns the view with which all instances start.
func (w *World) initialView() kernel.View {
	v := kernel.View{Version: 1, Trusted: true}
	for i := range w.options.Instances {
		v.Instances = append(v.Instances, kernel.Instance{
			ID:          instanceID(i),
			Zone:        w.zone(i),
			Incarnation: 1,
			Liveness:    kernel.Live,
		})
	}
	for i, e := range w.Engines {
		v.Upstreams = append(v.Upstreams, kernel.Upstream{
			Index:       i,
			ID:          e.ID,
			Zone:        w.zone(i),
			Incarnation: 1,
			Liveness:    kernel.Live,
			Spec:        config.Upstream{ID: e.ID, Role: config.RoleDecode, Slots: e.Slots, Pieces: e.Pieces},
		})
	}
	return v
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// After schedules do to run after the given virtual time.
func (w *World) After(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, do: do})
}

// Run advances virtual time by d and runs all events that are due by then. It
// panics if a policy asks to be woken again and again without time passing.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	stalled := 0
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		stalled++
		if e.at.Sub(w.now) > time.Millisecond {
			stalled = 0
		}
		if stalled > maxStalledEvents {
			panic("slottest: virtual time does not advance: a policy asks to be woken repeatedly")
		}
		w.now = e.at
		e.do()
	}
	w.now = end
}

// maxStalledEvents is the number of events, each within a millisecond of the one
// before, above which Run assumes an endless loop.
const maxStalledEvents = 1_000_000

// watchLoads makes an instance read the load of every engine once per LoadEvery,
// from a random start.
func (w *World) watchLoads(n *Node) {
	if w.options.LoadEvery == 0 {
		return
	}
	for _, e := range w.Engines {
		first := time.Duration(w.Rand.Int64N(int64(w.options.LoadEvery)))
		w.After(first, func() { w.readLoad(n, e) })
	}
}

// readLoad gives an instance an engine's load as of LoadLag ago and schedules
// the next reading.
func (w *World) readLoad(n *Node, e *Engine) {
	if n.killed {
		return
	}
	n.runEvent(func() { n.ReceiveLoad(e.ID, e.loadBefore(w.now.Add(-w.options.LoadLag))) })
	w.After(w.options.LoadEvery, func() { w.readLoad(n, e) })
}

// event is a function scheduled for a virtual time.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

// events is a heap of events, by time and then by the order in which they were
// scheduled.
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
