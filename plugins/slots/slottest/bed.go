package slottest

import (
	"fmt"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Use is one use of a slot in a test, from its reservation to its release. StartUse
// reads Node, Engine, Lead, Hold, Pieces and Due; the other fields are set by
// the TestBed.
type Use struct {
	Node   *Node
	Engine *Engine
	ID     ident.AttemptID
	// Lead is the time from the grant to the start of the use, Hold the length
	// of the use.
	Lead, Hold time.Duration
	Pieces     int
	// Due is when the first output is due.
	Due   time.Time
	Asked time.Time
	// Pending is set while the reservation waits for an answer. Granted is set
	// once it was granted and Running while the engine runs the request. Over is
	// set once the reservation was denied or released.
	Pending, Granted, Running, Over bool
	// Answered counts the answers to a reservation that was pending.
	Answered int
}

// TestBed is a World with functions to make uses of slots and to follow them to
// their end.
type TestBed struct {
	*World
	Uses []*Use
	// MaxAnswerTime is the longest time that a pending reservation waited for its
	// answer.
	MaxAnswerTime time.Duration
	// Refused is the number of uses that an engine refused.
	Refused int

	byID map[string]*Use
}

const (
	// defaultDue and defaultDeadline are the times to the first output and to the
	// deadline of a use made by Reserve.
	defaultDue      = 5 * time.Second
	defaultDeadline = 30 * time.Second
	// retryDelay is the delay after which a step is repeated that failed because
	// its node was frozen.
	retryDelay = 100 * time.Millisecond
)

// NewTestBed returns a test bed with the given options. The message delay defaults
// to one millisecond.
func NewTestBed(o Options) *TestBed {
	if o.Network.Delay == 0 {
		o.Network.Delay = time.Millisecond
	}
	b := &TestBed{World: NewWorld(o), byID: map[string]*Use{}}
	for _, n := range b.Nodes {
		n.Granted = func(id ident.AttemptID) { b.handleAnswer(id, true) }
		n.Denied = func(id ident.AttemptID, _ time.Time) { b.handleAnswer(id, false) }
	}
	return b
}

// Reserve starts a use of one piece of memory. It has no effect if the node is
// killed or frozen.
func (b *TestBed) Reserve(n *Node, e *Engine, lead, hold time.Duration) *Use {
	u := &Use{Node: n, Engine: e, Lead: lead, Hold: hold, Pieces: 1, Due: b.Now().Add(defaultDue)}
	b.StartUse(u)
	return u
}

// StartUse starts the use u, whose fields from Node to Due other than ID are given by
// the test. It has no effect if the node is killed or frozen.
func (b *TestBed) StartUse(u *Use) {
	u.ID = u.Node.Reservation(defaultDeadline)
	u.Asked = b.Now()
	u.Node.Do(func() {
		b.Uses = append(b.Uses, u)
		b.byID[u.ID.String()] = u
		answer := u.Node.Policy.Reserve(kernel.SlotRequest{
			Reservation:   u.ID,
			Upstream:      u.Engine.ID,
			Pieces:        u.Pieces,
			Lead:          u.Lead,
			FirstOutputBy: u.Due,
		})
		switch answer.Result {
		case kernel.SlotReserved:
			b.startGranted(u)
		case kernel.SlotPending:
			u.Pending = true
		case kernel.SlotUnavailable:
			u.Over = true
		}
	})
}

// handleAnswer handles the answer to a pending use. It panics if the use is not
// pending.
func (b *TestBed) handleAnswer(id ident.AttemptID, granted bool) {
	u := b.byID[id.String()]
	if !u.Pending {
		panic(fmt.Sprintf("slottest: reservation %s was answered but is not pending", id))
	}
	u.Pending = false
	u.Answered++
	b.MaxAnswerTime = max(b.MaxAnswerTime, b.Now().Sub(u.Asked))
	if granted {
		b.startGranted(u)
		return
	}
	u.Over = true
}

// startGranted marks a use as granted and starts it after its lead time.
func (b *TestBed) startGranted(u *Use) {
	u.Granted = true
	b.After(u.Lead, func() { b.begin(u) })
}

// begin starts the use on its engine and schedules its end. If the engine
// refuses, the reservation is released.
func (b *TestBed) begin(u *Use) {
	if u.Over {
		return
	}
	ran := u.Node.Do(func() {
		if !u.Engine.Start(u.ID, u.Pieces) {
			b.Refused++
			u.Node.Policy.Refused(u.Engine.ID)
			b.Release(u)
			return
		}
		u.Running = true
		u.Node.Policy.Started(u.ID)
		b.After(u.Hold, func() { b.Finish(u) })
	})
	if !ran && !u.Node.Killed() {
		b.After(retryDelay, func() { b.begin(u) })
	}
}

// Finish ends a use. The engine's slot is freed even if the node is killed or
// frozen; the reservation is released once the node runs again.
func (b *TestBed) Finish(u *Use) {
	u.Engine.End(u.ID)
	u.Running = false
	if u.Over {
		return
	}
	ran := u.Node.Do(func() { b.Release(u) })
	if !ran && !u.Node.Killed() {
		b.After(retryDelay, func() { b.Finish(u) })
	}
}

// Withdraw ends a use early. Like Finish, it frees the engine's slot even if the
// node is killed or frozen.
func (b *TestBed) Withdraw(u *Use) {
	if u.Over {
		return
	}
	u.Node.Do(func() { b.Release(u) })
	u.Engine.End(u.ID)
	u.Running = false
}

// Release releases the use's reservation, or withdraws it if it is pending.
func (b *TestBed) Release(u *Use) {
	u.Over = true
	u.Pending = false
	u.Node.Policy.Release(u.ID)
}

// Held returns the number of granted uses that hold a slot of the engine, over
// all nodes that are not killed.
func (b *TestBed) Held(e *Engine) int {
	n := 0
	for _, u := range b.Uses {
		if u.Engine == e && u.Granted && !u.Over && !u.Node.Killed() {
			n++
		}
	}
	return n
}

// SetLivenessInAllViews sets the liveness of one node in the views of all
// other nodes.
func (b *TestBed) SetLivenessInAllViews(other *Node, liveness kernel.Liveness) {
	for _, n := range b.Nodes {
		if n != other {
			n.SetLivenessInView(other, liveness)
		}
	}
}
