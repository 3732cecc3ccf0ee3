package ticket

import "github.com/wardspool/wardspool/api"

// Action is what an executor does with a call that is presented to it.
type Action int

// Actions of an executor.
const (
	// Run means that the call is to be run and its end reported to
	// Executor.Finish.
	Run Action = iota + 1
	// Join means that the call is already running for another presentation, whose
	// result is to be awaited.
	Join
	// Replay means that the call has run and the answer is Verdict.Result.
	Replay
	// Refuse means that the answer is Verdict.Problem.
	Refuse
)

// String returns the action's name.
func (a Action) String() string {
	switch a {
	case Run:
		return "run"
	case Join:
		return "join"
	case Replay:
		return "replay"
	case Refuse:
		return "refuse"
	default:
		return "invalid"
	}
}

// Verdict is an executor's decision on a call that is presented to it.
type Verdict struct {
	Action Action
	// Result is set for Replay. It must not be modified.
	Result *Result
	// Problem is set for Refuse.
	Problem *api.Problem
}

// Result is the final answer to a call. It is given to every presentation of the
// call.
type Result struct {
	Outcome api.Outcome
	// BundleVersion is the bundle version under which the call was decided, 0 if
	// unknown.
	BundleVersion uint64
	// Status and ContentType are those of the HTTP response.
	Status      int
	ContentType string
	// Body is the whole body of the HTTP response. The executor keeps a reference
	// to it, so it must not be modified.
	Body []byte
}

// refuse returns the verdict that refuses a call.
func refuse(t api.ProblemType, o api.Outcome, detail string) Verdict {
	return Verdict{Action: Refuse, Problem: api.NewProblem(t, o, detail)}
}
