// Package referee asks the stand-ins what really ran, was wasted and is still
// held, and compares that with what callers were told. It trusts no counter of
// the system's own.
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

// ReportError reports a stand-in whose report could not be read.
type ReportError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ReportError) Error() string { return fmt.Sprintf("report of %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ReportError) Unwrap() error { return e.Err }

// StatusError reports an answer other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Reports is what all stand-ins report.
type Reports struct {
	Engines  []judge.Engine
	Services []judge.Service
}

// either has the members of an engine's or a service's report.
type either struct {
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

// fetch reads one report.
func fetch(ctx context.Context, address string) (*either, error) {
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
	var got either
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return nil, err
	}
	return &got, nil
}

// Held sums up what the engines hold.
func (r *Reports) Held() judge.Held {
	var sum judge.Held
	for _, e := range r.Engines {
		sum.Attempts += e.Held.Attempts
		sum.Pieces += e.Held.Pieces
	}
	return sum
}

// quiescePoll is the time between two looks at the engines.
const quiescePoll = 200 * time.Millisecond

// FetchQuiet reads the reports again and again until the engines hold nothing
// or the time is up, and returns the last ones.
func FetchQuiet(ctx context.Context, addresses []string, within time.Duration) (*Reports, error) {
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

// Verdict compares what callers were told with what really happened.
type Verdict struct {
	// Duplicates lists requests that are not repeatable and ran more than once.
	Duplicates []string `json:"duplicates"`
	// FalseNotRun lists requests told "not-run" that ran, at least in part.
	FalseNotRun []string `json:"false_not_run"`
	// NeverRan lists requests told "complete" that no stand-in ran.
	NeverRan []string `json:"never_ran"`
	// Wrong lists requests whose answer was not the whole answer to them.
	Wrong []string `json:"wrong"`
	// Leaked is what the engines still hold.
	Leaked judge.Held `json:"leaked"`
	// PromptComputed and PromptWasted are in tokens, computed again included.
	PromptComputed int `json:"prompt_computed"`
	PromptWasted   int `json:"prompt_wasted"`
	// Unseen counts what the stand-ins have no record of, because of their caps.
	Unseen int `json:"unseen"`
	// partial says that not all upstreams have reported.
	partial bool
}

// Broken reports whether any promise was broken.
func (v *Verdict) Broken() bool {
	return len(v.Duplicates)+len(v.FalseNotRun)+len(v.NeverRan)+len(v.Wrong)+v.Leaked.Attempts > 0
}

// WastedShare is the share of the prompt tokens computed that were wasted.
func (v *Verdict) WastedShare() float64 {
	if v.PromptComputed == 0 {
		return 0
	}
	return float64(v.PromptWasted) / float64(v.PromptComputed)
}

// request is what all stand-ins did for one request.
type request struct {
	serviceRuns, engineRuns int
	computed, largestUsed   int
}

// Judge compares records with reports. Without reports of all upstreams it
// can't tell whether a complete answer ran, so all says whether they are all
// there.
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

// judge compares one record with what ran.
func (v *Verdict) judge(rec *runner.Record, q request) {
	if !rec.Repeatable && q.serviceRuns > 1 {
		v.Duplicates = append(v.Duplicates, rec.ID)
	}
	if rec.NotRun && q.serviceRuns+q.engineRuns > 0 {
		v.FalseNotRun = append(v.FalseNotRun, rec.ID)
	}
	if rec.Outcome == "complete" && !rec.Wrong && q.serviceRuns+q.engineRuns == 0 && v.Unseen == 0 && !v.partial {
		v.NeverRan = append(v.NeverRan, rec.ID)
	}
	if rec.Wrong {
		v.Wrong = append(v.Wrong, rec.ID)
	}
}

// byRequest sums up the reports by request ID.
func (r *Reports) byRequest(v *Verdict) map[string]request {
	ran := map[string]request{}
	for _, e := range r.Engines {
		v.Unseen += e.Dropped
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
		v.Unseen += s.Dropped
		for _, n := range s.ByCorrelation {
			sum := ran[n.Name]
			sum.serviceRuns += n.N
			ran[n.Name] = sum
		}
		for _, n := range s.ByKey {
			byKey[n.Name] += n.N
		}
	}
	// Callers use the request's ID as idempotency key, and a call that runs by
	// its ticket may have a correlation ID of its own.
	for id, n := range byKey {
		sum := ran[id]
		sum.serviceRuns = max(sum.serviceRuns, n)
		ran[id] = sum
	}
	return ran
}
