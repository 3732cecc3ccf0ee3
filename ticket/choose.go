package ticket

import "github.com/wardspool/wardspool/api"

// Path is how a call is kept from running twice.
type Path int

// The paths.
const (
	// PathTicket: route the call by its ticket.
	PathTicket Path = iota + 1
	// PathRepeatable: a second run is harmless; there is nothing to do.
	PathRepeatable
	// PathDeduplicated: the upstream itself runs the call's idempotency key at
	// most once; run it here and pass the key on.
	PathDeduplicated
	// PathOnce: run the call here and dispatch it at most once. A retry of the
	// caller is a call of its own.
	PathOnce
	// PathTicketRequired: run nothing and answer with RequiredProblem and a
	// fresh ticket.
	PathTicketRequired
)

// Traits are what the choice of path depends on.
type Traits struct {
	// Repeatable is the request's or its kind's declaration.
	Repeatable bool
	// Ticket and Key say whether the request carries a ticket and an
	// idempotency key.
	Ticket, Key bool
	// Deduplicates is the service's declaration, config.Service.Deduplicates.
	Deduplicates bool
	// Required is the kind's declaration, config.Kind.TicketRequired.
	Required bool
}

// Choose returns the path of a call.
func Choose(t Traits) Path {
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

// RequiredProblem is the answer on PathTicketRequired. The response should
// carry a fresh ticket in the header api.HeaderTicket.
func RequiredProblem() *api.Problem {
	return api.NewProblem(api.ProblemTicketRequired, api.NotRun,
		"a call that is not repeatable needs a ticket if it carries an Idempotency-Key or its kind requires one; repeat it with the one in "+api.HeaderTicket)
}
