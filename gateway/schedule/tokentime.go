package schedule

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// TokenTime is the time per output token of an engine, as instances tell each other.
type TokenTime struct {
	// Bucket is the 1-based logarithmic bucket of the time; 0 if unknown.
	Bucket int
	// Incarnation is the incarnation of the engine that was measured.
	Incarnation ident.Incarnation
}

// OwnTokenTimes returns the times per token that this instance has measured, of engines that differ
// from their service's mean.
func (b *Scheduler) OwnTokenTimes(time.Time) map[ident.UpstreamID]TokenTime { return nil }

// SetPeerTokenTimes records the times per token that peers have measured. It replaces the former
// ones.
func (b *Scheduler) SetPeerTokenTimes(time.Time, map[ident.UpstreamID]TokenTime) {}

// tokenTimeOf returns the time per output token of an engine, in seconds. The caller holds mu.
func (b *Scheduler) tokenTimeOf(_ time.Time, rec *upstreamRecord) float64 {
	return b.performanceOf(rec.up.Service).tokenTime
}
