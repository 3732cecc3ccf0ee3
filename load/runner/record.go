package runner

import (
	"errors"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/load/workload"
)

// Record is the result of one request over all its sendings. Times are in
// milliseconds from when the request was due.
type Record struct {
	ID         string  `json:"id"`
	Kind       string  `json:"kind"`
	Workspace  string  `json:"workspace"`
	Repeatable bool    `json:"repeatable"`
	Model      bool    `json:"model"`
	DueMS      float64 `json:"due_ms"`
	// Outcome and Status are those of the last answer; Outcome is empty if there was
	// none.
	Outcome api.Outcome `json:"outcome"`
	Status  int         `json:"status,omitempty"`
	// Problem is the type of the last problem document.
	Problem api.ProblemType `json:"problem,omitempty"`
	// NotRun reports that every sending was answered "not-run" or could not be sent,
	// and that there was at least one such answer.
	NotRun bool `json:"not_run"`
	// Sendings counts how often the request was sent, Refusals the sendings answered
	// "not-run", Broken those whose connection broke after the request may have been
	// sent.
	Sendings          int `json:"sendings"`
	Refusals          int `json:"refusals,omitempty"`
	BrokenConnections int `json:"broken,omitempty"`
	// FailedConnections counts the sendings whose connection could not be established.
	FailedConnections int `json:"unsent,omitempty"`
	TicketFailures    int `json:"ticket_failures,omitempty"`
	// Cancelled reports that the caller cancelled the request.
	Cancelled bool `json:"cancelled,omitempty"`
	// InvalidAnswer reports an answer that was incomplete, belonged to another request or
	// violated the callers' protocol.
	InvalidAnswer bool    `json:"wrong,omitempty"`
	FirstMS       float64 `json:"first_ms,omitempty"`
	DoneMS        float64 `json:"done_ms,omitempty"`
	// PaceMS is the mean time between output tokens.
	PaceMS float64 `json:"pace_ms,omitempty"`
	Tokens int     `json:"tokens,omitempty"`
	Error  string  `json:"error,omitempty"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// add updates the record with the result of a sending.
func (r *Record) add(got *client.Result, due time.Time) {
	r.Outcome, r.Status, r.Problem, r.Error = got.Outcome, got.Status, "", ""
	if got.Problem != nil {
		r.Problem = got.Problem.Type
	}
	r.FirstMS = milliseconds(got.First.Sub(due))
	r.DoneMS = milliseconds(got.Done.Sub(due))
	r.Tokens = got.Tokens
	r.PaceMS = 0
	if got.Tokens > 1 {
		r.PaceMS = milliseconds(got.Done.Sub(got.First)) / float64(got.Tokens-1)
	}
	r.addError(got)
	if got.Outcome == api.NotRun {
		r.Refusals++
	}
	r.NotRun = r.Refusals > 0 && r.Refusals+r.FailedConnections == r.Sendings
}

// addError classifies and counts the error of a sending.
func (r *Record) addError(got *client.Result) {
	if got.Err == nil {
		return
	}
	r.Error = got.Err.Error()
	var conn *client.ConnError
	if !errors.As(got.Err, &conn) {
		r.InvalidAnswer = true
		return
	}
	r.Outcome = ""
	if conn.Sent {
		r.BrokenConnections++
		return
	}
	r.FailedConnections++
}

// Good reports whether the request was answered completely and within its latency
// targets.
func (r *Record) Good(k *workload.Kind) bool {
	if r.Outcome != api.Complete || r.InvalidAnswer || r.Status/100 != 2 || r.Cancelled {
		return false
	}
	if r.FirstMS > milliseconds(k.FirstOutput) {
		return false
	}
	return !r.Model || r.PaceMS <= milliseconds(k.Pace)
}
