// Package pace rates a decode engine by how far one more request would slow
// its requests down.
package pace

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// maxTokens bounds the output length that is counted with, so that an
	// overstated one cannot outweigh the time to first output.
	maxTokens = 500
	// left is the share of their output that the requests already running have
	// before them, on average.
	left = 0.5
	// balance is the cost of a slowdown that leaves all within their targets, as
	// a share of the time lost. It prefers emptier engines.
	balance = 0.02
)

// Scorer implements kernel.Scorer.
type Scorer struct{ kernel.NoCost }

// Decode implements kernel.Scorer. The cost is the time by which outputs exceed
// their target pace, summed over the request's own output and the rest of the
// outputs already running, which are taken to have the same target.
func (*Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	if u.Spec.Role != config.RoleDecode {
		return 0
	}
	others := float64(max(u.Load.Running, u.Own.Requests))
	step := seconds(u.Spec.DecodeStepPerRequest)
	alone := seconds(u.Spec.DecodeStep)
	before := alone + max(others-1, 0)*step
	after := alone + others*step
	tokens := float64(min(d.Request.MaxOutputTokens, maxTokens))
	target := seconds(d.Request.Pace)
	if target <= 0 {
		return tokens * balance * others * step
	}
	own := max(after-target, 0)
	harm := max(after-max(before, target), 0) * others * left
	return tokens * (own + harm + balance*others*step)
}

// seconds is Duration.Seconds without its division; decisions call it often.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
