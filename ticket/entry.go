package ticket

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// State is how far a ticket has been used.
type State string

// The states. A ticket only ever moves down this list, and never from
// StateDone to StateVoid.
const (
	// StateFresh: issued and not used.
	StateFresh State = "fresh"
	// StateRunning: its call is running.
	StateRunning State = "running"
	// StateDone: its call has ended.
	StateDone State = "done"
	// StateVoid: no call ran with it and none ever will.
	StateVoid State = "void"
	// StateForgotten: not in memory, so that nothing runs with it.
	StateForgotten State = "forgotten"
)

// entry is an executor's memory of one ticket.
type entry struct {
	state     State
	workspace ident.Workspace
	expires   time.Time
	// digest is of the call that the ticket is bound to, from StateRunning on.
	digest Digest
	// waiters counts the presentations that wait for the running call.
	waiters int
	// late says that the call ends after the ticket's expiry.
	late bool
	// result is set in StateDone; its body is nil if answerDropped.
	result        Result
	answerDropped bool
	// cause is set in StateVoid.
	cause api.ProblemType
}

// void makes sure that the ticket, which is fresh, is never used.
func (en *entry) void(cause api.ProblemType) {
	en.state = StateVoid
	en.cause = cause
}

// drop forgets the answer, but not that the call ran, and returns the number
// of bytes released.
func (en *entry) drop() int {
	n := len(en.result.Body)
	en.result.Body = nil
	en.answerDropped = true
	return n
}
