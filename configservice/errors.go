package configservice

import (
	"fmt"
	"time"
)

// AddressError reports a missing or malformed address of the service.
type AddressError struct {
	// URL is the malformed address, empty if no address is configured.
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
	// Status is the HTTP status, 0 if there was no response.
	Status int
	// Err is the network error, nil if there was a response.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: read %s: unavailable (status %d): %v", e.Key, e.Status, e.Err)
}

// Unwrap returns the network error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// NotFoundError reports a key without a value.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("platform: key %s not found", e.Key) }

// RateLimitedError reports that the service has rate limited this reader.
type RateLimitedError struct {
	Key string
	// RetryAfter is how long to wait before the next read.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform: read %s: rate limited for %s", e.Key, e.RetryAfter)
}

// TooLargeError reports a value that exceeds the size limit.
type TooLargeError struct {
	Key   string
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("platform: value of %s is beyond %d bytes", e.Key, e.Limit)
}

// ProtocolError reports a response that violates the protocol.
type ProtocolError struct {
	Key    string
	Detail string
}

// Error implements error.
func (e *ProtocolError) Error() string { return fmt.Sprintf("platform: read %s: %s", e.Key, e.Detail) }

// StaleError reports a response older than one seen before. The platform serves
// stale data, or was reinstalled.
type StaleError struct {
	Key string
	// Seen is the highest index seen.
	Seen uint64
	// Got is the stale value. It has only the index if the response to a poll
	// of a watch had no value.
	Got Value
	// Age is how long ago the value with the index Seen was first seen; Got is
	// at least as old.
	Age time.Duration
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("platform: %s has index %d, older than %d seen %s ago", e.Key, e.Got.Index, e.Seen, e.Age)
}
