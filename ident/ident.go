// Package ident defines the identifiers that wardspool's processes share:
// instances, availability zones, upstreams, workspaces, requests and attempts.
package ident

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// InstanceID is the name of an entry instance, as configured in its settings.
type InstanceID string

// Zone is the name of an availability zone, for example "hall-a".
type Zone string

// Region is the name of a group of availability zones, for example "bc-lower".
type Region string

// UpstreamID is the name of one back end: a model engine or a plain service
// process.
type UpstreamID string

// Workspace is the name of the customer on whose behalf a request is made.
type Workspace string

// RequestID identifies a caller's request. It is unique per request.
type RequestID string

// Incarnation identifies one run of an instance or upstream. A restarted
// process has a higher incarnation than the one it replaces. The value is the
// wall-clock time of the start in milliseconds, since instances store nothing
// on disk from which a counter could be continued.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process started at the given time.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixMilli())
}

// maxNameLength is the maximum length of a configured name, in bytes.
const maxNameLength = 63

// ValidName reports whether s may be used as an instance, zone, region,
// upstream or workspace name: lower-case letters, digits and inner hyphens,
// at most 63 bytes.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		if !isNameByte(s[i]) {
			return false
		}
	}
	return true
}

// isNameByte reports whether b may occur in a name; ValidName restricts hyphens
// to inner positions.
func isNameByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= '0' && b <= '9' || b == '-'
}

// AttemptID identifies one attempt to run a request, or a stage of it, on an
// upstream. It contains its owner's incarnation and the request's deadline, so
// that a peer that finds the attempt on an engine can tell whether it is still
// needed.
type AttemptID struct {
	Instance    InstanceID
	Incarnation Incarnation
	Sequence    uint64
	// Deadline is the time after which no caller waits for the attempt, with
	// millisecond resolution.
	Deadline time.Time
}

// attemptParts is the number of dot-separated parts of an encoded AttemptID.
const attemptParts = 4

// String encodes the attempt ID as "instance.incarnation.sequence.deadline".
// The numbers are in base 36; the deadline is in Unix milliseconds.
func (a AttemptID) String() string {
	return strings.Join([]string{
		string(a.Instance),
		strconv.FormatUint(uint64(a.Incarnation), 36),
		strconv.FormatUint(a.Sequence, 36),
		strconv.FormatInt(a.Deadline.UnixMilli(), 36),
	}, ".")
}

// IsZero reports whether a is the zero AttemptID.
func (a AttemptID) IsZero() bool { return a.Instance == "" }

// AttemptSyntaxError reports a string that is not an encoded AttemptID.
type AttemptSyntaxError struct {
	// Text is the string that could not be parsed.
	Text string
	// Part names the invalid part: "instance", "incarnation", "sequence" or
	// "deadline", or "shape" if the number of parts is wrong.
	Part string
}

// Error implements error.
func (e *AttemptSyntaxError) Error() string {
	return fmt.Sprintf("attempt ID %q: bad %s", e.Text, e.Part)
}

// ParseAttemptID parses the encoding that AttemptID.String returns.
// It returns an *AttemptSyntaxError if s is malformed.
func ParseAttemptID(s string) (AttemptID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != attemptParts {
		return AttemptID{}, &AttemptSyntaxError{Text: s, Part: "shape"}
	}
	if !ValidName(parts[0]) {
		return AttemptID{}, &AttemptSyntaxError{Text: s, Part: "instance"}
	}
	inc, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return AttemptID{}, &AttemptSyntaxError{Text: s, Part: "incarnation"}
	}
	seq, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return AttemptID{}, &AttemptSyntaxError{Text: s, Part: "sequence"}
	}
	ms, err := strconv.ParseInt(parts[3], 36, 64)
	if err != nil {
		return AttemptID{}, &AttemptSyntaxError{Text: s, Part: "deadline"}
	}
	return AttemptID{
		Instance:    InstanceID(parts[0]),
		Incarnation: Incarnation(inc),
		Sequence:    seq,
		Deadline:    time.UnixMilli(ms),
	}, nil
}
