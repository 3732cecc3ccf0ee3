// Package clock provides a monotonic time for ages, leases, windows and deadlines that
// includes the time for which the machine was suspended. Go's monotonic clock, like
// CLOCK_MONOTONIC, stops during a suspension. After it, stale data would look fresh,
// expired leases would seem to be held, and deadlines would seem to be far off.
// CLOCK_BOOTTIME includes suspensions; the wall clock does as well, but may jump.
//
// Times of this package may only be compared with each other, not with time.Now. Timers
// and the deadlines of contexts and connections use Go's clock: set them from the time
// that is left.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkEvery is the minimum interval between readings of the system clocks. A reading
	// takes two system calls, and requests read the time some thousand times a second.
	checkEvery = 20 * time.Millisecond
	// leastSuspension is the minimum growth of the difference between the clocks that
	// counts as a suspension. A thread may be preempted for some 10 ms between the two
	// readings.
	leastSuspension = 100 * time.Millisecond
)

// Reading reads a system clock.
type Reading func() (time.Duration, error)

// Clock adds the time for which the machine was suspended to Go's clock. It is safe for
// concurrent use.
type Clock struct {
	steady, boot Reading
	started      time.Time
	// base is the difference between the clocks when the Clock was created.
	base time.Duration
	// mu is held while the system clocks are read.
	mu sync.Mutex
	// suspended is the total suspended time, in ns: the growth of the difference since
	// then. checked is the time of the last check, in ns since started.
	suspended, checked atomic.Int64
}

// New returns a clock that is based on steady, which stops during a suspension, and boot,
// which does not. A failed reading counts as no suspension.
func New(steady, boot Reading) *Clock {
	c := &Clock{steady: steady, boot: boot, started: time.Now()}
	c.base, _ = c.difference()
	c.checked.Store(-int64(checkEvery))
	return c
}

// difference returns the boot reading minus the steady reading. It returns false if
// either can't be read.
func (c *Clock) difference() (time.Duration, bool) {
	steady, err := c.steady()
	if err != nil {
		return 0, false
	}
	boot, err := c.boot()
	return boot - steady, err == nil
}

// Now returns the current time, including suspensions.
func (c *Clock) Now() time.Time {
	now := time.Now()
	c.check(now)
	return now.Add(time.Duration(c.suspended.Load()))
}

// check calls Check unless the last check was less than checkEvery ago.
func (c *Clock) check(now time.Time) {
	at := int64(now.Sub(c.started))
	last := c.checked.Load()
	if at-last >= int64(checkEvery) && c.checked.CompareAndSwap(last, at) {
		c.Check()
	}
}

// Check reads the system clocks and records a suspension, regardless of checkEvery. Call
// it before actions that must not rely on data from before a suspension, and not more
// often than once per request: it takes two system calls.
func (c *Clock) Check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	difference, ok := c.difference()
	grown := difference - c.base - time.Duration(c.suspended.Load())
	if ok && grown >= leastSuspension {
		c.suspended.Add(int64(grown))
	}
}

// Suspended returns the total time for which the machine was suspended since the Clock
// was created.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// reading returns a Reading of the system clock with the given ID.
func reading(id int32) Reading {
	return func() (time.Duration, error) {
		var t unix.Timespec
		err := unix.ClockGettime(id, &t)
		return time.Duration(t.Nano()), err
	}
}

// current is the process-wide clock.
var current atomic.Pointer[Clock]

func init() { current.Store(New(reading(unix.CLOCK_MONOTONIC), reading(unix.CLOCK_BOOTTIME))) }

// Use replaces the process-wide clock in tests. It returns a function that restores the
// previous clock.
func Use(c *Clock) (undo func()) {
	before := current.Swap(c)
	return func() { current.Store(before) }
}

// Now returns the current time of the process-wide clock.
func Now() time.Time { return current.Load().Now() }

// Since returns the time elapsed since t, a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Check calls Clock.Check on the process-wide clock.
func Check() { current.Load().Check() }

// Suspended returns the total time for which the machine was suspended since the process
// started.
func Suspended() time.Duration { return current.Load().Suspended() }
