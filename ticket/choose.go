package ticket

import "github.com/wardspool/wardspool/api"

// Path is the method by which a call is kept from running twice.
type Path int

// Paths of a call.
const (
	// PathTicket means that the call is routed by its ticket.
	PathTicket Path = iota + 1
	// PathRepeatable means that a second run is harmless, so nothing is done.
	PathRepeatable
	// PathDeduplicated means that the upstream itself runs each idempotency key
	// at most once. The call runs here, and its key is passed on.
	PathDeduplicated
	// PathOnce means that the call runs here and is dispatched at most once. A
	// retry by the caller is a separate call.
	PathOnce
	// PathTicketRequired means that nothing runs. The answer is RequiredProblem
	// with a new ticket.
	PathTicketRequired
)

// Traits are the properties of a call that determine its path.
type Traits struct {
	// Repeatable is set if the request or its kind is declared repeatable.
	Repeatable bool
	// Ticket and Key are set if the request carries a ticket and an idempotency
	// key.
	Ticket, Key bool
	// Deduplicates is the service's declaration, config.Service.Deduplicates.
	Deduplicates bool
	// Required is the kind's declaration, config.Kind.TicketRequired.
	Required bool
}

// ChoosePath returns the path of a call.
func ChoosePath(t Traits) Path {
	switch {
	case t.Ticket:
		return PathTicket
	case t.Repeatable:
		return PathRepeatable
	case t.Key && t.Deduplicates:
		return PathDeduplicated
	case t.Key, t.Required:
		return PathTicketRequired
	default:
		return PathOnce
	}
}

// RequiredProblem returns the answer for PathTicketRequired. The answer should
// carry a new ticket in the header api.HeaderTicket.
func RequiredProblem() *api.Problem {
	return api.NewProblem(api.ProblemTicketRequired, api.NotRun,
		"a call that is not repeatable needs a ticket if it carries an Idempotency-Key or its kind requires one; repeat it with the one in "+api.HeaderTicket)
}
