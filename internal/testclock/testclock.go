// Package testclock is a clock for tests that can be told that the machine was suspended.
package testclock

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
)

// Clock is the clock of the process while a test runs. Go's own clock stands still in a
// suspension: no time passes for it.
type Clock struct {
	start     time.Time
	suspended atomic.Int64
	failing   atomic.Pointer[error]
}

// Use makes a clock that of the process until the test ends.
func Use(t testing.TB) *Clock {
	c := &Clock{start: time.Now()}
	t.Cleanup(clock.Use(clock.New(c.steady, c.boot)))
	return c
}

// Suspend has the machine be suspended for a time, less than none included.
func (c *Clock) Suspend(d time.Duration) { c.suspended.Add(int64(d)) }

// Fail has the reading that counts suspensions fail, nil heals it.
func (c *Clock) Fail(err error) { c.failing.Store(&err) }

func (c *Clock) steady() (time.Duration, error) { return time.Since(c.start), nil }

func (c *Clock) boot() (time.Duration, error) {
	var err error
	if p := c.failing.Load(); p != nil {
		err = *p
	}
	// The two never start at the same value.
	return time.Since(c.start) + time.Hour + time.Duration(c.suspended.Load()), err
}
