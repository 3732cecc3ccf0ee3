package ticket

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// retryElsewhere is when a caller may try again to reach an executor that
// could not be reached.
const retryElsewhere = 2 * time.Second

// Destination says where a call that carries a ticket goes.
type Destination int

// The destinations.
const (
	// Here: this life of this instance is the executor; call Executor.Present.
	Here Destination = iota + 1
	// Forward: send the call to Decision.To, which presents it to its own
	// executor and forwards it no further.
	Forward
	// Nowhere: answer with Decision.Problem; nothing runs.
	Nowhere
)

// Decision says where a call goes.
type Decision struct {
	Destination Destination
	// To is set for Forward.
	To ident.InstanceID
	// Problem is set for Nowhere.
	Problem *api.Problem
}

// Route decides where a call goes that arrived here with a ticket. An old view
// does no harm: only the executor itself can run the call.
func Route(t Ticket, self Life, v *kernel.View) Decision {
	if t.Executor == self {
		return Decision{Destination: Here}
	}
	if t.Executor.Instance == self.Instance {
		return Decision{Destination: Nowhere, Problem: foreignProblem(t, self)}
	}
	in := findInstance(v, t.Executor.Instance)
	switch {
	case in == nil:
		return Decision{Destination: Nowhere, Problem: UnreachableProblem()}
	case in.Incarnation > t.Executor.Incarnation, isDead(in, t):
		return Decision{Destination: Nowhere, Problem: GoneProblem()}
	default:
		// Also when it is believed unreachable: that may be over by now, and
		// the executor alone can give a better answer than "unknown".
		return Decision{Destination: Forward, To: in.ID}
	}
}

// isDead reports whether the ticket's own life of the instance is over.
func isDead(in *kernel.Instance, t Ticket) bool {
	return in.Liveness == kernel.Dead && in.Incarnation == t.Executor.Incarnation
}

// foreignProblem is the answer of a life to a ticket of another one.
func foreignProblem(t Ticket, self Life) *api.Problem {
	if t.Executor.Instance == self.Instance && t.Executor.Incarnation <= self.Incarnation {
		return GoneProblem()
	}
	// The call was sent to the wrong instance, or to a life that has been
	// replaced and does not know it yet.
	return UnreachableProblem()
}

// findInstance finds an instance of the view, nil if there is none.
func findInstance(v *kernel.View, id ident.InstanceID) *kernel.Instance {
	if v == nil {
		return nil
	}
	for i := range v.Instances {
		if v.Instances[i].ID == id {
			return &v.Instances[i]
		}
	}
	return nil
}

// GoneProblem is the answer when the executor's life is over, so that nothing
// ever runs with the ticket any more. A retry can't help.
func GoneProblem() *api.Problem {
	return api.NewProblem(api.ProblemExecutorGone, api.Unknown,
		"the instance that issued the ticket has ended; the call may have run before, and will not run any more")
}

// UnreachableProblem is the answer when the executor could not be reached or
// did not answer. It is not "not-run" even when no byte was sent: an earlier
// presentation may have run. A retry with the same ticket is safe.
func UnreachableProblem() *api.Problem {
	p := api.NewProblem(api.ProblemExecutorGone, api.Unknown,
		"the instance that issued the ticket can't be reached; retry with the same ticket")
	return p.RetryAfter(retryElsewhere)
}

// RefusedElsewhere changes the outcome of a refusal that is given without
// asking the executor, such as "body too large" at an entry instance, to
// unknown: the call may have been presented before and have run.
func RefusedElsewhere(p *api.Problem) *api.Problem {
	p.Outcome = api.Unknown
	return p
}
