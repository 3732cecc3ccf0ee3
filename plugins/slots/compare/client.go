package main

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// client stands in for the kernel of one instance: a queue in deadline order
// whose requests are placed on the engine with the least expected wait.
type client struct {
	run  *run
	node *slottest.Node
	// queue holds the waiting requests, the one due first in front.
	queue   []*request
	pending map[ident.AttemptID]*request
	// kickAt is when the queue must be looked at again.
	kickAt time.Time
}

// Constants of the kernel that matter here.
const (
	shortlist      = 8
	retryPlacement = 100 * time.Millisecond
	tieBreak       = 0.002
	maxEngineQueue = 250 * time.Millisecond
	// balance is the cost of a request already running, in seconds, as the
	// scorer of the pace gives it for this workload.
	balance = 0.004
	// cleanup is when peers have released what a dead instance left behind.
	cleanup = 3 * time.Second
)

func newClient(r *run, n *slottest.Node) *client {
	c := &client{run: r, node: n, pending: map[ident.AttemptID]*request{}}
	n.Granted = c.granted
	n.Denied = c.denied
	n.Stepped = c.schedule
	return c
}

// arrive takes a request in.
func (c *client) arrive(q *request) {
	c.node.Do(func() { c.enqueue(q) })
}

func (c *client) enqueue(q *request) {
	at, _ := slices.BinarySearchFunc(c.queue, q, func(a, b *request) int { return a.by.Compare(b.by) })
	c.queue = slices.Insert(c.queue, at, q)
}

// schedule places what can be placed and gives up what is too late.
func (c *client) schedule() {
	now := c.run.world.Now()
	full := false
	for i := 0; i < len(c.queue); {
		q := c.queue[i]
		if now.Add(c.lead(q)).After(q.by) {
			c.queue = slices.Delete(c.queue, i, i+1)
			c.run.note(q, &c.run.count.late)
			continue
		}
		if full || q.retryAt.After(now) || c.prefillBusy() {
			c.kick(q.retryAt)
			i++
			continue
		}
		if !c.place(q) {
			full = true
			i++
			continue
		}
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

// lead is the predicted time from now to the use of the request's slot.
func (c *client) lead(q *request) time.Duration {
	return c.run.pool.wait(c.run.world.Now()) + q.prefill + q.transfer
}

// prefillBusy reports whether the prefill engines have as much to do as may be
// given to them.
func (c *client) prefillBusy() bool {
	wait := c.run.pool.wait(c.run.world.Now())
	if wait <= maxEngineQueue {
		return false
	}
	c.kick(c.run.world.Now().Add(wait - maxEngineQueue))
	return true
}

// candidate is an engine and its cost.
type candidate struct {
	engine *slottest.Engine
	cost   float64
}

// rank returns the engines, the cheapest first.
func (c *client) rank(q *request) []candidate {
	var all []candidate
	lead := c.lead(q)
	for _, e := range c.run.world.Engines {
		u := c.node.Upstream(e.ID)
		a := c.node.Policy.Availability(u)
		start := lead
		if a.Free <= 0 {
			start = max(start, a.NextFree)
		}
		cost := start.Seconds() + balance*float64(u.Load.Running) + tieBreak*c.node.Rand().Float64()
		all = append(all, candidate{engine: e, cost: cost})
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return all[:min(len(all), shortlist)]
}

// place reserves a slot for the request or starts to wait for one.
func (c *client) place(q *request) bool {
	now := c.run.world.Now()
	retryAt := now.Add(retryPlacement)
	for _, option := range c.rank(q) {
		id := c.node.Reservation(deadline)
		answer := c.node.Policy.Reserve(kernel.SlotAsk{
			Reservation:   id,
			Upstream:      option.engine.ID,
			Pieces:        q.pieces,
			Lead:          c.lead(q),
			OutputTokens:  q.declared,
			FirstOutputBy: q.by,
		})
		q.asked = now
		switch answer.Verdict {
		case kernel.SlotHeld:
			c.run.count.waits.Record(0)
			c.prefill(q, id, option.engine)
			return true
		case kernel.SlotWaits:
			c.pending[id] = q
			c.run.engineOf[id] = option.engine
			return true
		}
		if answer.RetryAt.After(now) && answer.RetryAt.Before(retryAt) {
			retryAt = answer.RetryAt
		}
	}
	c.kick(retryAt)
	return false
}

// kick makes sure that the queue is looked at again.
func (c *client) kick(at time.Time) {
	now := c.run.world.Now()
	if !at.After(now) || (c.kickAt.After(now) && !at.Before(c.kickAt)) {
		return
	}
	c.kickAt = at
	c.run.world.After(at.Sub(now), func() { c.node.Do(func() {}) })
}

func (c *client) granted(id ident.AttemptID) {
	q := c.pending[id]
	if q == nil {
		return
	}
	delete(c.pending, id)
	e := c.run.engineOf[id]
	delete(c.run.engineOf, id)
	now := c.run.world.Now()
	if now.Add(c.lead(q)).After(q.by) {
		c.run.note(q, &c.run.count.late)
		c.node.Policy.Release(id)
		return
	}
	c.run.count.waits.Record(now.Sub(q.asked))
	c.prefill(q, id, e)
}

func (c *client) denied(id ident.AttemptID, retryAt time.Time) {
	q := c.pending[id]
	if q == nil {
		return
	}
	delete(c.pending, id)
	delete(c.run.engineOf, id)
	q.retryAt = retryAt
	c.enqueue(q)
}

// prefill runs the request's prefill and then its decode.
func (c *client) prefill(q *request, id ident.AttemptID, e *slottest.Engine) {
	c.run.note(q, &c.run.count.prefills)
	now := c.run.world.Now()
	done := c.run.pool.start(now, q.prefill)
	moved := q.transfer + time.Duration(c.run.world.Rand.Int64N(int64((transferError-1)*q.transfer)))
	c.run.world.After(done.Sub(now), func() {
		c.whenRunning(func() { c.decode(q, id, e, moved) })
	})
}

// whenRunning does something in an event of the instance, later if it is frozen
// and never if it is dead.
func (c *client) whenRunning(do func()) {
	if c.node.Killed() {
		return
	}
	if !c.node.Do(do) {
		c.run.world.After(retryPlacement, func() { c.whenRunning(do) })
	}
}

// decode takes the slot, which the engine holds also while the KV cache arrives.
func (c *client) decode(q *request, id ident.AttemptID, e *slottest.Engine, transfer time.Duration) {
	now := c.run.world.Now()
	started := e.Start(id, q.pieces)
	c.node.SeeLoad(e.ID, e.Load())
	if !started {
		c.run.note(q, &c.run.count.wasted)
		c.node.Policy.Refused(e.ID)
		c.node.Policy.Release(id)
		q.retryAt = now
		c.enqueue(q)
		return
	}
	c.node.Policy.Started(id)
	if !now.Add(transfer + firstToken).After(q.by) {
		c.run.note(q, &c.run.count.onTime)
	}
	c.run.running[id] = e
	c.run.world.After(transfer+q.hold, func() { c.finish(id, e) })
}

func (c *client) finish(id ident.AttemptID, e *slottest.Engine) {
	e.End(id)
	delete(c.run.running, id)
	c.whenRunning(func() {
		c.node.SeeLoad(e.ID, e.Load())
		c.node.Policy.Release(id)
	})
}

// lost releases, a while after the instance died, what it left on the engines.
func (c *client) lost() {
	c.queue = nil
	c.run.world.After(cleanup, func() {
		for id, e := range c.run.running {
			if id.Instance == c.node.ID() {
				e.End(id)
			}
		}
	})
}
