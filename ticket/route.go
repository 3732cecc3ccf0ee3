package ticket

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// unreachableRetryAfter is the delay after which a caller may retry a call whose
// executor could not be reached.
const unreachableRetryAfter = 2 * time.Second

// Destination is where a call that carries a ticket is sent.
type Destination int

// Destinations of a call.
const (
	// Local means that this process is the executor; the call goes to
	// Executor.Present.
	Local Destination = iota + 1
	// Forward means that the call is sent to Decision.To, which presents it to
	// its own executor and does not forward it again.
	Forward
	// Reject means that the answer is Decision.Problem and nothing runs.
	Reject
)

// Decision is the result of Route.
type Decision struct {
	Destination Destination
	// To is set for Forward.
	To ident.InstanceID
	// Problem is set for Reject.
	Problem *api.Problem
}

// Route decides where a call with a ticket that arrived at this instance is sent.
// A stale view does no harm: only the executor itself can run the call.
func Route(t Ticket, self Process, v *kernel.View) Decision {
	if t.Executor == self {
		return Decision{Destination: Local}
	}
	if t.Executor.Instance == self.Instance {
		return Decision{Destination: Reject, Problem: otherExecutorProblem(t, self)}
	}
	in := findInstance(v, t.Executor.Instance)
	switch {
	case in == nil:
		return Decision{Destination: Reject, Problem: UnreachableProblem()}
	case in.Incarnation > t.Executor.Incarnation, executorDead(in, t):
		return Decision{Destination: Reject, Problem: GoneProblem()}
	default:
		// This includes instances that are believed to be unreachable: they may
		// be reachable again, and only the executor can give a better answer than
		// "unknown".
		return Decision{Destination: Forward, To: in.ID}
	}
}

// executorDead reports whether the ticket's incarnation of the instance is dead.
func executorDead(in *kernel.Instance, t Ticket) bool {
	return in.Liveness == kernel.Dead && in.Incarnation == t.Executor.Incarnation
}

// otherExecutorProblem returns the answer of one process to a ticket of another.
func otherExecutorProblem(t Ticket, self Process) *api.Problem {
	if t.Executor.Instance == self.Instance && t.Executor.Incarnation <= self.Incarnation {
		return GoneProblem()
	}
	// The call was sent to the wrong instance, or to a process that has been
	// replaced and has not noticed it yet.
	return UnreachableProblem()
}

// findInstance returns the instance with the ID from the view, or nil if there is
// none.
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

// GoneProblem returns the answer if the executor has ended, so that nothing will
// ever run with the ticket. A retry can't help.
func GoneProblem() *api.Problem {
	return api.NewProblem(api.ProblemExecutorGone, api.Unknown,
		"the instance that issued the ticket has ended; the call may have run before, and will not run any more")
}

// UnreachableProblem returns the answer if the executor could not be reached or
// did not respond. The outcome is not "not-run", even if no byte was sent,
// because an earlier presentation may have run. A retry with the same ticket is
// safe.
func UnreachableProblem() *api.Problem {
	p := api.NewProblem(api.ProblemExecutorGone, api.Unknown,
		"the instance that issued the ticket can't be reached; retry with the same ticket")
	return p.WithRetryAfter(unreachableRetryAfter)
}

// WithUnknownOutcome sets the outcome of a refusal to unknown. It is for refusals
// that are given without asking the executor, such as "body too large" at an
// entry instance: the call may have been presented before and have run.
func WithUnknownOutcome(p *api.Problem) *api.Problem {
	p.Outcome = api.Unknown
	return p
}
