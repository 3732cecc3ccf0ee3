// Package clock tells the time for ages, leases, windows and deadlines. Go's monotonic
// reading stands still while the machine is suspended, as CLOCK_MONOTONIC does, so that
// after a suspension of some seconds all that was known before would look fresh, a lease
// held and a deadline far. CLOCK_BOOTTIME counts that time; the time of day does too, but
// jumps.
//
// Times of this package may be compared with each other only, not with time.Now. Timers and
// the deadlines of contexts and connections are of Go's own clock: they are set by how long
// is left.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkEvery is the least time between two readings of the system's clocks, which take
	// two system calls: requests read the time some thousand times a second.
	checkEvery = 20 * time.Millisecond
	// leastSuspension is the least difference between the clocks that counts: a thread may
	// lose the processor between the two readings, for some 10 ms.
	leastSuspension = 100 * time.Millisecond
)

// Reading reads one of the system's clocks.
type Reading func() (time.Duration, error)

// Clock adds the time for which the machine was suspended to Go's own clock. It is safe for
// concurrent use.
type Clock struct {
	steady, boot Reading
	started      time.Time
	// base is the difference of the clocks at the start.
	base time.Duration
	// mu is held while the clocks are read.
	mu sync.Mutex
	// suspended is by how much it has grown since, in ns; checked is when that was looked
	// at last, in ns since started.
	suspended, checked atomic.Int64
}

// New returns a clock from a reading that stands still during a suspension and one that
// does not. One that can't be read counts as no suspension.
func New(steady, boot Reading) *Clock {
	c := &Clock{steady: steady, boot: boot, started: time.Now()}
	c.base, _ = c.difference()
	c.checked.Store(-int64(checkEvery))
	return c
}

// difference returns by how much the clocks differ.
func (c *Clock) difference() (time.Duration, bool) {
	steady, err := c.steady()
	if err != nil {
		return 0, false
	}
	boot, err := c.boot()
	return boot - steady, err == nil
}

// Now returns the time.
func (c *Clock) Now() time.Time {
	now := time.Now()
	c.check(now)
	return now.Add(time.Duration(c.suspended.Load()))
}

// check looks whether the machine was suspended, if that was not looked at just now.
func (c *Clock) check(now time.Time) {
	at := int64(now.Sub(c.started))
	last := c.checked.Load()
	if at-last >= int64(checkEvery) && c.checked.CompareAndSwap(last, at) {
		c.Check()
	}
}

// Check looks whether the machine was suspended. It is for what must not be done by what was
// known before, and for nothing that happens more often than requests.
func (c *Clock) Check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	difference, ok := c.difference()
	grown := difference - c.base - time.Duration(c.suspended.Load())
	if ok && grown >= leastSuspension {
		c.suspended.Add(int64(grown))
	}
}

// Suspended returns for how long the machine was suspended since the clock was made.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// reading reads a clock of the system.
func reading(id int32) Reading {
	return func() (time.Duration, error) {
		var t unix.Timespec
		err := unix.ClockGettime(id, &t)
		return time.Duration(t.Nano()), err
	}
}

// current is the clock of the process.
var current atomic.Pointer[Clock]

func init() { current.Store(New(reading(unix.CLOCK_MONOTONIC), reading(unix.CLOCK_BOOTTIME))) }

// Use replaces the clock of the process, for tests, and returns what undoes that.
func Use(c *Clock) (undo func()) {
	before := current.Swap(c)
	return func() { current.Store(before) }
}

// Now returns the time, by the clock of the process.
func Now() time.Time { return current.Load().Now() }

// Since returns how long ago a time of this package was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Check looks whether the machine was suspended, as Clock.Check does.
func Check() { current.Load().Check() }

// Suspended returns for how long the machine was suspended since the process started.
func Suspended() time.Duration { return current.Load().Suspended() }
