// Package queue bounds the number of requests queued at one instance.
package queue

import (
	"fmt"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/admission/internal/jitter"
)

// defaultLimit is the maximum queue length, in requests, if the bundle sets no
// queue_limit.
const defaultLimit = 256

// minRetryAfter is the shortest Retry-After time that a refused caller is given.
// Package jitter extends it.
const minRetryAfter = time.Second

// Check implements kernel.Admission.
type Check struct {
	host  kernel.Host
	limit int
}

// Attach implements kernel.Attacher.
func (c *Check) Attach(h kernel.Host) { c.host = h }

// Configure implements kernel.Configurer.
func (c *Check) Configure(content *config.Content) { c.limit = content.Policy.QueueLimit }

// Admit implements kernel.Admission.
func (c *Check) Admit(r *kernel.Request) *kernel.Refusal {
	limit := c.limit
	if limit <= 0 {
		limit = defaultLimit
	}
	waiting := c.host.QueueLength()
	if waiting < limit {
		return nil
	}
	return &kernel.Refusal{
		Reason:     kernel.ReasonQueueFull,
		Problem:    api.ProblemOverloaded,
		Detail:     fmt.Sprintf("%d requests wait here, the limit is %d", waiting, limit),
		RetryAfter: jitter.Prolong(minRetryAfter, r.ID),
	}
}

// Finished implements kernel.Admission. It does nothing, since Admit keeps no
// state for a request.
func (*Check) Finished(*kernel.Request, api.Outcome) {}
