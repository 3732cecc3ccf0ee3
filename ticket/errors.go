package ticket

import (
	"fmt"

	"github.com/wardspool/wardspool/api"
)

// KeyFault is the reason why a codec's keys are unusable.
type KeyFault string

// Faults of a codec's keys.
const (
	KeyFaultNone      KeyFault = "no key given"
	KeyFaultID        KeyFault = "the ID is not a valid name"
	KeyFaultDuplicate KeyFault = "the ID is given twice"
	KeyFaultShort     KeyFault = "the secret is too short"
)

// KeyError reports unusable keys.
type KeyError struct {
	// ID names the key. It is empty for KeyFaultNone.
	ID    string
	Fault KeyFault
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("ticket key %q: %s", e.ID, e.Fault)
}

// SyntaxError reports a text that is not in the format of a ticket.
type SyntaxError struct {
	// Part names the malformed part.
	Part string
}

// Error implements error.
func (e *SyntaxError) Error() string { return "ticket: bad " + e.Part }

// UnknownKeyError reports a ticket that was sealed with a key that is not
// accepted.
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

// InvalidProblem returns the answer to a call whose ticket Codec.Open rejects.
// Its outcome is unknown: the text may be a damaged copy of a ticket that was
// used, or sealed with a key that is no longer accepted.
func InvalidProblem(err error) *api.Problem {
	return api.NewProblem(api.ProblemTicketInvalid, api.Unknown, err.Error())
}
