// Package due provides a queue of waiting requests that is sorted by the time at
// which their first output is due. Several queue orders use it.
package due

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Queue holds waiting requests. The zero Queue is empty and ready for use.
type Queue struct {
	// waiting is sorted by compare.
	waiting []*kernel.QueuedRequest
}

// Time returns the time by which w should be served. This is the time at which its
// first output is due, or the request's deadline if it has no such target.
func Time(w *kernel.QueuedRequest) time.Time {
	if w.Request.FirstOutputBy.IsZero() {
		return w.Request.Deadline
	}
	return w.Request.FirstOutputBy
}

// Late reports whether w can no longer meet its target. A request whose caller
// has received part of the output is never late: its stream is interrupted while
// it waits, so it must not be moved behind other requests.
func Late(w *kernel.QueuedRequest, now time.Time) bool {
	return w.Delivered == 0 && now.After(Time(w))
}

// Resumed reports whether w continues an interrupted response of which the caller
// has already received a part.
func Resumed(w *kernel.QueuedRequest) bool { return w.Delivered > 0 }

// compare sorts resumed requests first, then by due time. Requests with equal due
// times are sorted by ID, so that the result does not depend on the order in which
// they were added.
func compare(a, b *kernel.QueuedRequest) int {
	if Resumed(a) != Resumed(b) {
		if Resumed(a) {
			return -1
		}
		return 1
	}
	if c := Time(a).Compare(Time(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.Request.ID, b.Request.ID)
}

// Add puts a request into the queue.
func (q *Queue) Add(w *kernel.QueuedRequest) {
	i, _ := slices.BinarySearchFunc(q.waiting, w, compare)
	q.waiting = slices.Insert(q.waiting, i, w)
}

// Remove takes a request out of the queue, if it is there.
func (q *Queue) Remove(id ident.RequestID) {
	i := slices.IndexFunc(q.waiting, func(w *kernel.QueuedRequest) bool {
		return w.Request.ID == id
	})
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Len returns the number of requests.
func (q *Queue) Len() int { return len(q.waiting) }

// At returns the request to be served at position i, counted from 0. Late requests
// are served after all others. The argument late is the range of late requests,
// as returned by Queue.Late for the time in question.
func (q *Queue) At(i int, late Span) *kernel.QueuedRequest {
	if i < late.start {
		return q.waiting[i]
	}
	if i < len(q.waiting)-late.count() {
		return q.waiting[i+late.count()]
	}
	return q.waiting[i-(len(q.waiting)-late.end)]
}

// Span is the range of late requests in a queue, as the indices start (inclusive)
// and end (exclusive).
type Span struct{ start, end int }

// count returns the number of requests in the range.
func (s Span) count() int { return s.end - s.start }

// Late returns the range of requests that are late at the given time. The range is
// contiguous: resumed requests, which are never late, come first, and the rest is
// sorted by due time.
func (q *Queue) Late(now time.Time) Span {
	start := 0
	for start < len(q.waiting) && Resumed(q.waiting[start]) {
		start++
	}
	end := start
	for end < len(q.waiting) && Late(q.waiting[end], now) {
		end++
	}
	return Span{start: start, end: end}
}

// All yields the requests in the order in which they are to be served at the given
// time.
func (q *Queue) All(now time.Time) iter.Seq[*kernel.QueuedRequest] {
	return func(yield func(*kernel.QueuedRequest) bool) {
		late := q.Late(now)
		for i := range q.waiting {
			if !yield(q.At(i, late)) {
				return
			}
		}
	}
}
