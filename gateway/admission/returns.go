package admission

import (
	"maps"
	"math"
	"time"
)

const (
	// returnSlot is the resolution of promised return times, and ReturnSlots the number of slots in a
	// report. Callers have up to 14 s and honor a third of what is left.
	returnSlot  = 500 * time.Millisecond
	ReturnSlots = 10
	// maxReturnShare is the share of the remaining time that callers honor as a Retry-After.
	maxReturnShare = 1.0 / 3
	// minReturn is the shortest time that a refused caller is told to wait. Room changes by a few
	// requests within it.
	minReturn = 200 * time.Millisecond
	// lateShare is the last part of the possible return times, over which callers are spread that find
	// no room within any of them.
	lateShare = 1.0 / 3
	// burstHalfLife is the half-life with which a rate of arrivals above its mean is expected to
	// return to the mean. Bursts last 4 to 5 s.
	burstHalfLife = 3 * time.Second
)

// ledger counts promised returns by slot of time and rank.
type ledger map[int]*[Ranks]float64

// slotOf returns the slot of a time.
func slotOf(t time.Time) int { return int(t.UnixNano() / int64(returnSlot)) }

// add counts promised returns.
func (l ledger) add(slot, rank int, n float64) {
	if l[slot] == nil {
		l[slot] = &[Ranks]float64{}
	}
	l[slot][rank] += n
}

// prune removes the slots before one and returns how many promises they held.
func (l ledger) prune(first int) (due float64) {
	for slot, counts := range l {
		if slot < first {
			for _, n := range counts {
				due += n
			}
			delete(l, slot)
		}
	}
	return due
}

const (
	// keptHalfLife is the half-life of what is known of promises. One instance among many refuses a
	// few callers in a burst.
	keptHalfLife = 30 * time.Second
	// keptPrior is how many kept promises are assumed in addition to the known ones.
	keptPrior = 3
)

// keptShare estimates the share of promised returns that callers keep. Some callers do not return,
// in particular those that have returned before. Callers return to any instance, so returns to this
// one are compared with promises of this one.
type keptShare struct {
	due, came float64
	updatedAt time.Time
}

// decay reduces the counts by the time that has passed.
func (k *keptShare) decay(now time.Time) {
	f := math.Exp2(-max(0, now.Sub(k.updatedAt).Seconds()) / keptHalfLife.Seconds())
	k.due, k.came, k.updatedAt = f*k.due, f*k.came, now
}

// returned records that a caller has returned.
func (k *keptShare) returned(now time.Time) {
	k.decay(now)
	k.came++
}

// expired records promises whose time has passed.
func (k *keptShare) expired(now time.Time, promises float64) {
	k.decay(now)
	k.due += promises
}

// at returns the share at a time.
func (k *keptShare) at(now time.Time) float64 {
	k.decay(now)
	return math.Min(1, (k.came+keptPrior)/(k.due+keptPrior))
}

// promiseReturn chooses when the caller of a refused request is to return and counts the promise:
// as soon as there is room that no one else is expected to need. The caller holds mu.
func (c *Controller) promiseReturn(now time.Time, w *Waiter, supply Supply) time.Duration {
	longest := time.Duration(maxReturnShare * float64(w.request.Deadline.Sub(now)))
	if longest <= minReturn {
		return max(longest, 0)
	}
	w.s.prunePromises(now)
	free := c.freeBySlot(now, w, supply)
	at := c.chooseReturn(free, c.contenders(now, w.s, supply), longest)
	if told := w.s.promised[w.request.Content].Sub(now); told > minReturn && told < at {
		// The caller came before its time, and is still counted there.
		return told
	}
	w.s.returns.add(slotOf(now.Add(at)), w.rank&^1, 1)
	if w.request.Content != 0 && len(w.s.promised) < maxPromised {
		w.s.promised[w.request.Content] = now.Add(at)
	}
	return at
}

// maxPromised bounds the number of contents whose promised time is remembered.
const maxPromised = 4096

// prunePromises removes the promises whose time has passed.
func (s *service) prunePromises(now time.Time) {
	if slot := slotOf(now); slot != s.prunedSlot {
		s.prunedSlot = slot
		maps.DeleteFunc(s.promised, func(_ uint64, at time.Time) bool { return at.Before(now) })
	}
	if due := s.returns.prune(slotOf(now)); due > 0 {
		s.kept.expired(now, due)
	}
}

// freeBySlot returns the room in each slot from now that neither the waiting requests, nor callers
// told to return, nor new requests are expected to take. The caller holds mu.
func (c *Controller) freeBySlot(now time.Time, w *Waiter, supply Supply) (free [ReturnSlots]float64) {
	d := c.demandAhead(now, w)
	d.Returns = [ReturnSlots]float64{}
	c.addReturns(now, &d, w.s, w.rank&^1)
	backlog := d.Ahead
	rate, mean := c.arrivalRate(now, w.s)
	before := 0.0
	for i := range free {
		until := supply.placesBy(time.Duration(i+1) * returnSlot)
		middle := time.Duration(i)*returnSlot + returnSlot/2
		room := until - before - d.Returns[i] - w.s.arrivals.expected(rate, mean, w.rank, middle)*returnSlot.Seconds()
		before = until
		used := math.Min(backlog, math.Max(0, room))
		backlog -= used
		free[i] = math.Max(0, room-used)
	}
	return free
}

// contenders returns how many callers, including the present one, are expected to be refused within
// the age of the sums, so that their promises are not known here. The caller holds mu.
func (c *Controller) contenders(now time.Time, s *service, supply Supply) float64 {
	if !c.informed(now) {
		return 1
	}
	return 1 + math.Max(0, s.arrivals.peers-supply.Rate)*c.age(now).Seconds()
}

// chooseReturn chooses a return time between minReturn and longest. Callers are distributed over the
// earliest room for all contenders in proportion to the room, and those without room over the last
// part of the time. The caller holds mu.
func (c *Controller) chooseReturn(free [ReturnSlots]float64, contenders float64, longest time.Duration) time.Duration {
	last := min(ReturnSlots-1, int((longest-1)/returnSlot))
	remaining := c.random.Float64() * contenders
	for i := range last + 1 {
		if remaining -= free[i]; remaining < 0 {
			return c.within(time.Duration(i)*returnSlot, min(time.Duration(i+1)*returnSlot, longest))
		}
	}
	return c.within(time.Duration((1-lateShare)*float64(longest)), longest)
}

// within returns a random time between two, at least minReturn.
func (c *Controller) within(from, to time.Duration) time.Duration {
	from = max(from, minReturn)
	if to <= from {
		return from
	}
	return from + time.Duration(c.random.Int64N(int64(to-from)))
}
