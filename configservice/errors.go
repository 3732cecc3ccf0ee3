package configservice

import (
	"fmt"
	"time"
)

// AddressError reports a missing or malformed address of the service.
type AddressError struct {
	// URL is the address at fault, empty if there is none.
	URL string
}

// Error implements error.
func (e *AddressError) Error() string {
	if e.URL == "" {
		return "platform: no address"
	}
	return fmt.Sprintf("platform: address %q is not an http or https URL", e.URL)
}

// UnavailableError reports that the service could not be read.
type UnavailableError struct {
	Key string
	// Status is the HTTP status, 0 if there was no answer.
	Status int
	// Err is the network's error, nil if there was an answer.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: read %s: unavailable (status %d): %v", e.Key, e.Status, e.Err)
}

// Unwrap returns the network's error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// NotFoundError reports a key without a value.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("platform: no key %s", e.Key) }

// RateLimitedError reports that the service refuses reads for a while.
type RateLimitedError struct {
	Key string
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform: read %s: rate limited for %s", e.Key, e.RetryAfter)
}

// TooLargeError reports a value beyond the limit.
type TooLargeError struct {
	Key   string
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("platform: value of %s is beyond %d bytes", e.Key, e.Limit)
}

// ProtocolError reports an answer that is not of the protocol.
type ProtocolError struct {
	Key    string
	Detail string
}

// Error implements error.
func (e *ProtocolError) Error() string { return fmt.Sprintf("platform: read %s: %s", e.Key, e.Detail) }

// StaleError reports an answer older than one seen before. The platform serves
// old data, or was set up anew.
type StaleError struct {
	Key string
	// Seen is the highest index seen.
	Seen uint64
	// Got is the old value. A watch's answer without a value has only the
	// index.
	Got Value
	// Age is how long ago the value with the index Seen was first seen; Got is
	// at least as old.
	Age time.Duration
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("platform: %s has index %d, older than %d seen %s ago", e.Key, e.Got.Index, e.Seen, e.Age)
}
