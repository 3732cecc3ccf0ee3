package kernel

import (
	"time"
)

// throughput learns how fast this instance's queue for a model moves when
// there is one.
type throughput struct {
	models map[string]*pace
}

// pace is the smoothed time between placements from a non-empty queue.
type pace struct {
	last     time.Time
	interval time.Duration
}

const (
	// paceWeight is the weight of the newest interval.
	paceWeight = 0.1
	// maxPaceInterval bounds one interval, so that an idle time does not
	// count as slowness.
	maxPaceInterval = 2 * time.Second
	// defaultPaceInterval is assumed before the first measurement.
	defaultPaceInterval = 50 * time.Millisecond
	// minComeBack and maxComeBack bound what refused callers are told.
	minComeBack = 500 * time.Millisecond
	maxComeBack = 30 * time.Second
)

// placed notes a placement; queued says that others were waiting.
func (t *throughput) placed(model string, now time.Time, queued bool) {
	if t.models == nil {
		t.models = map[string]*pace{}
	}
	p, ok := t.models[model]
	if !ok {
		t.models[model] = &pace{last: now, interval: defaultPaceInterval}
		return
	}
	if queued {
		took := min(now.Sub(p.last), maxPaceInterval)
		p.interval += time.Duration(paceWeight * float64(took-p.interval))
	}
	p.last = now
}

// wait is the expected time until a number of waiting requests are placed.
func (t *throughput) wait(model string, ahead int) time.Duration {
	interval := defaultPaceInterval
	if p, ok := t.models[model]; ok {
		interval = p.interval
	}
	return time.Duration(ahead) * interval
}

// leastFirstOutput is the shortest possible time to first output for a
// request on idle upstreams that serve its model.
func (k *Kernel) leastFirstOutput(r *Request) time.Duration {
	m := k.catalog.models[r.Model]
	least := time.Duration(-1)
	for _, i := range k.fleet.prefills[r.Model] {
		u := &k.fleet.view.Upstreams[i]
		if u.Life > Suspect {
			continue
		}
		need := PrefillTime(u, k.leastUncached(u, r)) + TransferTime(m, r.PromptTokens, u, u)
		if least < 0 || need < least {
			least = need
		}
	}
	return max(least, 0)
}

func (k *Kernel) leastUncached(u *Upstream, r *Request) int {
	m := k.catalog.models[r.Model]
	if k.prefix == nil || m == nil {
		return r.PromptTokens
	}
	return max(r.PromptTokens-k.prefix.CachedBlocks(u, r.Blocks)*m.PieceTokens, 1)
}

// estimate predicts how a model request would fare if it arrived now.
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

// estimatePrefill is the least expected wait, prefill and transfer time.
func (k *Kernel) estimatePrefill(r *Request) (time.Duration, bool) {
	m := k.catalog.models[r.Model]
	least, found := time.Duration(0), false
	for _, i := range k.fleet.prefills[r.Model] {
		u := &k.fleet.view.Upstreams[i]
		if u.Life > Suspect {
			continue
		}
		need := PrefillWait(u, k.now) +
			PrefillTime(u, k.leastUncached(u, r)) +
			TransferTime(m, r.PromptTokens, u, u)
		if !found || need < least {
			least, found = need, true
		}
	}
	return least, found
}

// estimateDecode is the least expected wait for a slot and the pace there.
func (k *Kernel) estimateDecode(r *Request) (wait, pace time.Duration, found bool) {
	for _, i := range k.fleet.decodes[r.Model] {
		u := &k.fleet.view.Upstreams[i]
		if u.Life > Suspect {
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

// comeBack is what a refused caller is told: when the queue as it is now will
// have moved on, with jitter so that callers do not come back together.
func (k *Kernel) comeBack(r *Request) time.Duration {
	wait := k.throughput.wait(r.Model, k.queueLength()+1)
	wait = min(max(wait, minComeBack), maxComeBack)
	return wait + time.Duration(k.rand.Int64N(int64(wait)))
}
