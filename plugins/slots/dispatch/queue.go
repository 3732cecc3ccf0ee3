package dispatch

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// newQueue makes a queue in the bundle's order, which serves the requests of
// all instances.
func newQueue(p *Policy) kernel.QueueOrder {
	loaded, err := plugin.Load(p.order, nil)
	if err != nil {
		return &arrivals{}
	}
	q, ok := loaded.(kernel.QueueOrder)
	if !ok {
		return &arrivals{}
	}
	q.Attach(p.host)
	if c, ok := loaded.(kernel.Configurer); ok && p.host.Content() != nil {
		c.Configure(p.host.Content())
	}
	return q
}

// requestID names an ask in the queue.
func requestID(a Ask) ident.RequestID {
	return ident.RequestID(ident.AttemptID(a.Reservation).String())
}

func (g *group) enqueue(from ident.InstanceID, a Ask, id ident.RequestID) {
	now := g.now()
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
	w := &waiting{ask: a, holder: from, entry: &kernel.Waiting{Request: r, Since: now, Delivered: a.Delivered}}
	g.waiting[id] = w
	g.queue.Add(w.entry)
}

func (g *group) dequeue(id ident.RequestID) {
	delete(g.waiting, id)
	g.queue.Remove(id)
}
