// Package limits holds workspaces to their rate and concurrency limits.
package limits

import (
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/kernel"
)

// Check implements kernel.Admission.
type Check struct {
	host kernel.Host
}

// Attach implements kernel.Attacher.
func (c *Check) Attach(h kernel.Host) { c.host = h }

// Admit implements kernel.Admission.
func (*Check) Admit(*kernel.Request) *kernel.Refusal { return nil }

// Finished implements kernel.Admission.
func (*Check) Finished(*kernel.Request, api.Outcome) {}
