package journal

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Presentation is a call that came with a ticket. The call runs once, under an
// ID of its own that follows from the ticket, whoever presents the ticket how
// often and at which instance. A presentation leads from the ID of the caller's
// request to that of the run.
type Presentation struct {
	Time time.Time `json:"time"`
	// Request is the ID that the caller knows.
	Request ident.RequestID `json:"request"`
	// Run is the ID under which the call runs, or ran.
	Run ident.RequestID `json:"run"`
	// Executor is the one instance that may run the call.
	Executor ident.InstanceID `json:"executor"`
	// Action is what became of the presentation at the reporting instance.
	Action PresentationAction `json:"action"`
}

// PresentationAction is what an instance did with a presented ticket.
type PresentationAction string

// The actions. The first four are the executor's.
const (
	PresentationRun       PresentationAction = "run"       // the call was begun
	PresentationJoined    PresentationAction = "joined"    // the call was running already
	PresentationReplayed  PresentationAction = "replayed"  // the kept answer was given again
	PresentationRefused   PresentationAction = "refused"   // the ticket permits no call
	PresentationForwarded PresentationAction = "forwarded" // the executor was asked
	// PresentationUnreachable: the executor was not known here, or gave no
	// answer.
	PresentationUnreachable PresentationAction = "unreachable"
)

// Present keeps a presentation and drops the oldest one if there are too many.
func (j *Journal) Present(p Presentation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.presentations.add(p)
}

// Presentations returns those of a request, by the caller's ID or that of the
// run, oldest first.
func (j *Journal) Presentations(id ident.RequestID) []Presentation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.presentations.find(func(p *Presentation) bool { return p.Request == id || p.Run == id })
}
