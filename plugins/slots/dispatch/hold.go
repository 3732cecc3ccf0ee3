package dispatch

import (
	"slices"
	"time"
)

// holdTimeModel estimates how long slots are used, from the most recent uses.
type holdTimeModel struct {
	// ring holds the most recent uses in order of arrival, overwritten from next
	// on; sorted holds the same values in ascending order.
	ring   []time.Duration
	next   int
	sorted []time.Duration
}

const (
	// holdSamples is the number of uses that are remembered.
	holdSamples = 256
	// initialHold is the assumed length of a use until enoughSamples uses have
	// ended.
	initialHold = 6 * time.Second
	// enoughSamples is the number of uses from which on the samples are used.
	enoughSamples = 8
	// remainingQuantile is the quantile, in percent, of the remaining time that
	// is used as its prediction. A slot that is released later than predicted
	// wastes a prefill; one that is released earlier only delays a prefill.
	remainingQuantile = 60
	// minHold excludes slots that were released unused.
	minHold = 50 * time.Millisecond
)

func newHoldTimeModel() holdTimeModel { return holdTimeModel{} }

// add adds the length of a slot use that ended. Uses shorter than minHold are
// ignored.
func (h *holdTimeModel) add(held time.Duration) {
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

// remaining returns the expected time until a slot that has been in use for the
// given time is released: the remainingQuantile of the samples that lasted
// longer, less the time used. Before there are enough samples it assumes
// initialHold.
func (h *holdTimeModel) remaining(used time.Duration) time.Duration {
	if len(h.sorted) < enoughSamples {
		return max(initialHold-used, initialHold/enoughSamples)
	}
	from, _ := slices.BinarySearch(h.sorted, used)
	longer := h.sorted[from:]
	if len(longer) == 0 {
		// The use is longer than all samples. Its remaining time is taken to be
		// the time by which it exceeds the longest of them.
		return max(used-h.sorted[len(h.sorted)-1], minHold)
	}
	return max(longer[len(longer)*remainingQuantile/100]-used, 0)
}
