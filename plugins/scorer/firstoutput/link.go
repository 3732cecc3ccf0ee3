package firstoutput

import (
	"time"

	"github.com/wardspool/wardspool/kernel"
)

// link is the state that is kept for one engine: the bytes of this instance's
// requests that are still to be transferred over the engine's KV transfer link,
// and the prefill end of the current decision.
type link struct {
	// bytes is the number of bytes that were still to be transferred at the
	// time at.
	bytes float64
	at    time.Time
	// prefillEnd is the result of Prefill for request at the time now, in seconds.
	request    *kernel.Request
	now        time.Time
	prefillEnd float64
}

// storePrefillEnd caches the prefill end, in seconds, of the decision. Pair
// needs it for many decode engines with the same prefill engine.
func (l *link) storePrefillEnd(d *kernel.Decision, end float64) {
	l.request = d.Request
	l.now = d.Now
	l.prefillEnd = end
}

// storedPrefillEnd returns the cached prefill end, in seconds. The second
// result is false if the cached value belongs to another decision.
func (l *link) storedPrefillEnd(d *kernel.Decision) (float64, bool) {
	return l.prefillEnd, l.request == d.Request && l.now == d.Now
}

// add adds a transfer of the given number of bytes to u's link.
func (l *link) add(u *kernel.Upstream, bytes float64, now time.Time) {
	l.bytes = l.remainingBytes(u, now) + bytes
	l.at = now
}

// remainingBytes returns the number of bytes that are still to be transferred
// at the time now, assuming that the link has transferred at its full rate.
func (l *link) remainingBytes(u *kernel.Upstream, now time.Time) float64 {
	if l.bytes == 0 {
		return 0
	}
	passed := now.Sub(l.at).Seconds()
	return max(l.bytes-passed*u.Spec.LinkBytesPerSecond, 0)
}

// timeUntilIdle returns the time, in seconds, until u's link is idle. It is 0
// if the link's rate is not known.
func (l *link) timeUntilIdle(u *kernel.Upstream, now time.Time) float64 {
	rate := u.Spec.LinkBytesPerSecond
	if l.bytes == 0 || rate <= 0 {
		return 0
	}
	return l.remainingBytes(u, now) / rate
}

// Observe implements kernel.Observer. A placement adds the prompt's KV cache to
// the links of both engines, which are assumed to transfer it from that time on.
// This is too early by the duration of the prefill. Pair compensates for it: it
// lets a transfer start only when both the links are idle and its own prefill has
// ended.
func (s *Scorer) Observe(r *kernel.Request, rec kernel.Record) {
	s.serviceCalls.observe(r, rec)
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
