// Package feasible refuses requests at once whose first output cannot be in
// time, and says when to come back. docs/design/admission.md explains how.
package feasible

import (
	"fmt"
	"maps"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// margin is the error granted to a prediction before it refuses a request.
const margin = 20 * time.Millisecond

// inVainFactor is by how much a request that waited in vain is taken to have
// missed the time that it had.
const inVainFactor = 2

// Check implements kernel.Admission and kernel.Observer.
type Check struct {
	host kernel.Host
	// corrections are learned for each kind of request to each model: kinds with
	// tight targets are served before others.
	corrections map[target]*correction
	comeBacks   map[string]*comeBack
	// admitted is what was predicted for the requests admitted and not over.
	admitted map[ident.RequestID]time.Duration
	// ended is a request that is over without a first output, until the record
	// that says why.
	ended ended
	// links is the slowest KV transfer link of each model, in bytes a second.
	links map[string]float64
}

// target is a kind of request to a model.
type target struct{ model, kind string }

// ended is a request that is over, and what was predicted for it.
type ended struct {
	id        ident.RequestID
	predicted time.Duration
}

// Attach implements kernel.Attacher.
func (c *Check) Attach(h kernel.Host) {
	c.host = h
	c.corrections = map[target]*correction{}
	c.comeBacks = map[string]*comeBack{}
	c.admitted = map[ident.RequestID]time.Duration{}
}

// Configure implements kernel.Configurer.
func (c *Check) Configure(content *config.Content) {
	c.links = map[string]float64{}
	declared := map[string]bool{}
	for i := range content.Models {
		declared[content.Models[i].Name] = true
	}
	for i := range content.Upstreams {
		u := &content.Upstreams[i]
		for _, m := range u.Models {
			c.noteLink(m, u.LinkBytesPerSecond)
		}
	}
	// What was learned of models that are gone is of no more use.
	gone := func(model string) bool { return !declared[model] }
	maps.DeleteFunc(c.corrections, func(t target, _ *correction) bool { return gone(t.model) })
	maps.DeleteFunc(c.comeBacks, func(m string, _ *comeBack) bool { return gone(m) })
}

// noteLink keeps the slowest link of a model.
func (c *Check) noteLink(model string, rate float64) {
	if rate <= 0 {
		return
	}
	if old, ok := c.links[model]; !ok || rate < old {
		c.links[model] = rate
	}
}

// Admit implements kernel.Admission. Plain services have no prediction and are
// admitted.
func (c *Check) Admit(r *kernel.Request) *kernel.Refusal {
	if r.Route != config.RouteModel {
		return nil
	}
	now := c.host.Now()
	e := c.host.Estimate(r)
	if !e.Possible {
		return c.impossible(r)
	}
	expected := c.correction(r).apply(e.FirstOutput, now)
	excess := now.Add(expected).Sub(latest(r))
	if excess > margin {
		return c.infeasible(r, expected, excess)
	}
	c.admitted[r.ID] = e.FirstOutput
	return nil
}

// latest is when the first output must be there: by its target, or before the
// caller goes.
func latest(r *kernel.Request) time.Time {
	if r.FirstOutputBy.IsZero() || r.Deadline.Before(r.FirstOutputBy) {
		return r.Deadline
	}
	return r.FirstOutputBy
}

// infeasible refuses a request whose first output would be late by excess.
func (c *Check) infeasible(r *kernel.Request, expected, excess time.Duration) *kernel.Refusal {
	return &kernel.Refusal{
		Reason:  kernel.ReasonInfeasible,
		Problem: api.ProblemInfeasible,
		Detail: fmt.Sprintf("the first output is expected in %v, which is %v too late",
			expected.Round(time.Millisecond), excess.Round(time.Millisecond)),
		RetryAfter: c.comeBack(r.Model).after(r.ID, excess, c.host.Now()),
	}
}

// impossible refuses a request for which no upstream is left.
func (c *Check) impossible(r *kernel.Request) *kernel.Refusal {
	reason := kernel.ReasonNoPrefill
	if c.hasPrefill(r.Model) {
		reason = kernel.ReasonNoDecode
	}
	return &kernel.Refusal{
		Reason:     reason,
		Problem:    api.ProblemNoUpstream,
		Detail:     fmt.Sprintf("no upstream for model %q can be reached from here", r.Model),
		RetryAfter: c.comeBack(r.Model).after(r.ID, 0, c.host.Now()),
	}
}

// hasPrefill reports whether a prefill engine of the model may be usable.
func (c *Check) hasPrefill(model string) bool {
	v := c.host.View()
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if u.Spec.Role == config.RolePrefill && u.Life <= kernel.Suspect && u.Serves(model) {
			return true
		}
	}
	return false
}

// correction returns what was learned for requests like r.
func (c *Check) correction(r *kernel.Request) *correction {
	t := target{model: r.Model, kind: r.Kind}
	k, ok := c.corrections[t]
	if !ok {
		k = &correction{}
		c.corrections[t] = k
	}
	return k
}

// comeBack returns the model's schedule of refused callers.
func (c *Check) comeBack(model string) *comeBack {
	b, ok := c.comeBacks[model]
	if !ok {
		b = &comeBack{}
		c.comeBacks[model] = b
	}
	return b
}

// Observe implements kernel.Observer. It compares predictions with what came.
func (c *Check) Observe(r *kernel.Request, rec kernel.Record) {
	if r.Route != config.RouteModel {
		return
	}
	switch rec.Step {
	case kernel.StepPlaced:
		c.comeBack(r.Model).placed(rec.Time)
	case kernel.StepDecoding:
		c.learn(r, rec.Waited+c.transfer(r), rec.Time)
	case kernel.StepRefused:
		c.gaveUp(r, rec)
	}
}

// gaveUp learns from a request that waited in vain. One that a later check
// refused, or that ended for another reason, teaches nothing.
func (c *Check) gaveUp(r *kernel.Request, rec kernel.Record) {
	if c.ended.id != r.ID || rec.Reason != kernel.ReasonInfeasible {
		return
	}
	c.correction(r).learn(c.ended.predicted, inVain(r), rec.Time)
	c.ended = ended{}
}

// inVain is the time to first output that a request is taken to have needed
// which was given up after waiting. The true one is not known, only that it is
// more than there was.
func inVain(r *kernel.Request) time.Duration {
	return inVainFactor * latest(r).Sub(r.Arrived)
}

// learn compares the time to first output with the prediction at admission.
// Only the first decode of a request counts; later ones follow a failure.
func (c *Check) learn(r *kernel.Request, took time.Duration, now time.Time) {
	predicted, ok := c.admitted[r.ID]
	if !ok {
		return
	}
	delete(c.admitted, r.ID)
	c.correction(r).learn(predicted, took, now)
}

// transfer is the time to move the request's KV cache over an idle link, which
// comes after StepDecoding.
func (c *Check) transfer(r *kernel.Request) time.Duration {
	m := c.host.Model(r.Model)
	rate := c.links[r.Model]
	if m == nil || rate <= 0 {
		return 0
	}
	bytes := float64(m.KVBytesPerToken) * float64(r.PromptTokens)
	return time.Duration(bytes / rate * float64(time.Second))
}

// Finished implements kernel.Admission. The record of the request's end, which
// says why, comes next.
func (c *Check) Finished(r *kernel.Request, _ api.Outcome) {
	predicted, ok := c.admitted[r.ID]
	if !ok {
		return
	}
	delete(c.admitted, r.ID)
	c.ended = ended{id: r.ID, predicted: predicted}
}
