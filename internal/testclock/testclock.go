// Package testclock provides a process-wide clock for tests that simulates suspensions of
// the machine.
package testclock

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
)

// Clock replaces the process-wide clock during a test. A simulated suspension takes no time
// of Go's clock, which stops during a real one as well.
type Clock struct {
	start       time.Time
	suspended   atomic.Int64
	boottimeErr atomic.Pointer[error]
}

// Use installs a new Clock as the process-wide clock until the test ends.
func Use(t testing.TB) *Clock {
	c := &Clock{start: time.Now()}
	t.Cleanup(clock.Replace(clock.New(c.monotonic, c.boottime)))
	return c
}

// Suspend simulates a suspension of the machine for d, which may be negative.
func (c *Clock) Suspend(d time.Duration) { c.suspended.Add(int64(d)) }

// Fail makes readings of the boottime clock return err; nil ends the failure.
func (c *Clock) Fail(err error) { c.boottimeErr.Store(&err) }

// monotonic reads the clock that stops during suspensions.
func (c *Clock) monotonic() (time.Duration, error) { return time.Since(c.start), nil }

// boottime reads the clock that includes suspensions.
func (c *Clock) boottime() (time.Duration, error) {
	var err error
	if p := c.boottimeErr.Load(); p != nil {
		err = *p
	}
	// The offset of an hour models that the two system clocks start at different values.
	return time.Since(c.start) + time.Hour + time.Duration(c.suspended.Load()), err
}
