// Package referee reads from the stand-ins which work ran, which was wasted and
// what is still held, and compares that with the outcomes that callers received.
// It uses none of the counters of the system under test.
package referee

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/load/runner"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

// ReportError reports that a stand-in's report could not be read.
type ReportError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ReportError) Error() string { return fmt.Sprintf("report of %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ReportError) Unwrap() error { return e.Err }

// StatusError reports an HTTP status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Reports holds the reports of all stand-ins.
type Reports struct {
	Engines  []judge.Engine
	Services []judge.Service
}

// combinedReport has the fields of an engine's and of a service's report.
// Service is set only in a service's report.
type combinedReport struct {
	judge.Engine
	Service       *string       `json:"service"`
	Runs          int           `json:"runs"`
	Running       int           `json:"running"`
	ByCorrelation []judge.Count `json:"by_correlation"`
	ByKey         []judge.Count `json:"by_key"`
}

// Fetch reads the reports of the stand-ins at the given addresses. Errors are of
// type *ReportError.
func Fetch(ctx context.Context, addresses []string) (*Reports, error) {
	var all Reports
	for _, address := range addresses {
		got, err := fetch(ctx, address)
		if err != nil {
			return nil, &ReportError{Address: address, Err: err}
		}
		if got.Service == nil {
			all.Engines = append(all.Engines, got.Engine)
			continue
		}
		all.Services = append(all.Services, judge.Service{
			ID: got.ID, Service: *got.Service, Runs: got.Runs, Running: got.Running,
			ByCorrelation: got.ByCorrelation, ByKey: got.ByKey, Dropped: got.Dropped,
		})
	}
	return &all, nil
}

// fetch reads the report of one stand-in.
func fetch(ctx context.Context, address string) (*combinedReport, error) {
	url := "http://" + address + control.PathJudge
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	var got combinedReport
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return nil, err
	}
	return &got, nil
}

// Held returns the sum of what the engines hold.
func (r *Reports) Held() judge.Held {
	var sum judge.Held
	for _, e := range r.Engines {
		sum.Attempts += e.Held.Attempts
		sum.Pieces += e.Held.Pieces
	}
	return sum
}

// quiescePoll is the interval at which FetchIdle polls the stand-ins.
const quiescePoll = 200 * time.Millisecond

// FetchIdle polls the reports until the engines hold no attempts or the time
// limit expires, and returns the last reports.
func FetchIdle(ctx context.Context, addresses []string, within time.Duration) (*Reports, error) {
	deadline := time.Now().Add(within)
	for {
		got, err := Fetch(ctx, addresses)
		if err != nil || got.Held().Attempts == 0 || time.Now().After(deadline) {
			return got, err
		}
		select {
		case <-ctx.Done():
			return got, nil
		case <-time.After(quiescePoll):
		}
	}
}

// Verdict is the comparison of the outcomes that callers received with what the
// stand-ins report.
type Verdict struct {
	// Duplicates lists requests that are not repeatable and ran more than once.
	Duplicates []string `json:"duplicates"`
	// FalseNotRun lists requests with outcome "not-run" that ran, at least in
	// part.
	FalseNotRun []string `json:"false_not_run"`
	// NeverRan lists requests with outcome "complete" that no stand-in ran.
	NeverRan []string `json:"never_ran"`
	// Wrong lists requests whose answer was incomplete or another request's.
	Wrong []string `json:"wrong"`
	// Leaked is what the engines still hold.
	Leaked judge.Held `json:"leaked"`
	// PromptComputed and PromptWasted count prompt tokens, including those
	// computed repeatedly.
	PromptComputed int `json:"prompt_computed"`
	PromptWasted   int `json:"prompt_wasted"`
	// Unrecorded counts the correlation IDs and keys that the stand-ins did not record
	// because their record limits were reached.
	Unrecorded int `json:"unseen"`
	// partial is true if reports of some upstreams are missing.
	partial bool
}

// Violated reports whether any guarantee was violated.
func (v *Verdict) Violated() bool {
	return len(v.Duplicates)+len(v.FalseNotRun)+len(v.NeverRan)+len(v.Wrong)+v.Leaked.Attempts > 0
}

// WastedShare returns the share of the computed prompt tokens that were wasted.
func (v *Verdict) WastedShare() float64 {
	if v.PromptComputed == 0 {
		return 0
	}
	return float64(v.PromptWasted) / float64(v.PromptComputed)
}

// request sums up what all stand-ins ran for one request.
type request struct {
	serviceRuns, engineRuns int
	computed, largestUsed   int
}

// Judge compares the callers' records with the stand-ins' reports. The argument
// all states whether the reports of all upstreams are present: without them,
// Judge can't tell whether a request with a complete answer ran and does not
// fill in NeverRan.
func Judge(records []runner.Record, reports *Reports, all bool) *Verdict {
	v := &Verdict{Leaked: reports.Held(), partial: !all}
	ran := reports.byRequest(v)
	for i := range records {
		v.judge(&records[i], ran[records[i].ID])
	}
	for _, q := range ran {
		v.PromptComputed += q.computed
		v.PromptWasted += q.computed - q.largestUsed
	}
	return v
}

// judge compares one record with the runs of its request.
func (v *Verdict) judge(rec *runner.Record, q request) {
	if !rec.Repeatable && q.serviceRuns > 1 {
		v.Duplicates = append(v.Duplicates, rec.ID)
	}
	if rec.NotRun && q.serviceRuns+q.engineRuns > 0 {
		v.FalseNotRun = append(v.FalseNotRun, rec.ID)
	}
	if rec.Outcome == "complete" && !rec.InvalidAnswer && q.serviceRuns+q.engineRuns == 0 && v.Unrecorded == 0 && !v.partial {
		v.NeverRan = append(v.NeverRan, rec.ID)
	}
	if rec.InvalidAnswer {
		v.Wrong = append(v.Wrong, rec.ID)
	}
}

// byRequest sums up the reports by request ID, and adds what the stand-ins did not
// record to v.Unrecorded.
func (r *Reports) byRequest(v *Verdict) map[string]request {
	ran := map[string]request{}
	for _, e := range r.Engines {
		v.Unrecorded += e.Dropped
		for _, q := range e.Requests {
			sum := ran[q.CorrelationID]
			sum.engineRuns += q.PrefillRuns + q.DecodeRuns
			sum.computed += q.PromptComputed
			sum.largestUsed = max(sum.largestUsed, q.LargestUsed)
			ran[q.CorrelationID] = sum
		}
	}
	byKey := map[string]int{}
	for _, s := range r.Services {
		v.Unrecorded += s.Dropped
		for _, n := range s.ByCorrelation {
			sum := ran[n.Name]
			sum.serviceRuns += n.N
			ran[n.Name] = sum
		}
		for _, n := range s.ByKey {
			byKey[n.Name] += n.N
		}
	}
	// Callers use the request ID as the idempotency key. A call that runs with a
	// ticket may have a different correlation ID, so its runs are counted by key.
	for id, n := range byKey {
		sum := ran[id]
		sum.serviceRuns = max(sum.serviceRuns, n)
		ran[id] = sum
	}
	return ran
}
