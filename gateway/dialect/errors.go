package dialect

import (
	"fmt"

	"github.com/wardspool/wardspool/ident"
)

// FullError reports an engine without room for a reservation.
type FullError struct {
	Address string
	Tokens  int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("engine %s has no room for %d tokens", e.Address, e.Tokens)
}

// ReplacedError reports an upstream whose address answers as another incarnation.
type ReplacedError struct {
	ID      ident.UpstreamID
	Address string
}

// Error implements error.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("%s answers as another incarnation than %s", e.Address, e.ID)
}

// NotRunningError reports a request that is to be migrated and doesn't run.
type NotRunningError struct{ Request string }

// Error implements error.
func (e *NotRunningError) Error() string { return "request " + e.Request + " is not running there" }

// NotCopiedError reports a request that was stopped but not copied: its engine keeps
// the KV cache.
type NotCopiedError struct{ Handle Handle }

// Error implements error.
func (e *NotCopiedError) Error() string { return "stopped at " + e.Handle.Engine + " and not copied" }

// FencedError reports an order refused because of a newer holder's.
type FencedError struct{ Fence int64 }

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing number %d is lower than one seen", e.Fence)
}

// StatusError reports a response with an unexpected status.
type StatusError struct {
	Op     string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Op, e.Status) }

// AbsentError reports a key that the store doesn't have.
type AbsentError struct{ Key string }

// Error implements error.
func (e *AbsentError) Error() string { return "no key " + e.Key }

// HeaderError reports a caller's header that can't be understood.
type HeaderError struct{ Name, Value string }

// Error implements error.
func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %q", e.Name, e.Value) }

// StoppedError reports a list that was not read to its end, since it was wanted no more.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "the rest of the list is not wanted" }

// LongListError reports a list that has more pages than any should.
type LongListError struct{ Pages int }

// Error implements error.
func (e *LongListError) Error() string {
	return fmt.Sprintf("the list has more than %d pages", e.Pages)
}

// HistoryLostError reports a revision after which the store no longer has all changes.
type HistoryLostError struct{ After int64 }

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("no history after revision %d", e.After)
}
