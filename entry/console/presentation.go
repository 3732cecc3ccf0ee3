package console

import (
	"fmt"

	"github.com/wardspool/wardspool/entry/journal"
)

// presentationText describes how a call that presented a ticket was handled.
func presentationText(p *journal.Presentation) string {
	switch p.Action {
	case journal.PresentationRun:
		return fmt.Sprintf("its ticket was used here, the call runs as %s", p.Run)
	case journal.PresentationJoined:
		return fmt.Sprintf("its ticket is in use here, it waits for the call that runs as %s", p.Run)
	case journal.PresentationReplayed:
		return fmt.Sprintf("its ticket was used before, the answer of %s was given again", p.Run)
	case journal.PresentationRefused:
		return fmt.Sprintf("its ticket (of the call %s) permits no call", p.Run)
	case journal.PresentationForwarded:
		return fmt.Sprintf("forwarded to %s, which issued its ticket, as %s", p.Executor, p.Run)
	case journal.PresentationUnreachable:
		return fmt.Sprintf("%s, which issued its ticket, gave no answer for %s", p.Executor, p.Run)
	default:
		return string(p.Action) + " " + string(p.Run)
	}
}
