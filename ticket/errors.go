package ticket

import (
	"fmt"

	"github.com/wardspool/wardspool/api"
)

// KeyFault says what is wrong with a codec's keys.
type KeyFault string

// The key faults.
const (
	KeyFaultNone      KeyFault = "no key given"
	KeyFaultID        KeyFault = "the ID is not a valid name"
	KeyFaultDuplicate KeyFault = "the ID is given twice"
	KeyFaultShort     KeyFault = "the secret is too short"
)

// KeyError reports unusable keys.
type KeyError struct {
	// ID names the key, empty for KeyFaultNone.
	ID    string
	Fault KeyFault
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("ticket key %q: %s", e.ID, e.Fault)
}

// SyntaxError reports text that is not a ticket.
type SyntaxError struct {
	// Part names the part at fault.
	Part string
}

// Error implements error.
func (e *SyntaxError) Error() string { return "ticket: bad " + e.Part }

// UnknownKeyError reports a ticket sealed with a key that is not accepted.
type UnknownKeyError struct{ ID string }

// Error implements error.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("ticket: key %q is not accepted here", e.ID)
}

// ForgedError reports a ticket whose authentication code is wrong.
type ForgedError struct{ KeyID string }

// Error implements error.
func (e *ForgedError) Error() string {
	return fmt.Sprintf("ticket: wrong authentication code under key %q", e.KeyID)
}

// NotRunningError reports a Finish for a call that is not running.
type NotRunningError struct {
	Sequence uint64
	State    State
}

// Error implements error.
func (e *NotRunningError) Error() string {
	return fmt.Sprintf("ticket %d: finished while %s", e.Sequence, e.State)
}

// InvalidProblem is the answer to a call whose ticket Codec.Open rejects. Its
// outcome is unknown: the text may be a damaged copy of a ticket that ran, or
// sealed under a key that is not accepted any more.
func InvalidProblem(err error) *api.Problem {
	return api.NewProblem(api.ProblemTicketInvalid, api.Unknown, err.Error())
}
