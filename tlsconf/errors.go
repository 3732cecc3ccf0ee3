package tlsconf

import (
	"fmt"
	"time"
)

// Problem says what is wrong with a file.
type Problem string

// The problems.
const (
	// Unreadable files don't exist, are not permitted or are too large.
	Unreadable Problem = "unreadable"
	// Malformed files hold no PEM of the kind that is expected.
	Malformed Problem = "malformed"
	// Mismatched keys don't belong to the certificate.
	Mismatched Problem = "key does not match the certificate"
	// Expired certificates are over, NotYetValid ones begin later.
	Expired     Problem = "expired"
	NotYetValid Problem = "not valid yet"
	// Untrusted certificates are not signed by an authority of the CA file.
	Untrusted Problem = "not signed by an authority of the CA file"
	// Missing files are needed and not named.
	Missing Problem = "not named in the settings"
)

// FileError reports a file that can't be used.
type FileError struct {
	// Field is the settings' field, "certificate", "key" or "ca".
	Field string
	File  string
	Problem
	// At is the time that an expired or not yet valid certificate names.
	At time.Time
	// Err is the cause, if there is one.
	Err error
}

// Error implements error.
func (e *FileError) Error() string {
	text := fmt.Sprintf("tls: %s file %q: %s", e.Field, e.File, e.Problem)
	if !e.At.IsZero() {
		text += " at " + e.At.UTC().Format(time.RFC3339)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// TooLargeError reports a file beyond the limit. A *FileError wraps it.
type TooLargeError struct{ Limit int }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("larger than %d bytes", e.Limit) }

// ChainError reports a peer's certificate that is not signed by an authority of
// the CA file, or that may not be used for the connection.
type ChainError struct{ Err error }

// Error implements error.
func (e *ChainError) Error() string { return "tls: peer's certificate: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ChainError) Unwrap() error { return e.Err }
