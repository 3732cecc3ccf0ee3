package ticket

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Life identifies one life of one instance.
type Life struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	// Nonce is drawn at random when the process starts. It tells two lives
	// apart whose incarnations are equal, as after a wall-clock step back.
	Nonce uint64
}

// Ticket permits one run of one call.
type Ticket struct {
	// Executor is the only life of the only instance that may run the call.
	Executor Life
	// Sequence numbers the tickets of a life.
	Sequence uint64
	// Issued and Expires are in whole milliseconds, on the executor's wall
	// clock. They are for the caller's information: the executor judges expiry
	// by its own memory.
	Issued  time.Time
	Expires time.Time
}
