// Package firstoutput rates a placement by its expected time to first output.
package firstoutput

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Scorer implements kernel.Scorer.
type Scorer struct{}

// Prefill implements kernel.Scorer: the queue and the prompt's computation.
func (*Scorer) Prefill(d *kernel.Decision, u *kernel.Upstream) float64 {
	wait := kernel.PrefillWait(u, d.Now)
	compute := kernel.PrefillTime(u, kernel.UncachedTokens(d, u))
	return (wait + compute).Seconds()
}

// Decode implements kernel.Scorer: the wait for a slot.
func (*Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	if u.Spec.Role == config.RoleService {
		return float64(max(u.Own.Requests, u.Load.Running+u.Load.Waiting)) * serviceStep
	}
	if d.Slots == nil {
		return 0
	}
	a := d.Slots.Availability(u)
	if a.Free > 0 {
		return 0
	}
	return a.NextFree.Seconds()
}

// serviceStep is the cost of one request ahead at a plain service, in seconds.
const serviceStep = 0.001

// Pair implements kernel.Scorer: the transfer of the KV cache.
func (*Scorer) Pair(d *kernel.Decision, prefill, decode *kernel.Upstream) float64 {
	return kernel.TransferTime(d.Model, d.PromptTokens, prefill, decode).Seconds()
}
