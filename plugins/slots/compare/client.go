package main

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// client simulates the kernel of one instance: a queue in the order of due
// times, whose requests are placed on the engine with the lowest cost (see
// rank).
type client struct {
	run  *run
	node *slottest.Node
	// queue holds the waiting requests in the order of their due times.
	queue []*request
	// pending are the requests whose reservation waits for the policy's answer.
	pending map[ident.AttemptID]*request
	// nextSchedule is the time of the next scheduled run of schedule.
	nextSchedule time.Time
}

// Parameters of the simulated kernel.
const (
	// shortlist is the maximum number of engines tried for a request.
	shortlist      = 8
	retryPlacement = 100 * time.Millisecond
	// tieBreak is the maximum random cost, in seconds, added to each engine's
	// cost.
	tieBreak = 0.002
	// maxEngineQueue is the wait for a prefill engine above which no further
	// request is placed.
	maxEngineQueue = 250 * time.Millisecond
	// runningCost is the cost, in seconds, of each request that already runs on
	// an engine. It is the value that the pace scorer (plugins/scorer/pace)
	// yields for this workload.
	runningCost = 0.004
	// cleanup is the time after an instance's death at which the other instances
	// have ended the requests that it left on the engines.
	cleanup = 3 * time.Second
)

func newClient(r *run, n *slottest.Node) *client {
	c := &client{run: r, node: n, pending: map[ident.AttemptID]*request{}}
	n.Granted = c.granted
	n.Denied = c.denied
	n.AfterEvent = c.schedule
	return c
}

// arrive queues a request in an event of the instance, which then schedules it.
func (c *client) arrive(q *request) {
	c.node.Do(func() { c.enqueue(q) })
}

// enqueue inserts a request into the queue by its due time.
func (c *client) enqueue(q *request) {
	at, _ := slices.BinarySearchFunc(c.queue, q, func(a, b *request) int { return a.dueAt.Compare(b.dueAt) })
	c.queue = slices.Insert(c.queue, at, q)
}

