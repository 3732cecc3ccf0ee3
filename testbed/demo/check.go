package main

import "fmt"

// BrokenError reports that the judge found a violated guarantee.
type BrokenError struct {
	Deployment string
	Err        error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("%s: the judge found a violated guarantee: %v", e.Deployment, e.Err)
}

// Unwrap returns the load tool's error.
func (e *BrokenError) Unwrap() error { return e.Err }

// UnservedError reports that too few requests were answered completely.
type UnservedError struct {
	Deployment        string
	Complete, Offered int
}

// Error implements error.
func (e *UnservedError) Error() string {
	return fmt.Sprintf("%s: only %d of %d requests were answered", e.Deployment, e.Complete, e.Offered)
}

// leastServedPercent is the share of requests that must be answered completely
// although an instance and an engine are killed.
const leastServedPercent = 80

// checkServed returns an *UnservedError if too few requests were answered
// completely.
func (r *exampleRun) checkServed() error {
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
	if complete*100 < len(all)*leastServedPercent {
		return &UnservedError{Deployment: r.name, Complete: complete, Offered: len(all)}
	}
	return nil
}
