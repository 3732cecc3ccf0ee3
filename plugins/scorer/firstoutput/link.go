package firstoutput

import (
	"time"

	"github.com/wardspool/wardspool/kernel"
)

// link is what this instance has put on an engine's KV transfer link, and the
// engine's prefill time in the decision at hand.
type link struct {
	// bytes were still to be transferred at the time at.
	bytes float64
	at    time.Time
	// end is what Prefill gave for request at the time now.
	request *kernel.Request
	now     time.Time
	end     float64
}

// remember keeps the prefill's end for Pair, which is called for many decode
// engines with the same prefill engine.
func (l *link) remember(d *kernel.Decision, end float64) {
	l.request = d.Request
	l.now = d.Now
	l.end = end
}

// recall returns what remember kept for the decision, if it was the last.
func (l *link) recall(d *kernel.Decision) (float64, bool) {
	return l.end, l.request == d.Request && l.now == d.Now
}

// add puts a transfer on u's link.
func (l *link) add(u *kernel.Upstream, bytes float64, now time.Time) {
	l.bytes = l.left(u, now) + bytes
	l.at = now
}

// left is the number of bytes not yet transferred.
func (l *link) left(u *kernel.Upstream, now time.Time) float64 {
	if l.bytes == 0 {
		return 0
	}
	passed := now.Sub(l.at).Seconds()
	return max(l.bytes-passed*u.Spec.LinkBytesPerSecond, 0)
}

// wait is the time until u's link is idle, in seconds.
func (l *link) wait(u *kernel.Upstream, now time.Time) float64 {
	rate := u.Spec.LinkBytesPerSecond
	if l.bytes == 0 || rate <= 0 {
		return 0
	}
	return l.left(u, now) / rate
}

// Observe implements kernel.Observer. A placement puts the prompt's KV cache on
// both links; they drain at their rates from then on. That is too early by the
// prefill's time, for which Pair makes up: a transfer cannot begin before its
// prefill ends either.
func (s *Scorer) Observe(r *kernel.Request, rec kernel.Record) {
	s.calls.observe(r, rec)
	if rec.Step != kernel.StepPlaced {
		return
	}
	m := s.host.Model(r.Model)
	if m == nil {
		return
	}
	bytes := float64(m.KVBytesPerToken) * float64(r.PromptTokens)
	if u := s.host.Upstream(rec.Prefill); u != nil {
		s.links.At(u).add(u, bytes, rec.Time)
	}
	if u := s.host.Upstream(rec.Decode); u != nil {
		s.links.At(u).add(u, bytes, rec.Time)
	}
}
