package kernel

import (
	"time"
)

// throughput measures, for each model, how fast this instance places requests
// while others are waiting.
type throughput struct {
	byModel map[string]*placementInterval
}

// placementInterval is the exponentially smoothed time between two placements
// of a model while the queue is not empty.
type placementInterval struct {
	lastPlaced time.Time
	average    time.Duration
}

const (
	// intervalWeight is the weight of the newest interval in the moving average.
	intervalWeight = 0.1
	// maxPlacementInterval limits a single interval, so that an idle period is
	// not counted as a slow placement.
	maxPlacementInterval = 2 * time.Second
	// defaultPlacementInterval is assumed before the first measurement.
	defaultPlacementInterval = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the retry-after hint for refused
	// callers before jitter is added; see Kernel.retryAfter. maxRetryAfter also
	// limits the retry-after hints of upstreams.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// placed records a placement. queued reports whether other requests were waiting;
// only then is the interval since the last placement measured.
func (t *throughput) placed(model string, now time.Time, queued bool) {
	if t.byModel == nil {
		t.byModel = map[string]*placementInterval{}
	}
	p, ok := t.byModel[model]
	if !ok {
		t.byModel[model] = &placementInterval{lastPlaced: now, average: defaultPlacementInterval}
		return
	}
	if queued {
		took := min(now.Sub(p.lastPlaced), maxPlacementInterval)
		p.average += time.Duration(intervalWeight * float64(took-p.average))
	}
	p.lastPlaced = now
}

// wait returns the expected time until the given number of waiting requests have
// been placed.
func (t *throughput) wait(model string, ahead int) time.Duration {
	interval := defaultPlacementInterval
	if p, ok := t.byModel[model]; ok {
		interval = p.average
	}
	return time.Duration(ahead) * interval
}

// minFirstOutput returns the shortest possible time to first output of a
// request, that is, on idle upstreams that serve its model. It returns 0 if there
// are none.
func (k *Kernel) minFirstOutput(r *Request) time.Duration {
	m := k.catalog.models[r.Model]
	least := time.Duration(-1)
	for _, i := range k.fleet.prefills[r.Model] {
		u := &k.fleet.view.Upstreams[i]
		if u.Liveness > Suspect {
			continue
		}
		need := PrefillTime(u, k.uncachedTokens(u, r)) + TransferTime(m, r.PromptTokens, u, u)
		if least < 0 || need < least {
			least = need
		}
	}
	return max(least, 0)
}

// uncachedTokens returns the number of prompt tokens that u would have to compute
// because they are not in its prefix cache.
func (k *Kernel) uncachedTokens(u *Upstream, r *Request) int {
	m := k.catalog.models[r.Model]
	if k.prefix == nil || m == nil {
		return r.PromptTokens
	}
	return max(r.PromptTokens-k.prefix.CachedBlocks(u, r.Blocks)*m.PieceTokens, 1)
}

// estimate predicts the timing of a model request that arrives now.
func (k *Kernel) estimate(r *Request) Estimate {
	prefill, ok := k.estimatePrefill(r)
	if !ok {
		return Estimate{}
	}
	slotWait, pace, ok := k.estimateDecode(r)
	if !ok {
		return Estimate{}
	}
	queueWait := time.Duration(0)
	if ahead := k.queueLength(); ahead > 0 {
		queueWait = k.throughput.wait(r.Model, ahead)
	}
	return Estimate{
		Possible:    true,
		SlotWait:    max(slotWait, queueWait),
		FirstOutput: max(slotWait, queueWait) + prefill + pace,
		Pace:        pace,
	}
}

// estimatePrefill returns the smallest sum of expected wait, prefill time and
// transfer time over the prefill engines of the request's model, and whether
// there is such an engine.
func (k *Kernel) estimatePrefill(r *Request) (time.Duration, bool) {
	m := k.catalog.models[r.Model]
	least, found := time.Duration(0), false
	for _, i := range k.fleet.prefills[r.Model] {
		u := &k.fleet.view.Upstreams[i]
		if u.Liveness > Suspect {
			continue
		}
		need := PrefillWait(u, k.now) +
			PrefillTime(u, k.uncachedTokens(u, r)) +
			TransferTime(m, r.PromptTokens, u, u)
		if !found || need < least {
			least, found = need, true
		}
	}
	return least, found
}

// estimateDecode returns the shortest expected wait for a slot over the decode
// engines of the request's model, the time between output tokens on that engine,
// and whether there is such an engine.
func (k *Kernel) estimateDecode(r *Request) (wait, pace time.Duration, found bool) {
	for _, i := range k.fleet.decodes[r.Model] {
		u := &k.fleet.view.Upstreams[i]
		if u.Liveness > Suspect {
			continue
		}
		a := k.policy.slots.Availability(u)
		w := a.NextFree
		if a.Free > 0 {
			w = 0
		}
		p := DecodePace(u, u.Load.Running+1)
		if !found || w < wait || (w == wait && p < pace) {
			wait, pace, found = w, p, true
		}
	}
	return wait, pace, found
}

// retryAfter returns the retry-after hint for a refused caller: the expected
// time in which the current queue is placed, within minRetryAfter and
// maxRetryAfter, plus a random addition of less than the same amount, so that
// callers do not all return at the same time.
func (k *Kernel) retryAfter(r *Request) time.Duration {
	wait := k.throughput.wait(r.Model, k.queueLength()+1)
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(k.rand.Int64N(int64(wait)))
}
