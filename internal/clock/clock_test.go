package clock

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// twin is a pair of readings that part when the machine is suspended.
type twin struct {
	start     time.Time
	suspended time.Duration
	err       error
}

func newTwin() *twin { return &twin{start: time.Now()} }

func (w *twin) steady() (time.Duration, error) { return time.Since(w.start), nil }
func (w *twin) boot() (time.Duration, error) {
	return time.Since(w.start) + w.suspended + time.Hour, w.err
}

// TestSuspensionCounts: ages, and what is left of deadlines, count the time for which the
// machine was suspended.
func TestSuspensionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTwin()
		c := New(w.steady, w.boot)
		defer Use(c)()
		before := Now()
		deadline := before.Add(10 * time.Second)
		time.Sleep(time.Second)
		assert.Equal(t, Since(before), time.Second)
		w.suspended = 5 * time.Second
		time.Sleep(checkEvery)
		assert.Equal(t, Since(before), 6*time.Second+checkEvery)
		assert.Equal(t, Until(deadline), 4*time.Second-checkEvery)
		assert.Equal(t, Suspended(), 5*time.Second)
		w.suspended += 3 * time.Second
		time.Sleep(checkEvery)
		assert.Equal(t, Since(before), 9*time.Second+2*checkEvery)
	})
}

// TestNoise: a thread that loses the processor between the readings shows no suspension,
// nor does a clock that can't be read; and time never goes back.
func TestNoise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTwin()
		c := New(w.steady, w.boot)
		last := c.Now()
		for _, r := range []struct {
			suspended time.Duration
			err       error
			want      time.Duration
		}{
			{leastSuspension - 1, nil, 0}, {-time.Second, nil, 0}, {0, nil, 0},
			{time.Minute, errors.ErrUnsupported, 0}, {time.Minute, nil, time.Minute}, {0, nil, time.Minute},
		} {
			w.suspended, w.err = r.suspended, r.err
			time.Sleep(checkEvery)
			now := c.Now()
			assert.Equal(t, c.Suspended(), r.want)
			assert.Assert(t, now.After(last))
			last = now
		}
	})
}

// TestSystemsClocksCanBeRead: on this machine, which was not suspended meanwhile.
func TestSystemsClocksCanBeRead(t *testing.T) {
	_, ok := current.Load().difference()
	assert.Assert(t, ok)
	before := time.Now()
	time.Sleep(2 * checkEvery)
	assert.Assert(t, Now().Sub(before) < time.Minute)
}

// BenchmarkNow: 90 ns, of which Go's own clock takes 74 (one core of the development
// machine, a look at the system's clocks each 20 ms included).
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkGoNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
