// Package roundrobin selects the upstreams in rotation, independently of their
// load. It serves as the baseline for comparisons with other policies.
package roundrobin

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Scorer implements kernel.Scorer.
type Scorer struct {
	kernel.ZeroCost
	host kernel.Host
	// nextPrefill and nextDecode are the view indices at which the search for the
	// next prefill and decode upstream starts.
	nextPrefill, nextDecode int
}

// Attach implements kernel.Attacher.
func (s *Scorer) Attach(h kernel.Host) { s.host = h }

// Prefill implements kernel.Scorer. The cost is the distance of u from the next
// index in the rotation.
func (s *Scorer) Prefill(d *kernel.Decision, u *kernel.Upstream) float64 {
	return distance(s.nextPrefill, u, len(d.View.Upstreams))
}

// Decode implements kernel.Scorer. The cost is the distance of u from the next
// index in the rotation.
func (s *Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	return distance(s.nextDecode, u, len(d.View.Upstreams))
}

// Observe implements kernel.Observer. It advances the rotation past the
// upstreams of each placement and of each service call.
func (s *Scorer) Observe(_ *kernel.Request, rec kernel.Record) {
	if rec.Step != kernel.StepPlaced && rec.Step != kernel.StepCalled {
		return
	}
	s.nextPrefill = s.indexAfter(rec.Prefill, s.nextPrefill)
	s.nextDecode = s.indexAfter(rec.Decode, s.nextDecode)
}

// indexAfter returns the index that follows that of the upstream id, or old if
// id is empty or not in the view.
func (s *Scorer) indexAfter(id ident.UpstreamID, old int) int {
	if id == "" {
		return old
	}
	u := s.host.Upstream(id)
	if u == nil {
		return old
	}
	return u.Index + 1
}

// distance returns the number of upstreams from index next up to u, not
// including u, in a view of n upstreams that wraps around.
func distance(next int, u *kernel.Upstream, n int) float64 {
	if n == 0 {
		return 0
	}
	return float64(((u.Index-next)%n + n) % n)
}
