// Package feasible refuses requests on arrival if their first output is not
// expected in time, and computes when the caller should retry.
// docs/design/admission.md describes the algorithm.
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

// margin is the tolerance for errors of the prediction: a request is refused only
// if its first output is expected to be late by more than this.
const margin = 20 * time.Millisecond

// assumedTimeFactor is the assumed ratio of the time that a request would have
// needed to the time that it had, for a request that was given up before its
// first output.
const assumedTimeFactor = 2

// Check implements kernel.Admission and kernel.Observer.
type Check struct {
	host kernel.Host
	// corrections are learned separately for each kind of request to each model,
	// since kinds with tight targets are served before others.
	corrections    map[target]*correction
	retrySchedules map[string]*retrySchedule
	// admitted holds the predicted time to first output of requests that were
	// admitted and have neither started decoding nor finished.
	admitted map[ident.RequestID]time.Duration
	// lastEnded is the last request that finished before it started decoding. It
	// is kept until the record with the reason is observed.
	lastEnded endedRequest
	// linkRates is the bandwidth of the slowest KV transfer link of each model,
	// in bytes per second.
	linkRates map[string]float64
}

// target identifies a kind of request to a model.
type target struct{ model, kind string }

// endedRequest is a finished request and its predicted time to first output.
type endedRequest struct {
	id        ident.RequestID
	predicted time.Duration
}

// Attach implements kernel.Attacher.
func (c *Check) Attach(h kernel.Host) {
	c.host = h
	c.corrections = map[target]*correction{}
	c.retrySchedules = map[string]*retrySchedule{}
	c.admitted = map[ident.RequestID]time.Duration{}
}

// Configure implements kernel.Configurer.
func (c *Check) Configure(content *config.Content) {
	c.linkRates = map[string]float64{}
	declared := map[string]bool{}
	for i := range content.Models {
		declared[content.Models[i].Name] = true
	}
	for i := range content.Upstreams {
		u := &content.Upstreams[i]
		for _, m := range u.Models {
			c.recordLink(m, u.LinkBytesPerSecond)
		}
	}
	// Delete the state of models that are no longer declared.
	gone := func(model string) bool { return !declared[model] }
	maps.DeleteFunc(c.corrections, func(t target, _ *correction) bool { return gone(t.model) })
	maps.DeleteFunc(c.retrySchedules, func(m string, _ *retrySchedule) bool { return gone(m) })
}

// recordLink records the bandwidth of a link of a model, in bytes per second, if
// it is the slowest so far. Rates that are not positive are ignored.
func (c *Check) recordLink(model string, rate float64) {
	if rate <= 0 {
		return
	}
	if old, ok := c.linkRates[model]; !ok || rate < old {
		c.linkRates[model] = rate
	}
}

// Admit implements kernel.Admission. Calls of plain services have no prediction
// and are always admitted.
func (c *Check) Admit(r *kernel.Request) *kernel.Refusal {
	if r.Route != config.RouteModel {
		return nil
	}
	now := c.host.Now()
	e := c.host.Estimate(r)
	if !e.Possible {
		return c.refuseUnreachable(r)
	}
	expected := c.correction(r).apply(e.FirstOutput, now)
	excess := now.Add(expected).Sub(latestFirstOutput(r))
	if excess > margin {
		return c.refuseInfeasible(r, expected, excess)
	}
	c.admitted[r.ID] = e.FirstOutput
	return nil
}

// latestFirstOutput returns the latest time for the first output: the request's
// target for the first output or its deadline, whichever is earlier.
func latestFirstOutput(r *kernel.Request) time.Time {
	if r.FirstOutputBy.IsZero() || r.Deadline.Before(r.FirstOutputBy) {
		return r.Deadline
	}
	return r.FirstOutputBy
}

// refuseInfeasible returns the refusal of a request whose first output would be
// late by excess.
func (c *Check) refuseInfeasible(r *kernel.Request, expected, excess time.Duration) *kernel.Refusal {
	return &kernel.Refusal{
		Reason:  kernel.ReasonInfeasible,
		Problem: api.ProblemInfeasible,
		Detail: fmt.Sprintf("the first output is expected in %v, which is %v too late",
			expected.Round(time.Millisecond), excess.Round(time.Millisecond)),
		RetryAfter: c.retrySchedule(r.Model).retryAfter(r.ID, excess, c.host.Now()),
	}
}

