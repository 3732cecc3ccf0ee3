package ticket

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// State is the state of a ticket at its executor.
type State string

// States of a ticket. A state only ever changes to a later one in this list, and
// never from StateDone to StateVoid.
const (
	// StateFresh means that the ticket is issued and unused.
	StateFresh State = "fresh"
	// StateRunning means that the ticket's call is running.
	StateRunning State = "running"
	// StateDone means that the ticket's call has ended.
	StateDone State = "done"
	// StateVoid means that no call has run with the ticket and none ever will.
	StateVoid State = "void"
	// StateForgotten means that the ticket is no longer in memory, so that
	// nothing runs with it.
	StateForgotten State = "forgotten"
)

// entry is the executor's state of one ticket.
type entry struct {
	state     State
	workspace ident.Workspace
	expires   time.Time
	// digest is that of the call to which the ticket is bound. It is set from
	// StateRunning on.
	digest Digest
	// waiters is the number of presentations that wait for the running call.
	waiters int
	// endsAfterExpiry is set if the call ends after the ticket's expiry.
	endsAfterExpiry bool
	// result is set in StateDone; its body is nil if answerDropped.
	result        Result
	answerDropped bool
	// cause is why the ticket is void. It is set in StateVoid.
	cause api.ProblemType
}

// void marks a fresh ticket as never to be used.
func (en *entry) void(cause api.ProblemType) {
	en.state = StateVoid
	en.cause = cause
}

// dropAnswer discards the answer, but not the fact that the call ran, and returns
// the number of bytes released.
func (en *entry) dropAnswer() int {
	n := len(en.result.Body)
	en.result.Body = nil
	en.answerDropped = true
	return n
}
