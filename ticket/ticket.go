package ticket

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Process identifies one process of an instance, from its start to its end.
type Process struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	// Nonce is drawn at random when the process starts. It distinguishes
	// processes with equal incarnations, as after a backward step of the wall
	// clock.
	Nonce uint64
}

// Ticket is the permission to run one call once.
type Ticket struct {
	// Executor is the only process that may run the call.
	Executor Process
	// Sequence is the number of the ticket among those of its executor.
	Sequence uint64
	// Issued and Expires are in whole milliseconds of the executor's wall clock.
	// They only inform the caller: the executor decides on expiry by the times in
	// its own entry for the ticket.
	Issued  time.Time
	Expires time.Time
}
