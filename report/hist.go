package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in nanoseconds, and their precision in significant
// digits.
const (
	histLowest  = int64(time.Microsecond)
	histHighest = int64(10 * time.Minute)
	histDigits  = 3
)

// Hist is a histogram of durations from 1 µs to 10 min with three significant
// digits. Longer durations are recorded as 10 min. It is not safe for concurrent
// use.
type Hist struct{ h *hdrhistogram.Histogram }

// NewHist returns an empty histogram.
func NewHist() *Hist {
	return &Hist{h: hdrhistogram.New(histLowest, histHighest, histDigits)}
}

// Record adds one duration.
func (h *Hist) Record(d time.Duration) {
	// RecordValue fails only for values above histHighest.
	_ = h.h.RecordValue(min(max(int64(d), 0), histHighest))
}

// Count returns the number of durations recorded.
func (h *Hist) Count() int64 { return h.h.TotalCount() }

// Quantile returns the given percentile, 0 to 100, of the recorded durations. It
// is 0 for an empty histogram.
func (h *Hist) Quantile(percent float64) time.Duration {
	if h.h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.h.ValueAtQuantile(percent))
}

// Mean returns the mean of the recorded durations, 0 if there are none.
func (h *Hist) Mean() time.Duration {
	if h.h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.h.Mean())
}

// Merge adds the durations recorded in other.
func (h *Hist) Merge(other *Hist) { h.h.Merge(other.h) }
