package schedule

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/admission"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// DecodeSupply returns how many requests of a size the decode engines of a list are expected to
// have room for: now by the forecasts of the memory that all instances' streams take, and later by the
// rate at which the running streams end. The forecasts have each stream end at its expected length, so
// that those of a burst would all end at the same time.
func (b *Scheduler) DecodeSupply(now time.Time, list []dialect.Upstream, e *routing.Engine, size Size, exclude []ident.UpstreamID) admission.Supply {
	b.mu.Lock()
	defer b.mu.Unlock()
	supply := admission.Supply{Step: forecastStep, Places: make([]float64, forecastSteps), PrefillRate: b.prefillRate(now, list, size.Prompt)}
	r := b.performanceOf(serviceOf(list))
	run := runningStream{prompt: size.Prompt, estimate: size.Estimate, produced: size.Produced, reserved: size.TokensToReserve()}
	output := expectedOutput(float64(size.Estimate), float64(size.Produced), r.spread())
	need := math.Max(1, math.Max(float64(run.reserved), float64(size.Prompt)+output))
	// free is the number of free places, ending that of places that become free per second.
	free, ending := 0.0, 0.0
	for _, u := range list {
		if u.Stage != dialect.StageDecode || !b.usable(now, u, exclude) {
			continue
		}
		rec := b.recordOf(u)
		if !b.available(now, rec) {
			continue
		}
		places, busy := b.places(now, rec, e, need)
		duration := math.Max(minStreamSeconds, r.firstEvent+(output-float64(size.Produced))*b.tokenTimeOf(now, rec))
		free += places
		ending += busy / duration
		supply.Rate += math.Min(usableMemoryShare*float64(e.KVTokens)/need, float64(e.Slots)) / duration
	}
	// PlaceDecode keeps room for placements that peers have not reported yet.
	free = math.Max(0, free-unseenMemoryShare*b.unseenPlacements(now, serviceOf(list)))
	for i := range supply.Places {
		supply.Places[i] = free + ending*float64(i)*forecastStep.Seconds()
	}
	return supply
}

// HasRoom reports whether PlaceDecode would find an engine for a request.
func (b *Scheduler) HasRoom(now time.Time, list []dialect.Upstream, e *routing.Engine, size Size, exclude []ident.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	run := runningStream{prompt: size.Prompt, estimate: size.Estimate, produced: size.Produced, reserved: size.TokensToReserve()}
	return len(b.availableDecode(now, list, e, size, run, exclude, b.unseenPlacements(now, serviceOf(list)))) > 0
}

// minStreamSeconds is the lower bound of a stream's duration in a supply, for requests whose output
// is expected to be empty.
const minStreamSeconds = 0.05

// places returns how many requests that need the given memory, in tokens, an engine has room for, and
// how many such places its requests take. The caller holds mu.
func (b *Scheduler) places(now time.Time, rec *upstreamRecord, e *routing.Engine, need float64) (free, busy float64) {
	f := b.ownForecast(now, rec)
	f.add(rec.peerForecast)
	total := usableMemoryShare*float64(e.KVTokens) - float64(rec.unaccountedMemory(now))
	slots := float64(e.Slots - rec.requests - rec.peerRequests)
	free = math.Max(0, math.Min(math.Floor((total-float64(f.peak()))/need), slots))
	return free, math.Min(float64(f[0])/need, float64(e.Slots))
}

// prefillRate returns how many prompts of a length the available prefill engines of a list can
// compute, in prompts per second. The caller holds mu.
func (b *Scheduler) prefillRate(now time.Time, list []dialect.Upstream, tokens int) float64 {
	rate := 0.0
	for _, u := range list {
		if u.Stage != dialect.StagePrefill || !b.usable(now, u, nil) {
			continue
		}
		rec := b.recordOf(u)
		seconds := b.performanceOf(u.Service).prefill.time(max(1, tokens)).Seconds() * b.slowdown(now, rec)
		if b.available(now, rec) && seconds > 0 {
			rate += 1 / seconds
		}
	}
	return rate
}
