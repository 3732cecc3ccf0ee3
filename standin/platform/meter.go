package platform

import (
	"sort"
	"time"

	"github.com/wardspool/wardspool/standin/judge"
)

// maxReaders bounds the number of readers that are counted by name.
const maxReaders = 10_000

// meter counts calls and limits their rate: within each one-second window, counted from the
// first call, calls beyond the rate are refused. It is guarded by the platform's mutex.
type meter struct {
	rate    int
	origin  time.Time
	total   window
	calls   int
	limited int
	readers map[string]*reader
	dropped int
}

// reader counts the calls of one reader.
type reader struct {
	calls  int
	bytes  int64
	window window
}

// window counts the calls within the current second and keeps the peak of all seconds.
type window struct {
	second int64
	n      int
	peak   int
}

// add counts one call in the given second and returns the count of that second.
func (w *window) add(second int64) int {
	if second != w.second {
		w.second = second
		w.n = 0
	}
	w.n++
	w.peak = max(w.peak, w.n)
	return w.n
}

// newMeter returns a meter that allows the given number of calls per second.
func newMeter(rate int) *meter {
	return &meter{rate: rate, readers: make(map[string]*reader)}
}

// call counts a call and reports whether it is within the rate. If not, it also returns the
// time until the next second begins.
func (m *meter) call(name string, now time.Time) (allowed bool, retryAfter time.Duration) {
	if m.origin.IsZero() {
		m.origin = now
	}
	passed := now.Sub(m.origin)
	second := int64(passed / time.Second)
	m.calls++
	if r := m.reader(name); r != nil {
		r.calls++
		r.window.add(second)
	}
	if m.total.add(second) <= m.rate {
		return true, 0
	}
	m.limited++
	return false, time.Duration(second+1)*time.Second - passed
}

// addBytes counts the bytes of a value sent to a reader.
func (m *meter) addBytes(name string, n int) {
	if r := m.readers[name]; r != nil {
		r.bytes += int64(n)
	}
}

// reader returns the counts of a reader, or nil if maxReaders is reached.
func (m *meter) reader(name string) *reader {
	r, ok := m.readers[name]
	if ok {
		return r
	}
	if len(m.readers) >= maxReaders {
		m.dropped++
		return nil
	}
	r = &reader{}
	m.readers[name] = r
	return r
}

// report returns the counts, with the readers sorted by name.
func (m *meter) report() judge.Platform {
	out := judge.Platform{
		Calls:         m.calls,
		Limited:       m.limited,
		PeakPerSecond: m.total.peak,
		ByReader:      make([]judge.Reader, 0, len(m.readers)),
		Dropped:       m.dropped,
	}
	for name, r := range m.readers {
		out.ByReader = append(out.ByReader, judge.Reader{
			Reader:        name,
			Calls:         r.calls,
			PeakPerSecond: r.window.peak,
			BytesSent:     r.bytes,
		})
	}
	sort.Slice(out.ByReader, func(i, j int) bool { return out.ByReader[i].Reader < out.ByReader[j].Reader })
	return out
}
