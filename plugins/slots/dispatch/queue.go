package dispatch

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// newQueue returns an empty queue in the bundle's order, for requests of all
// instances. If the order cannot be loaded, requests are served in order of
// arrival.
func newQueue(p *Policy) kernel.QueueOrder {
	loaded, err := plugin.Load(p.order, nil)
	if err != nil {
		return &fifoQueue{}
	}
	q, ok := loaded.(kernel.QueueOrder)
	if !ok {
		return &fifoQueue{}
	}
	q.Attach(p.host)
	if c, ok := loaded.(kernel.Configurer); ok && p.host.Content() != nil {
		c.Configure(p.host.Content())
	}
	return q
}

// requestID returns the ID under which a placement request is queued.
func requestID(a Ask) ident.RequestID {
	return ident.RequestID(ident.AttemptID(a.Reservation).String())
}

// enqueue adds a placement request to the queue, with its times converted to
// this instance's clock.
func (md *modelDispatcher) enqueue(from ident.InstanceID, a Ask, id ident.RequestID) {
	now := md.now()
	r := &kernel.Request{
		ID:              id,
		Workspace:       a.Workspace,
		Kind:            a.Kind,
		Route:           config.RouteModel,
		Model:           a.Model,
		PromptTokens:    a.Prompt,
		MaxOutputTokens: a.Output,
		Blocks:          a.Blocks,
		Priority:        a.Priority,
		Arrived:         now,
		FirstOutputBy:   now.Add(a.DueIn.Duration()),
		Deadline:        now.Add(a.DeadlineIn.Duration()),
	}
	w := &waiting{ask: a, holder: from, entry: &kernel.QueuedRequest{Request: r, Since: now, Delivered: a.Delivered}}
	md.waiting[id] = w
	md.queue.Add(w.entry)
}

// dequeue removes a placement request from the queue.
func (md *modelDispatcher) dequeue(id ident.RequestID) {
	delete(md.waiting, id)
	md.queue.Remove(id)
}
