// Package firstoutput scores a placement by its expected time to first output.
// This covers the queue at the prefill engine, the computation of the uncached
// part of the prompt, the KV cache transfer after the transfers that are already
// on the links, and the wait for a decode slot.
package firstoutput

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/table"
)

// fullMemoryWait is the assumed wait, in seconds, at a decode engine that has too
// little free KV memory for the request, so that other requests must finish
// first.
const fullMemoryWait = 1.0

// Scorer implements kernel.Scorer. The parts of the time to first output overlap:
// a slot may become free while the prompt is computed. Prefill and Decode return
// the full time of their part, and Pair subtracts the overlap, so that the sum of
// the three is
//
//	max(prefill end + transfer, slot wait).
type Scorer struct {
	host         kernel.Host
	links        table.Table[link]
	serviceCalls callTimes
}

// Attach implements kernel.Attacher.
func (s *Scorer) Attach(h kernel.Host) { s.host = h }

// Prefill implements kernel.Scorer. The cost, in seconds, is the time until u has
// worked through its queue and computed the uncached part of the prompt.
func (s *Scorer) Prefill(d *kernel.Decision, u *kernel.Upstream) float64 {
	rate := u.Spec.PrefillTokensPerSecond
	if rate <= 0 {
		return 0
	}
	queued := kernel.QueuedPrefillTokens(u, d.Now)
	uncached := float64(kernel.UncachedTokens(d, u))
	end := (queued + uncached*slowStartFactor(u, d.Now)) / rate
	s.links.At(u).storePrefillEnd(d, end)
	return end
}

// Decode implements kernel.Scorer. The cost, in seconds, is the wait for a decode
// slot, or for a plain service the wait for the calls that are ahead.
func (s *Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	if u.Spec.Role == config.RoleService {
		return s.serviceCalls.cost(d, u)
	}
	return slotWait(d, u)
}

// Pair implements kernel.Scorer. The cost, in seconds, is the time for the
// transfer of the KV cache minus the overlap of the prefill time and the slot
// wait. It may be negative.
func (s *Scorer) Pair(d *kernel.Decision, prefill, decode *kernel.Upstream) float64 {
	from := s.links.At(prefill)
	to := s.links.At(decode)
	end, ok := from.storedPrefillEnd(d)
	if !ok {
		end = s.Prefill(d, prefill)
	}
	backlog := max(from.timeUntilIdle(prefill, d.Now), to.timeUntilIdle(decode, d.Now))
	arrived := max(end, backlog) + transfer(d, prefill, decode)
	slot := slotWait(d, decode)
	return max(arrived, slot) - end - slot
}

// slotWait returns the expected wait, in seconds, for a slot and KV memory on u.
func slotWait(d *kernel.Decision, u *kernel.Upstream) float64 {
	wait := 0.0
	if d.Slots != nil {
		a := d.Slots.Availability(u)
		if a.Free <= 0 {
			wait = a.NextFree.Seconds()
		}
	}
	if !fits(d, u) {
		wait = max(wait, fullMemoryWait)
	}
	return wait
}

// fits reports whether u has enough free KV memory for the request. It returns
// true if the model or the engine's memory size is not known.
func fits(d *kernel.Decision, u *kernel.Upstream) bool {
	if d.Model == nil || u.Spec.Pieces <= 0 {
		return true
	}
	used := max(u.Load.PiecesUsed, u.LocalLoad.Pieces)
	return used+d.Request.Pieces(d.Model.PieceTokens) <= u.Spec.Pieces
}

// transfer returns the time, in seconds, to transfer the prompt's KV cache over
// idle links, or 0 if the model is not known.
func transfer(d *kernel.Decision, from, to *kernel.Upstream) float64 {
	if d.Model == nil {
		return 0
	}
	return kernel.TransferTime(d.Model, d.PromptTokens, from, to).Seconds()
}

const (
	// slowStartPeriod is the period during which the load on an upstream that has
	// returned to service is increased gradually.
	slowStartPeriod = 10 * time.Second
	// slowStartStep is the amount by which each of this instance's requests at the
	// upstream raises the cost factor of the next one at the beginning of the
	// slow start.
	slowStartStep = 2.0
)

// slowStartFactor returns the factor by which the cost of work on u is
// multiplied. It is above 1 during the slow start of u and falls linearly to 1
// at its end. It is 1 for the first request, so that an idle upstream still
// receives requests.
func slowStartFactor(u *kernel.Upstream, now time.Time) float64 {
	if u.LocalLoad.Requests == 0 {
		return 1
	}
	since := now.Sub(u.Health.AvailableSince)
	if since >= slowStartPeriod {
		return 1
	}
	remaining := 1 - max(since.Seconds(), 0)/slowStartPeriod.Seconds()
	return 1 + slowStartStep*remaining*float64(u.LocalLoad.Requests)
}
