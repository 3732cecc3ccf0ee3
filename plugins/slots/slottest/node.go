package slottest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// Node is a fake entry instance: a slot policy together with the kernel.Host
// that the policy uses.
type Node struct {
	Policy kernel.SlotPolicy
	// Granted and Denied are called when a pending reservation is answered.
	Granted func(id ident.AttemptID)
	Denied  func(id ident.AttemptID, retryAt time.Time)
	// AfterEvent is called at the end of each event of the node.
	AfterEvent func()
	// Silent drops all messages that the policy sends.
	Silent bool

	world    *World
	self     kernel.Self
	view     kernel.View
	rand     *rand.Rand
	sequence uint64
	killed   bool
	frozen   bool
	// missed are the events that arrived while the node was frozen. Thaw handles
	// them.
	missed []func()
	wakeAt time.Time
}

func instanceID(i int) ident.InstanceID {
	return ident.InstanceID(fmt.Sprintf("entry-%d", i+1))
}

func newNode(w *World, i int, view kernel.View) *Node {
	n := &Node{
		world: w,
		self:  kernel.Self{Instance: instanceID(i), Incarnation: 1, Zone: w.zone(i)},
		view:  cloneView(view),
		rand:  rand.New(rand.NewPCG(w.options.Seed, uint64(i)+1)),
	}
	n.start()
	return n
}

// start creates a new policy for the node.
func (n *Node) start() {
	n.Policy = n.world.options.Policy()
	if p, ok := n.Policy.(plugin.Provisioner); ok {
		if err := p.Provision(); err != nil {
			panic(fmt.Sprintf("slottest: provision slot policy: %v", err))
		}
	}
	n.Policy.Attach(n)
}

// ID returns the instance's ID.
func (n *Node) ID() ident.InstanceID { return n.self.Instance }

// Node returns the node with the given ID, nil if there is none.
func (w *World) Node(id ident.InstanceID) *Node {
	i := slices.IndexFunc(w.Nodes, func(n *Node) bool { return n.ID() == id })
	if i < 0 {
		return nil
	}
	return w.Nodes[i]
}

// Reservation returns a new reservation ID whose deadline is the given time from
// now.
func (n *Node) Reservation(deadline time.Duration) ident.AttemptID {
	n.sequence++
	return ident.AttemptID{
		Instance:    n.self.Instance,
		Incarnation: n.self.Incarnation,
		Sequence:    n.sequence,
		Deadline:    n.world.now.Add(deadline),
	}
}

// Do runs f, which calls the policy, as one event of the node, as the kernel's
// Step does. It returns false and does not run f if the node is killed or
// frozen.
func (n *Node) Do(f func()) bool {
	if n.killed || n.frozen {
		return false
	}
	n.runEvent(f)
	return true
}

// runEvent runs f as one event of the node. If the node is frozen, f runs when
// the node is thawed; if it is killed, f does not run.
func (n *Node) runEvent(f func()) {
	switch {
	case n.killed:
		return
	case n.frozen:
		n.missed = append(n.missed, f)
		return
	}
	n.wakePolicy()
	f()
	if n.AfterEvent != nil {
		n.AfterEvent()
	}
	n.scheduleWake()
}

// wakePolicy wakes the policy if its wake-up time has come.
func (n *Node) wakePolicy() {
	w, ok := n.Policy.(kernel.Waker)
	if !ok {
		return
	}
	if at, due := w.NextWake(); due && !at.After(n.world.now) {
		w.Wake()
	}
}

// scheduleWake schedules the policy's next wake-up, unless an earlier one is
// already scheduled.
func (n *Node) scheduleWake() {
	w, ok := n.Policy.(kernel.Waker)
	if !ok {
		return
	}
	at, due := w.NextWake()
	if !due || (n.wakeAt.After(n.world.now) && !at.Before(n.wakeAt)) {
		return
	}
	at = at.Add(time.Microsecond)
	n.wakeAt = at
	n.world.After(max(at.Sub(n.world.now), 0), func() {
		if n.wakeAt.Equal(at) {
			n.wakeAt = time.Time{}
			n.runEvent(func() {})
		}
	})
}

