package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/console"
	"github.com/wardspool/wardspool/entry/journal"
	"github.com/wardspool/wardspool/entry/tickets"
	"github.com/wardspool/wardspool/ident"
)

// TestTicketIsExplained checks that explain finds a call by the caller's request ID, also
// if another instance ran the call.
func TestTicketIsExplained(t *testing.T) {
	f := newTestFleet(t)
	f.makeAllReady()
	text := f.issueTicket(0)
	for _, id := range []string{"first-try", "second-try"} {
		f.directTo(1)
		resp, body := f.do(http.MethodPost, "/services/desk/orders", "{}",
			api.HeaderTicket, text, api.HeaderKind, "order", api.HeaderRequestID, id)
		assert.Equal(t, resp.Header.Get(api.HeaderRequestID), id, body)
	}
	pool := operatorPool(t, "ops-1")
	addresses := []string{f.entries[0].OperatorAddress(), f.entries[1].OperatorAddress()}
	for id, want := range map[ident.RequestID][]string{
		"first-try":         {"first-try on entry-0 (hall-a) at ", "its ticket was used here", "first-try on entry-1 (hall-a) at ", "forwarded to entry-0"},
		"second-try":        {"second-try on entry-0 (hall-a) at ", "was given again", "second-try on entry-1 (hall-a) at ", "forwarded to entry-0"},
		tickets.RunID(text): {"first-try on entry-0 (hall-a) at ", "second-try on entry-0 (hall-a) at "},
	} {
		e := console.Explain(t.Context(), pool, addresses, id)
		var out strings.Builder
		assert.NilError(t, e.Write(&out))
		want = append(want, string(tickets.RunID(text))+" on entry-0 (hall-a): kind order, workspace default", "called", "whole_answer")
		for _, part := range want {
			assert.Check(t, strings.Contains(out.String(), part), "%q for %s is missing in\n%s", part, id, out.String())
		}
	}

	f.stopFuncs[0]()
	f.directTo(1)
	f.do(http.MethodPost, "/services/desk/orders", "{}", api.HeaderTicket, text, api.HeaderKind, "order", api.HeaderRequestID, "late")
	e := console.Explain(t.Context(), pool, addresses[1:], "late")
	assert.Equal(t, len(e.Found), 1)
	last := e.Found[0].Presentations[len(e.Found[0].Presentations)-1]
	assert.Equal(t, last.Action, journal.PresentationUnreachable)
}
