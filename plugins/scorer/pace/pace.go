// Package pace scores a decode engine by how much one more request would slow
// down the token output of the requests that run on it.
package pace

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// maxCountedTokens limits the output length, in tokens, that is used for
	// the cost, so that an overstated length cannot outweigh the time to first
	// output.
	maxCountedTokens = 500
	// remainingShare is the average fraction of its output that a running
	// request still has to produce.
	remainingShare = 0.5
	// slowdownWeight is the weight of a slowdown that keeps all requests within
	// their targets, as a fraction of the time lost. It favours less loaded
	// engines.
	slowdownWeight = 0.02
)

// Scorer implements kernel.Scorer. Only decode placements have a cost.
type Scorer struct{ kernel.ZeroCost }

// Decode implements kernel.Scorer. The cost, in seconds, is the time by which
// outputs take longer than their target time per output token allows. It is the
// sum over the request's own output and the remaining outputs of the requests
// that already run on u, which are assumed to have the same target and length.
// Upstreams that are not decode engines cost 0.
func (*Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	if u.Spec.Role != config.RoleDecode {
		return 0
	}
	others := float64(max(u.Load.Running, u.LocalLoad.Requests))
	perRequest := seconds(u.Spec.DecodeStepPerRequest)
	alone := seconds(u.Spec.DecodeStep)
	before := alone + max(others-1, 0)*perRequest
	after := alone + others*perRequest
	tokens := float64(min(d.Request.MaxOutputTokens, maxCountedTokens))
	target := seconds(d.Request.Pace)
	if target <= 0 {
		return tokens * slowdownWeight * others * perRequest
	}
	ownDelay := max(after-target, 0)
	othersDelay := max(after-max(before, target), 0) * others * remainingShare
	return tokens * (ownDelay + othersDelay + slowdownWeight*others*perRequest)
}

// seconds returns d in seconds. It multiplies where Duration.Seconds divides,
// because it is called many times in each decision.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