// withHandler calls f with the policy's message handler, if the policy has one.
func (n *Node) withHandler(f func(kernel.PeerHandler)) {
	if h, ok := n.Policy.(kernel.PeerHandler); ok {
		f(h)
	}
}

// Kill ends the node's process. The events that it missed while frozen are
// dropped.
func (n *Node) Kill() {
	n.killed = true
	n.missed = nil
}

// Killed reports whether the process has ended.
func (n *Node) Killed() bool { return n.killed }

// Frozen reports whether the process is paused.
func (n *Node) Frozen() bool { return n.frozen }

// Restart starts the process again, with a new policy and the next incarnation.
func (n *Node) Restart() {
	n.killed, n.frozen = false, false
	n.wakeAt = time.Time{}
	n.self.Incarnation++
	n.start()
	n.world.watchLoads(n)
	n.scheduleWake()
}

// Freeze pauses the process.
func (n *Node) Freeze() { n.frozen = true }

// Thaw resumes the process. Events that arrived during the pause are handled
// immediately.
func (n *Node) Thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	missed := n.missed
	n.missed = nil
	for _, f := range missed {
		n.runEvent(f)
	}
	n.runEvent(func() {})
}

// SetLivenessInView sets the liveness of another node in this node's view.
func (n *Node) SetLivenessInView(other *Node, liveness kernel.Liveness) {
	n.ChangeView(func(v *kernel.View) {
		for i := range v.Instances {
			if v.Instances[i].ID == other.ID() {
				v.Instances[i].Liveness = liveness
				v.Instances[i].Incarnation = other.self.Incarnation
			}
		}
	})
}

// ChangeView applies a change to a copy of the node's view, which becomes the
// next version of the view.
func (n *Node) ChangeView(change func(v *kernel.View)) {
	n.runEvent(func() {
		next := cloneView(n.view)
		next.Version++
		change(&next)
		n.view = next
	})
}

// ReceiveLoad gives the node a load report. Reports older than the last one are
// ignored.
func (n *Node) ReceiveLoad(id ident.UpstreamID, load kernel.Load) {
	u := n.Upstream(id)
	if u != nil && load.At.After(u.Load.At) {
		u.Load = load
	}
}

func cloneView(v kernel.View) kernel.View {
	v.Instances = slices.Clone(v.Instances)
	v.Upstreams = slices.Clone(v.Upstreams)
	return v
}

// Node implements kernel.Host with the methods below.
var _ kernel.Host = (*Node)(nil)

// Now implements kernel.Host.
func (n *Node) Now() time.Time { return n.world.now }

// Self implements kernel.Host.
func (n *Node) Self() kernel.Self { return n.self }

// View implements kernel.Host.
func (n *Node) View() *kernel.View { return &n.view }

// Content implements kernel.Host.
func (n *Node) Content() *config.Content { return &config.Content{} }

// Upstream implements kernel.Host.
func (n *Node) Upstream(id ident.UpstreamID) *kernel.Upstream {
	i, ok := n.world.upstreamIndex[id]
	if !ok {
		return nil
	}
	return &n.view.Upstreams[i]
}

// Model implements kernel.Host.
func (n *Node) Model(string) *config.Model { return nil }

// Rand implements kernel.Host.
func (n *Node) Rand() *rand.Rand { return n.rand }

// Send implements kernel.Host.
func (n *Node) Send(to ident.InstanceID, m kernel.PeerMessage) {
	if !n.Silent {
		n.world.send(n, to, m)
	}
}

// QueueLength implements kernel.Host.
func (n *Node) QueueLength() int { return 0 }

// Estimate implements kernel.Host.
func (n *Node) Estimate(*kernel.Request) kernel.Estimate { return kernel.Estimate{} }

// SlotGranted implements kernel.Host.
func (n *Node) SlotGranted(id ident.AttemptID) {
	if n.Granted != nil {
		n.Granted(id)
	}
}

// SlotDenied implements kernel.Host.
func (n *Node) SlotDenied(id ident.AttemptID, retryAt time.Time) {
	if n.Denied != nil {
		n.Denied(id, retryAt)
	}
}
