package dialect

import (
	"fmt"

	"github.com/wardspool/wardspool/ident"
)

// NoCapacityError reports that an engine has no free slot or memory for a reservation.
type NoCapacityError struct {
	Address string
	Tokens  int
}

// Error implements error.
func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("engine %s rejected a reservation of a slot and memory for %d tokens", e.Address, e.Tokens)
}

// ReplacedError reports that another incarnation answers at an upstream's address.
type ReplacedError struct {
	ID      ident.UpstreamID
	Address string
}

// Error implements error.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("another incarnation answers at %s, not upstream %s", e.Address, e.ID)
}

// NotRunningError reports a request that cannot be migrated because its engine does not run it.
type NotRunningError struct{ Request string }

// Error implements error.
func (e *NotRunningError) Error() string {
	return "request " + e.Request + " is not running at the engine to migrate it from"
}

// NotCopiedError reports a request that was stopped for a migration but not copied. Its engine
// keeps the KV cache.
type NotCopiedError struct{ Handle Handle }

// Error implements error.
func (e *NotCopiedError) Error() string {
	return "request stopped at " + e.Handle.Engine + " but its KV cache was not copied"
}

// FencedError reports an order that an engine rejected because it has seen a higher fencing number.
type FencedError struct{ Fence int64 }

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order rejected: fencing number %d is lower than one the engine has seen", e.Fence)
}

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	// Op names the request.
	Op     string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Op, e.Status) }

// KeyNotFoundError reports a key that the store does not have.
type KeyNotFoundError struct{ Key string }

// Error implements error.
func (e *KeyNotFoundError) Error() string { return "the store has no key " + e.Key }

// HeaderError reports a malformed header of a caller's request.
type HeaderError struct{ Name, Value string }

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("malformed header %s: %q", e.Name, e.Value)
}

// ListAbandonedError reports a list that was not read to its end because it was no longer needed.
type ListAbandonedError struct{}

// Error implements error.
func (*ListAbandonedError) Error() string {
	return "stopped reading a list from the store because it is no longer needed"
}

// TooManyPagesError reports a list with more pages than are read at most.
type TooManyPagesError struct{ Pages int }

// Error implements error.
func (e *TooManyPagesError) Error() string {
	return fmt.Sprintf("the list in the store has more than %d pages, which is the maximum", e.Pages)
}

// RestoredError reports that the store was restored from a copy while a list was read.
type RestoredError struct {
	// Before and Now are the eras of two parts of the list.
	Before, Now int64
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("the store was restored from a copy during a read: era %d, then %d", e.Before, e.Now)
}

// HistoryLostError reports that the store no longer has all changes after a revision.
type HistoryLostError struct{ After int64 }

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the store no longer has all changes after revision %d", e.After)
}

// RepeatedHeaderError reports a header that a caller's request has more than once, of which upstreams may
// read another one than the gateway.
type RepeatedHeaderError struct{ Name string }

// Error implements error.
func (e *RepeatedHeaderError) Error() string { return "header " + e.Name + " is repeated" }
