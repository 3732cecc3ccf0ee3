package driver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/ident"
)

// delivery puts an answer's tokens in order: only the current attempt may
// write, and only the next token is passed on. A write to a slow caller holds
// the mutex, so that the driver's goroutine must use only choose and close.
type delivery struct {
	current atomic.Pointer[ident.AttemptID]
	closed  atomic.Bool

	// first and last are when the first and the last token went out, in Unix
	// nanoseconds, and count is how many did; the statistics read them while a
	// write may hold the mutex.
	first, last atomic.Int64
	count       atomic.Int64

	mu   sync.Mutex
	out  Output
	next int
	// finish is the last token's reason to finish, empty before it.
	finish string
}

// SupersededError ends an attempt whose tokens are no longer wanted.
type SupersededError struct{}

// Error implements error.
func (*SupersededError) Error() string { return "attempt is no longer current" }

// GapError reports an output that lacks a token.
type GapError struct{ Want, Got int }

// Error implements error.
func (*GapError) Error() string { return "a token is missing from the output" }

// CallerError reports that the caller could not be written to.
type CallerError struct{ Err error }

// Error implements error.
func (e *CallerError) Error() string { return "write to caller: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Err }

// verdict is what became of a token.
type verdict int

const (
	tokenPassed verdict = iota + 1
	tokenDropped
)

// token passes on a token of an attempt. Errors are *SupersededError, *GapError
// and *CallerError.
func (d *delivery) token(from ident.AttemptID, c adapter.Chunk) (verdict, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.current.Load()
	if d.closed.Load() || current == nil || *current != from {
		return tokenDropped, &SupersededError{}
	}
	if c.Offset < d.next {
		return tokenDropped, nil
	}
	if c.Offset > d.next {
		return tokenDropped, &GapError{Want: d.next, Got: c.Offset}
	}
	if err := d.out.Token(c); err != nil {
		return tokenDropped, &CallerError{Err: err}
	}
	d.next++
	d.finish = c.FinishReason
	d.stamp(time.Now())
	return tokenPassed, nil
}

// stamp notes that a token went out at now.
func (d *delivery) stamp(now time.Time) {
	d.first.CompareAndSwap(0, now.UnixNano())
	d.last.Store(now.UnixNano())
	d.count.Add(1)
}

// times returns when the first and the last token went out and how many did.
func (d *delivery) times() (first, last time.Time, count int) {
	count = int(d.count.Load())
	if count == 0 {
		return time.Time{}, time.Time{}, 0
	}
	return time.Unix(0, d.first.Load()), time.Unix(0, d.last.Load()), count
}

// choose makes an attempt the current one. It does not wait for a write.
func (d *delivery) choose(a ident.AttemptID) { d.current.Store(&a) }

// close lets no further write begin. It does not wait for one.
func (d *delivery) close() { d.closed.Store(true) }

// seal ends the output: when it returns, nothing is written any more.
func (d *delivery) seal() {
	d.close()
	// Whoever holds the mutex may still be writing.
	d.mu.Lock()
	d.out = nil
	d.mu.Unlock()
}

// finished returns the whole answer's description once its last token was
// passed on.
func (d *delivery) finished() (adapter.Decoded, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return adapter.Decoded{Tokens: d.next, FinishReason: d.finish}, d.finish != ""
}

// offset returns how many tokens the caller has.
func (d *delivery) offset() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.next
}
