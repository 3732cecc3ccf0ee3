package journal

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Presentation is a request that presented a ticket. The call of a ticket runs
// once, under an ID of its own that is derived from the ticket, no matter who
// presents the ticket, how often and at which instance. A presentation maps the
// ID of the caller's request to the ID of that run.
type Presentation struct {
	Time time.Time `json:"time"`
	// Request is the request ID that the caller knows.
	Request ident.RequestID `json:"request"`
	// Run is the ID under which the call runs or ran.
	Run ident.RequestID `json:"run"`
	// Executor is the only instance that may run the call.
	Executor ident.InstanceID `json:"executor"`
	// Action is how the reporting instance handled the presentation.
	Action PresentationAction `json:"action"`
}

// PresentationAction is how an instance handled a presented ticket.
type PresentationAction string

// The presentation actions. Only the executor reports the first four.
const (
	PresentationRun       PresentationAction = "run"       // the call was started
	PresentationJoined    PresentationAction = "joined"    // the call was already running
	PresentationReplayed  PresentationAction = "replayed"  // the stored answer was returned again
	PresentationRefused   PresentationAction = "refused"   // the ticket does not permit the call
	PresentationForwarded PresentationAction = "forwarded" // the call was forwarded to the executor
	// PresentationUnreachable: this instance had no address of the executor, or
	// the executor did not answer.
	PresentationUnreachable PresentationAction = "unreachable"
)

// Present adds a presentation and discards the oldest one if the journal is
// full.
func (j *Journal) Present(p Presentation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.presentations.add(p)
}

// Presentations returns the presentations with the given ID, either the
// caller's request ID or the ID of the run, oldest first.
func (j *Journal) Presentations(id ident.RequestID) []Presentation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.presentations.find(func(p *Presentation) bool { return p.Request == id || p.Run == id })
}
