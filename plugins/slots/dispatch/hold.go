package dispatch

import (
	"slices"
	"time"
)

// holdModel learns how long slots are used, from the newest uses.
type holdModel struct {
	// ring holds the newest uses, sorted the same in order.
	ring   []time.Duration
	next   int
	sorted []time.Duration
}

const (
	// holdSamples is how many uses are remembered.
	holdSamples = 256
	// initialHold is assumed before enough slots were given back.
	initialHold = 6 * time.Second
	// enoughSamples is when the uses seen are relied upon.
	enoughSamples = 8
	// remainingQuantile is the quantile, in percent, of the remaining time that
	// is reckoned with: a slot that comes late wastes a prefill, one that comes
	// early delays one.
	remainingQuantile = 60
	// minHold leaves out slots that were given back unused.
	minHold = 50 * time.Millisecond
)

func newHoldModel() holdModel { return holdModel{} }

// note takes in how long a slot was used.
func (h *holdModel) note(held time.Duration) {
	if held < minHold {
		return
	}
	if len(h.ring) < holdSamples {
		h.ring = append(h.ring, held)
	} else {
		at, _ := slices.BinarySearch(h.sorted, h.ring[h.next])
		h.sorted = slices.Delete(h.sorted, at, at+1)
		h.ring[h.next] = held
		h.next = (h.next + 1) % holdSamples
	}
	at, _ := slices.BinarySearch(h.sorted, held)
	h.sorted = slices.Insert(h.sorted, at, held)
}

// remaining is the expected time until a slot in use for the given time is
// released: a quantile of the uses that lasted longer.
func (h *holdModel) remaining(used time.Duration) time.Duration {
	if len(h.sorted) < enoughSamples {
		return max(initialHold-used, initialHold/enoughSamples)
	}
	from, _ := slices.BinarySearch(h.sorted, used)
	longer := h.sorted[from:]
	if len(longer) == 0 {
		// Longer than all that were seen: as much again as it is over.
		return max(used-h.sorted[len(h.sorted)-1], minHold)
	}
	return max(longer[len(longer)*remainingQuantile/100]-used, 0)
}
