// Package roundrobin takes the upstreams in turn, whatever their load. It is
// the naive policy that others are compared with.
package roundrobin

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Scorer implements kernel.Scorer.
type Scorer struct {
	kernel.NoCost
	host kernel.Host
	// nextPrefill and nextDecode are the indices to be served next.
	nextPrefill, nextDecode int
}

// Attach implements kernel.Attacher.
func (s *Scorer) Attach(h kernel.Host) { s.host = h }

// Prefill implements kernel.Scorer.
func (s *Scorer) Prefill(d *kernel.Decision, u *kernel.Upstream) float64 {
	return turns(s.nextPrefill, u, len(d.View.Upstreams))
}

// Decode implements kernel.Scorer.
func (s *Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	return turns(s.nextDecode, u, len(d.View.Upstreams))
}

// Observe implements kernel.Observer: it passes the turn on.
func (s *Scorer) Observe(_ *kernel.Request, rec kernel.Record) {
	if rec.Step != kernel.StepPlaced && rec.Step != kernel.StepCalled {
		return
	}
	s.nextPrefill = s.after(rec.Prefill, s.nextPrefill)
	s.nextDecode = s.after(rec.Decode, s.nextDecode)
}

// after returns the index that follows an upstream's, or old if it is unknown.
func (s *Scorer) after(id ident.UpstreamID, old int) int {
	if id == "" {
		return old
	}
	u := s.host.Upstream(id)
	if u == nil {
		return old
	}
	return u.Index + 1
}

// turns counts the upstreams that come before u, starting from next.
func turns(next int, u *kernel.Upstream, n int) float64 {
	if n == 0 {
		return 0
	}
	return float64(((u.Index-next)%n + n) % n)
}
