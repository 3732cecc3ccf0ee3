package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
)

// Defaults for when a refused caller should come back.
const (
	// retryAfterStop: the platform's balancer will have taken a stopping
	// instance out by then.
	retryAfterStop = 1 * time.Second
	// retryAfterNotReady: a starting instance usually has bundle and view by then.
	retryAfterNotReady = 2 * time.Second
	// retryAfterFailure: for requests given up after failures.
	retryAfterFailure = 2 * time.Second
)

func stoppingRefusal() *Refusal {
	return &Refusal{
		Reason:     ReasonStopping,
		Problem:    api.ProblemStopping,
		Detail:     "this instance is shutting down; send the request again",
		RetryAfter: retryAfterStop,
	}
}

// arrive admits a request and puts it in the queue, or refuses it at once.
func (k *Kernel) arrive(r *Request) {
	if _, taken := k.calls[r.ID]; taken {
		// The driver chooses unique IDs; answering the second would answer the
		// first one's caller.
		return
	}
	c := &call{request: r}
	k.calls[r.ID] = c
	k.budget.arrived(k.retryBudgetShare())
	if refusal := k.admit(c); refusal != nil {
		k.refuseCall(c, refusal)
		return
	}
	k.timers.add(r.Deadline, timerDeadline, r.ID)
	k.enqueue(c, k.now)
}

// admit runs the checks that come before the queue.
func (k *Kernel) admit(c *call) *Refusal {
	if k.stopping {
		return stoppingRefusal()
	}
	if refusal := k.unready(c.request); refusal != nil {
		return refusal
	}
	for _, a := range k.policy.admission {
		if refusal := a.Admit(c.request); refusal != nil {
			return refusal
		}
		c.admitted = append(c.admitted, a)
	}
	return nil
}

// unready refuses what the kernel cannot decide on at all.
func (k *Kernel) unready(r *Request) *Refusal {
	if k.catalog.content == nil {
		return &Refusal{
			Reason:     ReasonNoBundle,
			Problem:    api.ProblemNotReady,
			Detail:     "no bundle is in force on this instance yet",
			RetryAfter: retryAfterNotReady,
		}
	}
	if !k.now.Before(r.Deadline) {
		return &Refusal{
			Reason:  ReasonDeadlinePassed,
			Problem: api.ProblemDeadline,
			Detail:  "the deadline had passed on arrival",
		}
	}
	if r.Route == config.RouteModel && k.catalog.models[r.Model] == nil {
		return &Refusal{
			Reason:  ReasonUnknownModel,
			Problem: api.ProblemUnknownModel,
			Detail:  "the bundle in force declares no such model",
		}
	}
	if r.Route == config.RouteService && k.catalog.services[r.Service] == nil {
		return &Refusal{
			Reason:  ReasonUnknownService,
			Problem: api.ProblemUnknownService,
			Detail:  "the bundle in force declares no such service",
		}
	}
	return nil
}

// enqueue puts a call in the queue, to be placed from the given time on.
func (k *Kernel) enqueue(c *call, notBefore time.Time) {
	c.state = callQueued
	c.waiting = &Waiting{
		Request:   c.request,
		Since:     k.now,
		NotBefore: notBefore,
		Delivered: c.delivered,
	}
	k.policy.order.Add(c.waiting)
	k.dirty = true
	if c.request.Route == config.RouteModel {
		c.need = k.leastFirstOutput(c.request)
		k.timers.add(c.request.FirstOutputBy.Add(lateMargin-c.need+1), timerLate, c.request.ID)
	}
	if notBefore.After(k.now) {
		k.kick(notBefore)
	}
}

// dequeue takes a call out of the queue.
func (k *Kernel) dequeue(c *call) {
	if c.waiting == nil {
		return
	}
	k.policy.order.Remove(c.request.ID)
	c.waiting = nil
}

// queueLength counts the requests without an attempt in flight.
func (k *Kernel) queueLength() int {
	if k.policy.order == nil {
		return 0
	}
	return k.policy.order.Len() + k.placer.reserving
}
