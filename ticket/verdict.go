package ticket

import "github.com/wardspool/wardspool/api"

// Action is what an executor does with a call presented to it.
type Action int

// The actions.
const (
	// Run: run the call, then report its end with Executor.Finish.
	Run Action = iota + 1
	// Join: the call is running for another presentation; wait for its result.
	Join
	// Replay: the call has run; answer with Verdict.Result.
	Replay
	// Refuse: answer with Verdict.Problem.
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

// Verdict is an executor's decision on a call presented to it.
type Verdict struct {
	Action Action
	// Result is set for Replay. It must not be changed.
	Result *Result
	// Problem is set for Refuse.
	Problem *api.Problem
}

// Result is the final answer to a call, as it is given to each presentation.
type Result struct {
	Outcome api.Outcome
	// BundleVersion is the version the call was decided under, 0 if unknown.
	BundleVersion uint64
	// Status and ContentType are those of the HTTP response.
	Status      int
	ContentType string
	// Body is the whole response body. The executor keeps it; it must not be
	// changed.
	Body []byte
}

// refuse returns the verdict that refuses a call.
func refuse(t api.ProblemType, o api.Outcome, detail string) Verdict {
	return Verdict{Action: Refuse, Problem: api.NewProblem(t, o, detail)}
}
