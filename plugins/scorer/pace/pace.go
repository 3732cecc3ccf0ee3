// Package pace scores a decode engine by how much one more request would slow
// down the token output of the requests that run on it.
package pace

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// maxTokens limits the output length, in tokens, that is used for the cost,
	// so that an overstated length cannot outweigh the time to first output.
	maxTokens = 500
	// left is the average fraction of its output that a running request still
	// has to produce.
	left = 0.5
	// balance is the weight of a slowdown that keeps all requests within their
	// targets, as a fraction of the time lost. It favours less loaded engines.
	balance = 0.02
)

// Scorer implements kernel.Scorer. Only decode placements have a cost.
type Scorer struct{ kernel.NoCost }

// Decode implements kernel.Scorer. The cost, in seconds, is the time by which
// outputs take longer than their target time per output token allows. It is the
// sum over the request's own output and the remaining outputs of the requests
// that already run on u, which are assumed to have the same target and length.
// Upstreams that are not decode engines cost 0.
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

// seconds returns d in seconds. It multiplies where Duration.Seconds divides,
// because it is called many times in each decision.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
