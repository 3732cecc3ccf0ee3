package tickets

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/wardspool/wardspool/entry/journal"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/ticket"
)

const (
	// runPrefix distinguishes IDs of runs from callers' request IDs in logs and
	// explanations.
	runPrefix = "ticket-"
	// runBytes is the length of the truncated hash. 16 bytes make it
	// practically impossible that two tickets share an ID.
	runBytes = 16
)

// RunID returns the ID under which the call of a ticket runs. It is derived
// from the ticket's text, so that all instances know it. As it is a hash, only
// the ticket's holder can guess it.
func RunID(text string) ident.RequestID {
	sum := sha256.Sum256([]byte(text))
	return ident.RequestID(runPrefix + hex.EncodeToString(sum[:runBytes]))
}

// presentationActions maps the executor's decisions to journal actions.
var presentationActions = map[ticket.Action]journal.PresentationAction{
	ticket.Run:    journal.PresentationRun,
	ticket.Join:   journal.PresentationJoined,
	ticket.Replay: journal.PresentationReplayed,
	ticket.Refuse: journal.PresentationRefused,
}

// reportPresentation reports the handling of a presentation to the observer.
func (d *Dispatcher) reportPresentation(t ticket.Ticket, c *Call, action journal.PresentationAction) {
	if d.observe == nil {
		return
	}
	d.observe(journal.Presentation{
		Time:     time.Now(),
		Request:  c.Request,
		Run:      c.Run,
		Executor: t.Executor.Instance,
		Action:   action,
	})
}
