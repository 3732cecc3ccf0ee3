// Package pace rates a decode engine by how far one more request would slow
// it down.
package pace

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Scorer implements kernel.Scorer.
type Scorer struct{ kernel.NoCost }

// Decode implements kernel.Scorer.
func (*Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	if u.Spec.Role != config.RoleDecode {
		return 0
	}
	running := max(u.Load.Running, u.Own.Requests) + 1
	over := kernel.DecodePace(u, running) - d.Request.Pace
	if over <= 0 {
		return 0
	}
	return over.Seconds() * float64(d.Request.MaxOutputTokens)
}
