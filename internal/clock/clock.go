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
	// checkInterval is the minimum interval between readings of the system clocks. A reading
	// takes two system calls, and requests read the time some thousand times a second.
	checkInterval = 20 * time.Millisecond
	// minSuspension is the minimum growth of the difference between the clocks that
	// counts as a suspension. A thread may be preempted for some 10 ms between the two
	// readings.
	minSuspension = 100 * time.Millisecond
)

// Reading reads a system clock.
type Reading func() (time.Duration, error)

// Clock adds the time for which the machine was suspended to Go's clock. It is safe for
// concurrent use.
type Clock struct {
	monotonic, boottime Reading
	started             time.Time
	// initialDifference is the difference between the clocks when the Clock was created.
	initialDifference time.Duration
	// mu is held while the system clocks are read.
	mu sync.Mutex
	// suspended is the total suspended time, in ns: the growth of the difference since
	// then. lastCheck is the time of the last check, in ns since started.
	suspended, lastCheck atomic.Int64
}

// New returns a clock that is based on monotonic, which stops during a suspension, and
// boottime, which does not. A failed reading counts as no suspension.
func New(monotonic, boottime Reading) *Clock {
	c := &Clock{monotonic: monotonic, boottime: boottime, started: time.Now()}
	c.initialDifference, _ = c.difference()
	c.lastCheck.Store(-int64(checkInterval))
	return c
}

// difference returns the boottime reading minus the monotonic reading. It returns false if
// either can't be read.
func (c *Clock) difference() (time.Duration, bool) {
	monotonic, err := c.monotonic()
	if err != nil {
		return 0, false
	}
	boottime, err := c.boottime()
	return boottime - monotonic, err == nil
}

// Now returns the current time, including suspensions.
func (c *Clock) Now() time.Time {
	now := time.Now()
	c.checkIfDue(now)
	return now.Add(time.Duration(c.suspended.Load()))
}

// checkIfDue calls Check unless the last one was less than checkInterval ago.
func (c *Clock) checkIfDue(now time.Time) {
	at := int64(now.Sub(c.started))
	last := c.lastCheck.Load()
	if at-last >= int64(checkInterval) && c.lastCheck.CompareAndSwap(last, at) {
		c.Check()
	}
}

// Check reads the system clocks and records a suspension, regardless of checkInterval. Call
// it before actions that must not rely on data from before a suspension, and not more
// often than once per request: it takes two system calls.
func (c *Clock) Check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	difference, ok := c.difference()
	grown := difference - c.initialDifference - time.Duration(c.suspended.Load())
	if ok && grown >= minSuspension {
		c.suspended.Add(int64(grown))
	}
}

// Suspended returns the total time for which the machine was suspended since the Clock
// was created.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// systemClock returns a Reading of the system clock with the given ID.
func systemClock(id int32) Reading {
	return func() (time.Duration, error) {
		var t unix.Timespec
		err := unix.ClockGettime(id, &t)
		return time.Duration(t.Nano()), err
	}
}

// current is the process-wide clock.
var current atomic.Pointer[Clock]

func init() { current.Store(New(systemClock(unix.CLOCK_MONOTONIC), systemClock(unix.CLOCK_BOOTTIME))) }

// Replace replaces the process-wide clock in tests. It returns a function that restores the
// previous clock.
func Replace(c *Clock) (undo func()) {
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
