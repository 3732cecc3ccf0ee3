package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and precision of the histograms.
const (
	histLowest  = int64(time.Microsecond)
	histHighest = int64(10 * time.Minute)
	histDigits  = 3
)

// Hist is a histogram of durations from a microsecond to ten minutes with three
// significant digits. Longer durations count as ten minutes. It is not safe for
// concurrent use.
type Hist struct{ h *hdrhistogram.Histogram }

// NewHist returns an empty histogram.
func NewHist() *Hist {
	return &Hist{h: hdrhistogram.New(histLowest, histHighest, histDigits)}
}

// Record counts one duration.
func (h *Hist) Record(d time.Duration) {
	// The value is within bounds, so that recording cannot fail.
	_ = h.h.RecordValue(min(max(int64(d), 0), histHighest))
}

// Count returns the number of durations recorded.
func (h *Hist) Count() int64 { return h.h.TotalCount() }

// Quantile returns the duration below which the given percentage, 0 to 100, of
// those recorded lie; it is 0 for an empty histogram.
func (h *Hist) Quantile(percent float64) time.Duration {
	if h.h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.h.ValueAtQuantile(percent))
}

// Mean returns the mean of the durations recorded, 0 if there are none.
func (h *Hist) Mean() time.Duration {
	if h.h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.h.Mean())
}

// Merge adds the durations of other.
func (h *Hist) Merge(other *Hist) { h.h.Merge(other.h) }
