package tlsconf

import (
	"fmt"
	"time"
)

// Problem describes why a file can't be used.
type Problem string

// Values of Problem.
const (
	// Unreadable means that the file doesn't exist, can't be read or is too large.
	Unreadable Problem = "unreadable"
	// Malformed means that the file does not contain valid PEM data of the
	// expected type.
	Malformed Problem = "malformed"
	// Mismatched means that the key doesn't belong to the certificate.
	Mismatched Problem = "key does not match the certificate"
	// Expired means that the certificate's validity period has ended, NotYetValid
	// that it has not started.
	Expired     Problem = "expired"
	NotYetValid Problem = "not valid yet"
	// Untrusted means that the certificate is not signed by an authority in the CA
	// file.
	Untrusted Problem = "not signed by an authority of the CA file"
	// Missing means that a required file is not named in the settings.
	Missing Problem = "not named in the settings"
)

// FileError reports a file that can't be used.
type FileError struct {
	// Field is the field of the settings: "certificate", "key" or "ca".
	Field string
	File  string
	Problem
	// At is the end of validity of an expired certificate, or the start of
	// validity of one that is not valid yet.
	At time.Time
	// Err is the underlying error, nil if there is none.
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

// Unwrap returns the underlying error.
func (e *FileError) Unwrap() error { return e.Err }

// TooLargeError reports a file that exceeds the size limit. It is wrapped in a
// *FileError.
type TooLargeError struct{ Limit int }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("larger than %d bytes", e.Limit) }

// ChainError reports a peer certificate that is not signed by an authority in the
// CA file or is not valid for the connection.
type ChainError struct{ Err error }

// Error implements error.
func (e *ChainError) Error() string { return "tls: peer's certificate: " + e.Err.Error() }

// Unwrap returns the verification error.
func (e *ChainError) Unwrap() error { return e.Err }
