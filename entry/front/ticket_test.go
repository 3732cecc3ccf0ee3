package front

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/entry/intake"
	"github.com/wardspool/wardspool/ident"
)

// fakeTickets is a Tickets that always issues the same ticket and runs no
// calls.
type fakeTickets struct{ Tickets }

const freshTicket = "1.k1.e-1.fresh"

func (fakeTickets) Issue(_ ident.Workspace) (string, time.Time, *api.Problem) {
	return freshTicket, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), nil
}

// TestKindThatRequiresATicket: a call that is not repeatable and whose kind
// requires a ticket is not run without one, no matter who sent or repeated it,
// and is offered one.
func TestKindThatRequiresATicket(t *testing.T) {
	tests := []struct {
		name    string
		headers []string
		runs    int
	}{
		{"no ticket", []string{"Wardspool-Kind: place"}, 0},
		{"default kind", nil, 0},
		{"marked repeatable by the caller", []string{"Wardspool-Kind: place", "Wardspool-Repeatable: yes"}, 1},
		{"another kind", []string{"Wardspool-Kind: free"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestFront(t, func(o *Options) {
				o.Tickets = fakeTickets{}
				o.Catalog = func() *intake.Catalog {
					return intake.NewCatalog(4, &config.Content{
						Kinds: []config.Kind{
							{Name: "place", Route: config.RouteService, TicketRequired: true},
							{Name: "free", Route: config.RouteService},
						},
						Services:   []config.Service{{Name: "desk"}},
						Workspaces: []config.Workspace{{Name: "default"}},
					})
				}
			})
			resp, body := r.sendRaw(t, post("/services/desk/orders", "{}", tt.headers...))
			assert.Equal(t, r.submit.calls, tt.runs)
			if tt.runs > 0 {
				assert.Equal(t, resp.StatusCode, http.StatusTeapot)
				return
			}
			assert.Equal(t, resp.StatusCode, http.StatusPreconditionRequired)
			assertProblem(t, resp, body, api.ProblemTicketRequired, api.NotRun)
			assert.Equal(t, resp.Header.Get(api.HeaderTicket), freshTicket)
		})
	}
}
