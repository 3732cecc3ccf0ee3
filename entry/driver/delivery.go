package driver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/ident"
)

// writers are the attempts that may write an answer.
type writers struct {
	current ident.AttemptID
	// candidate, if it is not zero, becomes the current attempt with its first
	// token, unless current has written a token beyond offset from before.
	candidate ident.AttemptID
	from      int
}

// delivery writes the tokens of an answer to the caller in order: only the
// current attempt may write, and only the next expected token is accepted. A
// write to a slow caller holds the mutex, so the driver's goroutine may call
// only setCurrent, setCandidate and close.
type delivery struct {
	writers atomic.Pointer[writers]
	closed  atomic.Bool

	// first and last are the times at which the first and the last token were
	// sent, in Unix nanoseconds; count is the number of tokens sent. They are
	// atomic because the statistics read them while a write may hold the mutex.
	first, last atomic.Int64
	count       atomic.Int64

	mu   sync.Mutex
	out  Output
	next int
	// firstWriter and lastWriter are the attempts that wrote the first and the last
	// token.
	firstWriter, lastWriter ident.AttemptID
	// finish is the finish reason of the last token, empty until that token was
	// sent.
	finish string
}

// SupersededError reports a token from an attempt that is no longer the current
// one.
type SupersededError struct{}

// Error implements error.
func (*SupersededError) Error() string { return "token from an attempt that is no longer current" }

// GapError reports that at least one token is missing from the output.
type GapError struct{ Want, Got int }

// Error implements error.
func (*GapError) Error() string { return "a token is missing from the output" }

// CallerError reports that a write to the caller failed.
type CallerError struct{ Err error }

// Error implements error.
func (e *CallerError) Error() string { return "write to caller: " + e.Err.Error() }

// Unwrap returns the error of the write.
func (e *CallerError) Unwrap() error { return e.Err }

// tokenStatus tells whether a token was sent or dropped.
type tokenStatus int

const (
	tokenSent tokenStatus = iota + 1
	tokenDropped
)

// writeToken writes a token of an attempt to the caller. Tokens that were
// already sent are dropped. Errors are *SupersededError, *GapError and
// *CallerError.
func (d *delivery) writeToken(from ident.AttemptID, c adapter.Chunk) (tokenStatus, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.writers.Load()
	if d.closed.Load() || w == nil || from != w.current && from != w.candidate {
		return tokenDropped, &SupersededError{}
	}
	if c.Offset < d.next {
		return tokenDropped, nil
	}
	if from != w.current && d.wentOn(w) {
		return tokenDropped, nil
	}
	if c.Offset > d.next {
		return tokenDropped, &GapError{Want: d.next, Got: c.Offset}
	}
	if from != w.current && !d.promote(w) {
		return tokenDropped, nil
	}
	if err := d.out.Token(c); err != nil {
		return tokenDropped, &CallerError{Err: err}
	}
	if d.next == 0 {
		d.firstWriter = from
	}
	d.next++
	d.lastWriter = from
	d.finish = c.FinishReason
	d.recordSent(time.Now())
	return tokenSent, nil
}

// recordSent records that a token was sent at now.
func (d *delivery) recordSent(now time.Time) {
	d.first.CompareAndSwap(0, now.UnixNano())
	d.last.Store(now.UnixNano())
	d.count.Add(1)
}

// times returns when the first and the last token were sent and how many tokens
// were sent.
func (d *delivery) times() (first, last time.Time, count int) {
	count = int(d.count.Load())
	if count == 0 {
		return time.Time{}, time.Time{}, 0
	}
	return time.Unix(0, d.first.Load()), time.Unix(0, d.last.Load()), count
}

// wentOn reports whether the current attempt of w has written a token since its candidate was set.
func (d *delivery) wentOn(w *writers) bool { return d.next > w.from && d.lastWriter == w.current }

// promote makes the candidate of w the current attempt. It returns false if w is no longer in force.
func (d *delivery) promote(w *writers) bool {
	return d.writers.CompareAndSwap(w, &writers{current: w.candidate})
}

// setCurrent makes an attempt the current one. It does not wait for a write in
// progress.
func (d *delivery) setCurrent(a ident.AttemptID) { d.writers.Store(&writers{current: a}) }

// setCandidate lets an attempt, which begins at token from, become the current
// one in place of the given attempt. It does not wait for a write in progress.
func (d *delivery) setCandidate(a ident.AttemptID, from int, current ident.AttemptID) {
	d.writers.Store(&writers{current: current, candidate: a, from: from})
}

// close prevents further writes. It does not wait for a write in progress.
func (d *delivery) close() { d.closed.Store(true) }

// closeAndWait closes the output and waits for a write in progress: no write
// happens after it returns.
func (d *delivery) closeAndWait() {
	d.close()
	// A write in progress holds the mutex.
	d.mu.Lock()
	d.out = nil
	d.mu.Unlock()
}

// finished returns the description of the complete answer. It reports false
// until the last token was sent.
func (d *delivery) finished() (adapter.DecodeResult, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return adapter.DecodeResult{Tokens: d.next, FinishReason: d.finish}, d.finish != ""
}

// written returns the number of tokens sent to the caller and the attempt that wrote the
// first of them.
func (d *delivery) written() (int, ident.AttemptID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.next, d.firstWriter
}

// offset returns the number of tokens sent to the caller.
func (d *delivery) offset() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.next
}
