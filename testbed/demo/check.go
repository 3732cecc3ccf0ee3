package main

import "fmt"

// GuaranteeError reports that the judge found a violated guarantee.
type GuaranteeError struct {
	Deployment string
	Err        error
}

// Error implements error.
func (e *GuaranteeError) Error() string {
	return fmt.Sprintf("%s: the judge found a violated guarantee: %v", e.Deployment, e.Err)
}

// Unwrap returns the load tool's error.
func (e *GuaranteeError) Unwrap() error { return e.Err }

// LowCompletionError reports that too few requests were answered completely.
type LowCompletionError struct {
	Deployment        string
	Complete, Offered int
}

// Error implements error.
func (e *LowCompletionError) Error() string {
	return fmt.Sprintf("%s: only %d of %d requests were answered", e.Deployment, e.Complete, e.Offered)
}

// minCompletePercent is the share of requests that must be answered completely
// although an instance and an engine are killed.
const minCompletePercent = 80

// checkCompletion returns a *LowCompletionError if too few requests were answered
// completely.
func (r *exampleRun) checkCompletion() error {
	all, err := r.records()
	if err != nil {
		return err
	}
	complete := 0
	for _, c := range all {
		if c.Outcome == "complete" {
			complete++
		}
	}
	if complete*100 < len(all)*minCompletePercent {
		return &LowCompletionError{Deployment: r.name, Complete: complete, Offered: len(all)}
	}
	return nil
}
