package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// record is the load tool's record of one request, with the fields that the demo
// uses.
type record struct {
	ID       string  `json:"id"`
	Kind     string  `json:"kind"`
	Model    bool    `json:"model"`
	Outcome  string  `json:"outcome"`
	Sendings int     `json:"sendings"`
	DoneMS   float64 `json:"done_ms"`
}

// records reads the load tool's records of all requests.
func (r *exampleRun) records() ([]record, error) {
	path := filepath.Join(r.dir, "requests.json")
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file struct {
		Records []record `json:"records"`
	}
	if err := json.Unmarshal(b, &file); err != nil {
		return nil, err
	}
	return file.Records, nil
}

// requestClass is a class of requests of which the demo explains one.
type requestClass struct {
	name    string
	matches func(record) bool
	// recordsMayBeLost reports that all of them may have been handled by the killed
	// instance, whose record of decisions was lost with it.
	recordsMayBeLost bool
}

// requestClasses lists the explained classes in the order of the report.
var requestClasses = []requestClass{
	{name: "model request", matches: func(c record) bool { return c.Model && c.Outcome == "complete" && c.Sendings <= 1 }},
	{name: "request that met trouble", matches: incompleteOrRetried, recordsMayBeLost: true},
	{name: "service call", matches: func(c record) bool { return !c.Model && c.Outcome == "complete" }},
}

// incompleteOrRetried reports whether a request was answered with an outcome other
// than complete, or is a model request that was sent more than once.
func incompleteOrRetried(c record) bool {
	return c.Outcome != "complete" && c.Outcome != "" || c.Model && c.Sendings > 1
}

// maxLookups bounds the number of requests of one class that are looked up.
const maxLookups = 30

// UnexplainedError reports that no live instance has a record of any of the
// requests of a class, although they were answered.
type UnexplainedError struct {
	Class   string
	Lookups int
}

// Error implements error.
func (e *UnexplainedError) Error() string {
	return fmt.Sprintf("explain: no live instance has a record of any of %d requests (%s)", e.Lookups, e.Class)
}

// lookupFunc queries the live instances for the decisions on a request. It returns
// their answer, and false if all answered and none has a record of the request.
type lookupFunc func(id string) (answer string, known bool, err error)

// explain returns the report text on one class: the explanation of the first of its
// requests of which a live instance has a record, and the number of requests skipped
// before it. Errors are *UnexplainedError and those of lookUp.
func (class requestClass) explain(all []record, lookUp lookupFunc) (string, error) {
	skipped := 0
	for _, c := range all {
		if skipped == maxLookups {
			break
		}
		if !class.matches(c) {
			continue
		}
		answer, known, err := lookUp(c.ID)
		if err != nil {
			return "", err
		}
		if known {
			return fmt.Sprintf("Why did the %s %s end as %q?\n%s%s\n", c.Kind, c.ID, c.Outcome, answer, skippedNote(skipped)), nil
		}
		skipped++
	}
	switch {
	case skipped == 0:
		return "", nil
	case class.recordsMayBeLost:
		return fmt.Sprintf("No live instance knows the %d requests asked for (%s): an instance was killed, and what it knew with it.\n", skipped, class.name), nil
	default:
		return "", &UnexplainedError{Class: class.name, Lookups: skipped}
	}
}

// skippedNote returns a note on the n requests that were skipped because no live
// instance has a record of them.
func skippedNote(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("(%d before it are known by no live instance any more)\n", n)
}

// explain adds to the report an explanation of one request of each class.
func (r *exampleRun) explain(ctx context.Context) error {
	all, err := r.records()
	if err != nil {
		return err
	}
	for _, class := range requestClasses {
		class.recordsMayBeLost = class.recordsMayBeLost && !r.flags.NoFaults
		text, err := class.explain(all, func(id string) (string, bool, error) { return r.lookUp(ctx, id) })
		if err != nil {
			return err
		}
		r.report.WriteString(text)
	}
	return nil
}

// Exit codes of "wardspoolctl explain" when no instance has a record of the request.
const (
	// exitNotFound means that all instances answered.
	exitNotFound = 1
	// exitUnreachable means that some instances gave no answer; the output names them.
	exitUnreachable = 2
)

// ExplainError reports that wardspoolctl failed.
type ExplainError struct {
	Request, Output string
	Err             error
}

// Error implements error.
func (e *ExplainError) Error() string {
	return fmt.Sprintf("explain %s: %v\n%s", e.Request, e.Err, e.Output)
}

// Unwrap returns the cause.
func (e *ExplainError) Unwrap() error { return e.Err }

// lookUp queries the running instances with wardspoolctl. If an instance gave no
// answer, wardspoolctl's output, which says so, counts as the answer and goes into
// the report.
func (r *exampleRun) lookUp(ctx context.Context, id string) (string, bool, error) {
	var operators []string
	for _, in := range r.fleet.Instances {
		operators = append(operators, in.Operator)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(r.flags.Bin, "wardspoolctl"), "explain", id,
		"--instances", strings.Join(operators, ","))
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	code := 0
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	switch {
	case err == nil, code == exitUnreachable:
		return string(out), true, nil
	case code == exitNotFound:
		return string(out), false, nil
	default:
		return "", false, &ExplainError{Request: id, Output: string(out), Err: err}
	}
}