// refuseUnreachable returns the refusal of a request for which no upstream is
// available.
func (c *Check) refuseUnreachable(r *kernel.Request) *kernel.Refusal {
	reason := kernel.ReasonNoPrefill
	if c.hasPrefill(r.Model) {
		reason = kernel.ReasonNoDecode
	}
	return &kernel.Refusal{
		Reason:     reason,
		Problem:    api.ProblemNoUpstream,
		Detail:     fmt.Sprintf("no upstream for model %q can be reached from here", r.Model),
		RetryAfter: c.retrySchedule(r.Model).retryAfter(r.ID, 0, c.host.Now()),
	}
}

// hasPrefill reports whether the view has a prefill engine for the model that may
// be usable.
func (c *Check) hasPrefill(model string) bool {
	v := c.host.View()
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if u.Spec.Role == config.RolePrefill && u.Liveness <= kernel.Suspect && u.Serves(model) {
			return true
		}
	}
	return false
}

// correction returns the correction for the kind and model of r, and creates it
// if there is none.
func (c *Check) correction(r *kernel.Request) *correction {
	t := target{model: r.Model, kind: r.Kind}
	k, ok := c.corrections[t]
	if !ok {
		k = &correction{}
		c.corrections[t] = k
	}
	return k
}

// retrySchedule returns the model's schedule of refused callers, and creates it
// if there is none.
func (c *Check) retrySchedule(model string) *retrySchedule {
	b, ok := c.retrySchedules[model]
	if !ok {
		b = &retrySchedule{}
		c.retrySchedules[model] = b
	}
	return b
}

// Observe implements kernel.Observer. It compares predictions with the measured
// times and records placements.
func (c *Check) Observe(r *kernel.Request, rec kernel.Record) {
	if r.Route != config.RouteModel {
		return
	}
	switch rec.Step {
	case kernel.StepPlaced:
		c.retrySchedule(r.Model).recordPlacement(rec.Time)
	case kernel.StepDecoding:
		c.learn(r, rec.Waited+c.transferTime(r), rec.Time)
	case kernel.StepRefused:
		c.learnFromTimeout(r, rec)
	}
}

// learnFromTimeout updates the correction for an admitted request that was
// refused later because it could no longer be served in time. Requests that were
// refused by a later check, or that ended for another reason, are ignored.
func (c *Check) learnFromTimeout(r *kernel.Request, rec kernel.Record) {
	if c.lastEnded.id != r.ID || rec.Reason != kernel.ReasonInfeasible {
		return
	}
	c.correction(r).observe(c.lastEnded.predicted, assumedTime(r), rec.Time)
	c.lastEnded = endedRequest{}
}

// assumedTime returns the assumed time to first output of a request that was
// given up after waiting. The real time is not known, except that it exceeds the
// time that the request had.
func assumedTime(r *kernel.Request) time.Duration {
	return assumedTimeFactor * latestFirstOutput(r).Sub(r.Arrived)
}

// learn updates the correction with the measured time to first output and the
// prediction made at admission. Only the first decode of a request counts, since
// later ones follow a failure.
func (c *Check) learn(r *kernel.Request, measured time.Duration, now time.Time) {
	predicted, ok := c.admitted[r.ID]
	if !ok {
		return
	}
	delete(c.admitted, r.ID)
	c.correction(r).observe(predicted, measured, now)
}

// transferTime returns the time to move the request's KV cache over an idle link.
// The transfer takes place after StepDecoding, so the record's Waited does not
// include it.
func (c *Check) transferTime(r *kernel.Request) time.Duration {
	m := c.host.Model(r.Model)
	rate := c.linkRates[r.Model]
	if m == nil || rate <= 0 {
		return 0
	}
	bytes := float64(m.KVBytesPerToken) * float64(r.PromptTokens)
	return time.Duration(bytes / rate * float64(time.Second))
}

// Finished implements kernel.Admission. It keeps the prediction of a request that
// never started decoding until Observe is called with the reason, which happens
// next.
func (c *Check) Finished(r *kernel.Request, _ api.Outcome) {
	predicted, ok := c.admitted[r.ID]
	if !ok {
		return
	}
	delete(c.admitted, r.ID)
	c.lastEnded = endedRequest{id: r.ID, predicted: predicted}
}
