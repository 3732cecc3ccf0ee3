package runner

import (
	"errors"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/load/workload"
)

// Record is what came of one request, all its sendings together. Times are in
// milliseconds from when the request was due.
type Record struct {
	ID         string  `json:"id"`
	Kind       string  `json:"kind"`
	Workspace  string  `json:"workspace"`
	Repeatable bool    `json:"repeatable"`
	Model      bool    `json:"model"`
	DueMS      float64 `json:"due_ms"`
	// Outcome and Status are the last answer's; Outcome is empty if none came.
	Outcome api.Outcome `json:"outcome"`
	Status  int         `json:"status,omitempty"`
	// Problem is the type of the last problem document.
	Problem api.ProblemType `json:"problem,omitempty"`
	// NotRun says that every answer was "not-run" and no sending was left
	// without an answer.
	NotRun bool `json:"not_run"`
	// Sendings counts the sendings, Refusals those answered "not-run", Broken
	// those that ended in a broken connection after they may have been sent.
	Sendings int `json:"sendings"`
	Refusals int `json:"refusals,omitempty"`
	Broken   int `json:"broken,omitempty"`
	// Unsent counts the sendings whose connection could not be made.
	Unsent         int `json:"unsent,omitempty"`
	TicketFailures int `json:"ticket_failures,omitempty"`
	// Cancelled says that the caller left of its own accord.
	Cancelled bool `json:"cancelled,omitempty"`
	// Wrong says that an answer was not the whole answer to this request, or
	// broke the callers' protocol.
	Wrong   bool    `json:"wrong,omitempty"`
	FirstMS float64 `json:"first_ms,omitempty"`
	DoneMS  float64 `json:"done_ms,omitempty"`
	// PaceMS is the mean time between output tokens.
	PaceMS float64 `json:"pace_ms,omitempty"`
	Tokens int     `json:"tokens,omitempty"`
	Error  string  `json:"error,omitempty"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// add takes over what came of a sending.
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
	r.NotRun = r.Refusals > 0 && r.Refusals+r.Unsent == r.Sendings
}

// addError counts how a sending failed.
func (r *Record) addError(got *client.Result) {
	if got.Err == nil {
		return
	}
	r.Error = got.Err.Error()
	var conn *client.ConnError
	if !errors.As(got.Err, &conn) {
		r.Wrong = true
		return
	}
	r.Outcome = ""
	if conn.Sent {
		r.Broken++
		return
	}
	r.Unsent++
}

// Good reports whether the request was answered whole and within its targets.
func (r *Record) Good(k *workload.Kind) bool {
	if r.Outcome != api.Complete || r.Wrong || r.Status/100 != 2 || r.Cancelled {
		return false
	}
	if r.FirstMS > milliseconds(k.FirstOutput) {
		return false
	}
	return !r.Model || r.PaceMS <= milliseconds(k.Pace)
}
