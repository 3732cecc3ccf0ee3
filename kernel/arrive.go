package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
)

// Retry-after hints for refused callers.
const (
	// retryAfterStop is the time within which the platform's load balancer has
	// removed a stopping instance.
	retryAfterStop = 1 * time.Second
	// retryAfterNotReady is the time within which a starting instance usually
	// has its bundle and view.
	retryAfterNotReady = 2 * time.Second
	// retryAfterFailure applies to requests that fail after attempts failed.
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

// arrive admits a request and puts it in the queue, or refuses it immediately.
func (k *Kernel) arrive(r *Request) {
	if _, taken := k.calls[r.ID]; taken {
		// The driver must choose unique IDs. A duplicate is ignored, because an
		// answer to it would go to the caller of the first request.
		return
	}
	c := &call{request: r}
	k.calls[r.ID] = c
	k.budget.arrived(k.retryBudgetShare())
	if refusal := k.admit(c); refusal != nil {
		k.refuseCall(c, refusal)
		return
	}
	k.timers.add(r.answerBy(), timerDeadline, r.ID)
	k.enqueue(c, k.now)
}

// admit runs the admission checks and returns nil if the request may be queued.
func (k *Kernel) admit(c *call) *Refusal {
	if k.stopping {
		return stoppingRefusal()
	}
	if refusal := k.checkServable(c.request); refusal != nil {
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

// checkServable returns a refusal if the request cannot be handled at all: no
// bundle is in force, the deadline has passed, or the model or service is
// unknown.
func (k *Kernel) checkServable(r *Request) *Refusal {
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

// enqueue puts a call in the queue. It is not placed before notBefore.
func (k *Kernel) enqueue(c *call, notBefore time.Time) {
	c.state = callQueued
	c.waiting = &QueuedRequest{
		Request:   c.request,
		Since:     k.now,
		NotBefore: notBefore,
		Delivered: c.delivered,
	}
	k.policy.order.Add(c.waiting)
	k.dirty = true
	if c.request.Route == config.RouteModel {
		c.minFirstOutput = k.minFirstOutput(c.request)
		k.timers.add(c.request.FirstOutputBy.Add(lateMargin-c.minFirstOutput+1), timerFirstOutput, c.request.ID)
	}
	if notBefore.After(k.now) {
		k.scheduleAt(notBefore)
	}
}

// dequeue removes a call from the queue, if it is queued.
func (k *Kernel) dequeue(c *call) {
	if c.waiting == nil {
		return
	}
	k.policy.order.Remove(c.request.ID)
	c.waiting = nil
}

// queueLength returns the number of requests that are queued or wait for the
// slot policy's answer.
func (k *Kernel) queueLength() int {
	if k.policy.order == nil {
		return 0
	}
	return k.policy.order.Len() + k.placer.reserving
}
