package engine

import (
	"net/http"
	"slices"
	"sort"

	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

// serveJudge handles GET /judge. With ?correlation=ID the report includes only
// that request's record, with a non-empty ?summary no records.
func (e *Engine) serveJudge(w http.ResponseWriter, r *http.Request) {
	report := e.JudgeReport()
	query := r.URL.Query()
	if query.Get("summary") != "" {
		report.Requests = []judge.Request{}
	}
	if id := query.Get("correlation"); id != "" {
		report.Requests = slices.DeleteFunc(report.Requests, func(q judge.Request) bool {
			return q.CorrelationID != id
		})
	}
	control.WriteJSON(w, http.StatusOK, report)
}

// JudgeReport reports the work that the engine really did and the resources that it
// holds now.
func (e *Engine) JudgeReport() judge.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.activeAttempts()
	report := judge.Engine{
		ID:          e.cfg.ID,
		Incarnation: e.state.incarnation,
		Totals:      e.ledger.totals,
		Held:        judge.Held{Attempts: len(held), Pieces: e.state.piecesUsed},
		Requests:    e.ledger.report(held),
		Dropped:     e.ledger.unrecorded,
	}
	return report
}

// activeAttempts returns the attempts that have not ended, in order of arrival.
func (e *Engine) activeAttempts() []*attempt {
	var out []*attempt
	for _, a := range e.state.attempts {
		if a.running() {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].arrival < out[j].arrival })
	return out
}

// report returns the records, including the tokens that the given running
// attempts have generated so far.
func (l *ledger) report(running []*attempt) []judge.Request {
	soFar := make(map[string][]judge.Range)
	for _, a := range running {
		if a.next > a.from {
			r := judge.Range{From: a.from, To: a.next}
			soFar[a.correlation] = append(soFar[a.correlation], r)
		}
	}
	out := make([]judge.Request, 0, len(l.requests))
	for id, r := range l.requests {
		record := *r
		record.Ranges = slices.Concat(r.Ranges, soFar[id])
		out = append(out, record)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].CorrelationID < out[j].CorrelationID })
	return out
}