// schedule drops the queued requests that can no longer meet their due time and
// places the others as far as possible.
func (c *client) schedule() {
	now := c.run.world.Now()
	full := false
	for i := 0; i < len(c.queue); {
		q := c.queue[i]
		if now.Add(c.lead(q)).After(q.dueAt) {
			c.queue = slices.Delete(c.queue, i, i+1)
			c.run.countMeasured(q, &c.run.count.late)
			continue
		}
		if full || q.retryAt.After(now) || c.prefillBusy() {
			c.scheduleAt(q.retryAt)
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

// lead returns the predicted time until the request uses its slot: the wait for
// a prefill engine, the prefill and the transfer.
func (c *client) lead(q *request) time.Duration {
	return c.run.pool.wait(c.run.world.Now()) + q.prefill + q.transfer
}

// prefillBusy reports whether the wait for a prefill engine exceeds
// maxEngineQueue. If so, it arranges for schedule to run again when it no
// longer does.
func (c *client) prefillBusy() bool {
	wait := c.run.pool.wait(c.run.world.Now())
	if wait <= maxEngineQueue {
		return false
	}
	c.scheduleAt(c.run.world.Now().Add(wait - maxEngineQueue))
	return true
}

// candidate is an engine with its cost for a request, in seconds.
type candidate struct {
	engine *slottest.Engine
	cost   float64
}

// rank returns up to shortlist engines in the order of their costs, the cheapest
// first.
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
		cost := start.Seconds() + runningCost*float64(u.Load.Running) + tieBreak*c.node.Rand().Float64()
		all = append(all, candidate{engine: e, cost: cost})
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return all[:min(len(all), shortlist)]
}

// place reserves a slot for the request at the first engine of its ranking where
// the policy grants one or lets the reservation wait. It returns false if no
// engine does, and then arranges for a retry.
func (c *client) place(q *request) bool {
	now := c.run.world.Now()
	retryAt := now.Add(retryPlacement)
	for _, option := range c.rank(q) {
		id := c.node.Reservation(deadline)
		answer := c.node.Policy.Reserve(kernel.SlotRequest{
			Reservation:   id,
			Upstream:      option.engine.ID,
			Pieces:        q.pieces,
			Lead:          c.lead(q),
			OutputTokens:  q.declared,
			FirstOutputBy: q.dueAt,
		})
		q.askedAt = now
		switch answer.Result {
		case kernel.SlotReserved:
			c.run.count.waits.Record(0)
			c.prefill(q, id, option.engine)
			return true
		case kernel.SlotPending:
			c.pending[id] = q
			c.run.engineOf[id] = option.engine
			return true
		}
		if answer.RetryAt.After(now) && answer.RetryAt.Before(retryAt) {
			retryAt = answer.RetryAt
		}
	}
	c.scheduleAt(retryAt)
	return false
}

// scheduleAt makes schedule run at the given time, unless it is already to run
// earlier.
func (c *client) scheduleAt(at time.Time) {
	now := c.run.world.Now()
	if !at.After(now) || (c.nextSchedule.After(now) && !at.Before(c.nextSchedule)) {
		return
	}
	c.nextSchedule = at
	c.run.world.After(at.Sub(now), func() { c.node.Do(func() {}) })
}

// granted starts the prefill of a request whose reservation was granted after a
// wait, or releases the slot if the request can no longer meet its due time.
func (c *client) granted(id ident.AttemptID) {
	q := c.pending[id]
	if q == nil {
		return
	}
	delete(c.pending, id)
	e := c.run.engineOf[id]
	delete(c.run.engineOf, id)
	now := c.run.world.Now()
	if now.Add(c.lead(q)).After(q.dueAt) {
		c.run.countMeasured(q, &c.run.count.late)
		c.node.Policy.Release(id)
		return
	}
	c.run.count.waits.Record(now.Sub(q.askedAt))
	c.prefill(q, id, e)
}

// denied puts a request whose reservation was denied back into the queue.
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

// prefill runs the request's prefill and then its decode. The transfer of the KV
// cache takes up to transferError times as long as predicted.
func (c *client) prefill(q *request, id ident.AttemptID, e *slottest.Engine) {
	c.run.countMeasured(q, &c.run.count.prefills)
	now := c.run.world.Now()
	done := c.run.pool.start(now, q.prefill)
	moved := q.transfer + time.Duration(c.run.world.Rand.Int64N(int64((transferError-1)*q.transfer)))
	c.run.world.After(done.Sub(now), func() {
		c.whenRunning(func() { c.decode(q, id, e, moved) })
	})
}

// whenRunning calls do in an event of the instance. If the instance is frozen,
// do is called after it resumes; if it is dead, do is not called.
func (c *client) whenRunning(do func()) {
	if c.node.Killed() {
		return
	}
	if !c.node.Do(do) {
		c.run.world.After(retryPlacement, func() { c.whenRunning(do) })
	}
}

// decode starts the request on the decode engine, where it occupies the slot
// from the beginning of the KV cache transfer. If the engine refuses the
// request, its prefill is wasted and the request is queued again.
func (c *client) decode(q *request, id ident.AttemptID, e *slottest.Engine, transfer time.Duration) {
	now := c.run.world.Now()
	started := e.Start(id, q.pieces)
	c.node.ReceiveLoad(e.ID, e.Load())
	if !started {
		c.run.countMeasured(q, &c.run.count.wasted)
		c.node.Policy.Refused(e.ID)
		c.node.Policy.Release(id)
		q.retryAt = now
		c.enqueue(q)
		return
	}
	c.node.Policy.Started(id)
	if !now.Add(transfer + firstToken).After(q.dueAt) {
		c.run.countMeasured(q, &c.run.count.onTime)
	}
	c.run.running[id] = e
	c.run.world.After(transfer+q.hold, func() { c.finish(id, e) })
}

// finish ends a request on its engine and releases its reservation.
func (c *client) finish(id ident.AttemptID, e *slottest.Engine) {
	e.End(id)
	delete(c.run.running, id)
	c.whenRunning(func() {
		c.node.ReceiveLoad(e.ID, e.Load())
		c.node.Policy.Release(id)
	})
}

// cleanUpDead discards the queue of an instance that died and, after the time
// cleanup, ends the requests that it left on the engines.
func (c *client) cleanUpDead() {
	c.queue = nil
	c.run.world.After(cleanup, func() {
		for id, e := range c.run.running {
			if id.Instance == c.node.ID() {
				e.End(id)
			}
		}
	})
}
