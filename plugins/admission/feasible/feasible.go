// Package feasible refuses requests at once whose first output cannot be in
// time, and says when to come back.
package feasible

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/kernel"
)

// comeBack is the least time after which a refused caller may come back.
const comeBack = time.Second

// Check implements kernel.Admission.
type Check struct {
	host kernel.Host
}

// Attach implements kernel.Attacher.
func (c *Check) Attach(h kernel.Host) { c.host = h }

// Admit implements kernel.Admission.
func (c *Check) Admit(r *kernel.Request) *kernel.Refusal {
	e := c.host.Estimate(r)
	at := c.host.Now().Add(e.FirstOutput)
	if e.Possible && !at.After(r.FirstOutputBy) {
		return nil
	}
	return &kernel.Refusal{
		Reason:     kernel.ReasonInfeasible,
		Problem:    api.ProblemInfeasible,
		Detail:     "the first output would come too late",
		RetryAfter: max(comeBack, at.Sub(r.FirstOutputBy)),
	}
}

// Finished implements kernel.Admission; there is nothing to give back.
func (*Check) Finished(*kernel.Request, api.Outcome) {}
