// Package firstoutput rates a placement by its expected time to first output:
// the queue at the prefill engine, the uncached part of the prompt, the KV
// transfer behind those already on the links, and the wait for a decode slot.
package firstoutput

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/table"
)

// memoryWait is the cost, in seconds, of a decode engine whose KV memory is
// too full for the request: it must wait for others to finish.
const memoryWait = 1.0

// Scorer implements kernel.Scorer. The parts overlap: a slot may fall free
// while the prompt is computed. Prefill and Decode give each part in full and
// Pair takes back what they have in common, so that the sum is
//
//	max(prefill end + transfer, slot wait).
type Scorer struct {
	host  kernel.Host
	links table.Table[link]
	calls services
}

// Attach implements kernel.Attacher.
func (s *Scorer) Attach(h kernel.Host) { s.host = h }

// Prefill implements kernel.Scorer: the queue and the prompt's computation.
func (s *Scorer) Prefill(d *kernel.Decision, u *kernel.Upstream) float64 {
	rate := u.Spec.PrefillTokensPerSecond
	if rate <= 0 {
		return 0
	}
	queued := kernel.QueuedPrefillTokens(u, d.Now)
	uncached := float64(kernel.UncachedTokens(d, u))
	end := (queued + uncached*ramp(u, d.Now)) / rate
	s.links.At(u).remember(d, end)
	return end
}

// Decode implements kernel.Scorer: the wait for a slot, or for a plain service
// the wait for those ahead.
func (s *Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	if u.Spec.Role == config.RoleService {
		return s.calls.cost(d, u)
	}
	return slotWait(d, u)
}

// Pair implements kernel.Scorer: the transfer of the KV cache, less what the
// waits have in common.
func (s *Scorer) Pair(d *kernel.Decision, prefill, decode *kernel.Upstream) float64 {
	from := s.links.At(prefill)
	to := s.links.At(decode)
	end, ok := from.recall(d)
	if !ok {
		end = s.Prefill(d, prefill)
	}
	backlog := max(from.wait(prefill, d.Now), to.wait(decode, d.Now))
	arrived := max(end, backlog) + transfer(d, prefill, decode)
	slot := slotWait(d, decode)
	return max(arrived, slot) - end - slot
}

// slotWait is the expected wait for a slot and memory on u, in seconds.
func slotWait(d *kernel.Decision, u *kernel.Upstream) float64 {
	wait := 0.0
	if d.Slots != nil {
		a := d.Slots.Availability(u)
		if a.Free <= 0 {
			wait = a.NextFree.Seconds()
		}
	}
	if !fits(d, u) {
		wait = max(wait, memoryWait)
	}
	return wait
}

// fits reports whether u has KV memory for the request, as far as is known.
func fits(d *kernel.Decision, u *kernel.Upstream) bool {
	if d.Model == nil || u.Spec.Pieces <= 0 {
		return true
	}
	used := max(u.Load.PiecesUsed, u.Own.Pieces)
	return used+d.Request.Pieces(d.Model.PieceTokens) <= u.Spec.Pieces
}

// transfer is the time to move the prompt's KV cache over idle links, in
// seconds.
func transfer(d *kernel.Decision, from, to *kernel.Upstream) float64 {
	if d.Model == nil {
		return 0
	}
	return kernel.TransferTime(d.Model, d.PromptTokens, from, to).Seconds()
}

const (
	// slowStart is how long an upstream that came back is given work gradually.
	slowStart = 10 * time.Second
	// rampStep is by how much each request already there makes the next one
	// seem longer, at the beginning of the slow start.
	rampStep = 2.0
)

// ramp is the factor by which work for u is overrated during its slow start.
// The first request is not held back, so that an idle upstream gets its share.
func ramp(u *kernel.Upstream, now time.Time) float64 {
	if u.Own.Requests == 0 {
		return 1
	}
	since := now.Sub(u.Health.BackSince)
	if since >= slowStart {
		return 1
	}
	left := 1 - max(since.Seconds(), 0)/slowStart.Seconds()
	return 1 + rampStep*left*float64(u.Own.Requests)
}
