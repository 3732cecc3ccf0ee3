package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// arrivalHalfLife is the half-life of past arrivals. It is shorter than a burst.
const arrivalHalfLife = 2 * time.Second

// arrivals is an exponentially decaying count of requests.
type arrivals struct {
	updatedAt time.Time
	count     float64
}

// add counts a request.
func (a *arrivals) add(now time.Time) {
	a.count = a.decayed(now) + 1
	a.updatedAt = now
}

// decayed returns the count decayed to now.
func (a *arrivals) decayed(now time.Time) float64 {
	elapsed := now.Sub(a.updatedAt)
	if a.updatedAt.IsZero() || elapsed <= 0 {
		return a.count
	}
	return a.count * math.Exp2(-elapsed.Seconds()/arrivalHalfLife.Seconds())
}

// perSecond returns the arrival rate.
func (a *arrivals) perSecond(now time.Time) float64 {
	return a.decayed(now) * math.Ln2 / arrivalHalfLife.Seconds()
}

// SetFleetSize sets the number of instances that share the upstreams, and the mean age of the load
// reports from the other instances.
func (b *Scheduler) SetFleetSize(instances int, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.otherInstances, b.reportAge = max(0, instances-1), age
}

// SetOfferedRate sets the rate of requests of all other instances to a service, in requests per
// second. This instance's arrivals are a poor estimate of it, since in a large fleet most
// instances have received no request for a while.
func (b *Scheduler) SetOfferedRate(service string, perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offeredRates[service] = perSecond
}

// unseenPlacements returns how many requests the other instances are expected to have placed at
// a service since their last load reports. Instances with the same view that did not account
// for these would all choose the same upstream. The caller holds mu.
func (b *Scheduler) unseenPlacements(now time.Time, service string) float64 {
	if offered, ok := b.offeredRates[service]; ok {
		return offered * b.reportAge.Seconds()
	}
	a := b.arrivals[service]
	if a == nil {
		return 0
	}
	return a.perSecond(now) * float64(b.otherInstances) * b.reportAge.Seconds()
}

// recordArrival counts a request of this instance to a service. The caller holds mu.
func (b *Scheduler) recordArrival(now time.Time, service string) {
	a := b.arrivals[service]
	if a == nil {
		a = &arrivals{}
		b.arrivals[service] = a
	}
	a.add(now)
}

// candidate is an upstream that may be chosen, and its cost.
type candidate struct {
	record *upstreamRecord
	cost   float64
	// freeShare is the share of a decode engine's memory that is expected to stay free.
	freeShare float64
	// tokenTimeBucket is the bucket of a decode engine's time per token.
	tokenTimeBucket int
	// requestCost is the portion of a prefill engine's cost that the request itself adds.
	requestCost float64
}

// chooseAmongCheapest chooses at random among the cheapest candidates, of which it considers
// one more than there are unseen placements. It reorders list in place and returns nil if list
// is empty. The caller holds mu.
func (b *Scheduler) chooseAmongCheapest(list []candidate, unseen float64) *upstreamRecord {
	if len(list) == 0 {
		return nil
	}
	n := min(len(list), 1+int(math.Ceil(unseen)))
	for i := range n {
		least := i
		for j := i + 1; j < len(list); j++ {
			if list[j].cost < list[least].cost {
				least = j
			}
		}
		list[i], list[least] = list[least], list[i]
	}
	return list[b.random.IntN(n)].record
}

// chooseByWaterLevel chooses a prefill engine at random by water-filling: the unseen placements
// are expected to raise the cheapest engines to the same cost. The probability of an engine
// grows with the distance of its cost to that level, and falls with the cost of a request
// there. Without unseen placements it chooses the cheapest engine. It sorts list in place and
// returns nil if list is empty. The caller holds mu.
func (b *Scheduler) chooseByWaterLevel(list []candidate, unseen float64) *upstreamRecord {
	slices.SortFunc(list, func(a, c candidate) int { return cmp.Compare(a.cost, c.cost) })
	if len(list) == 0 {
		return nil
	}
	if unseen <= 0 {
		return list[0].record
	}
	level, below := waterLevel(list, unseen)
	remaining := b.random.Float64() * unseen
	for _, c := range list[:below] {
		if remaining -= (level - c.cost) / c.requestCost; remaining < 0 {
			return c.record
		}
	}
	return list[0].record
}

// waterLevel returns the cost to which the given number of placements raises the cheapest
// engines, and how many engines lie below it. The list must be sorted by cost.
func waterLevel(list []candidate, placements float64) (level float64, below int) {
	rate, filled := 0.0, 0.0
	for i, c := range list {
		if rate > 0 && level <= c.cost {
			return level, i
		}
		rate += 1 / c.requestCost
		filled += c.cost / c.requestCost
		level = (placements + filled) / rate
	}
	return level, len(list)
}
