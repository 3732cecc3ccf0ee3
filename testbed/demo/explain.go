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

// topic is a class of requests of which the demo explains one.
type topic struct {
	name    string
	belongs func(record) bool
	// mayBeLost says that all of them may have been handled by the killed instance,
	// whose record of decisions was lost with it.
	mayBeLost bool
}

// topics lists the explained classes in the order of the report.
var topics = []topic{
	{name: "model request", belongs: func(c record) bool { return c.Model && c.Outcome == "complete" && c.Sendings <= 1 }},
	{name: "request that met trouble", belongs: troubled, mayBeLost: true},
	{name: "service call", belongs: func(c record) bool { return !c.Model && c.Outcome == "complete" }},
}

// troubled reports whether a request ended with another outcome than complete, or
// is a model request that had to be sent more than once.
func troubled(c record) bool {
	return c.Outcome != "complete" && c.Outcome != "" || c.Model && c.Sendings > 1
}

// maxAsked bounds the number of requests of one topic that are looked up.
const maxAsked = 30

// UnexplainedError reports that no live instance has a record of any of the
// requests of a topic, although they were answered.
type UnexplainedError struct {
	Topic string
	Asked int
}

// Error implements error.
func (e *UnexplainedError) Error() string {
	return fmt.Sprintf("explain: no live instance has a record of any of %d requests (%s)", e.Asked, e.Topic)
}

// asker queries the live instances for the decisions on a request. It returns their
// answer, and false if all answered and none has a record of the request.
type asker func(id string) (answer string, known bool, err error)

// explained returns the report text on one topic: the explanation of the first of
// its requests of which a live instance has a record, and the number of requests
// skipped before it. Errors are *UnexplainedError and those of the asker.
func (t topic) explained(all []record, ask asker) (string, error) {
	passed := 0
	for _, c := range all {
		if passed == maxAsked {
			break
		}
		if !t.belongs(c) {
			continue
		}
		answer, known, err := ask(c.ID)
		if err != nil {
			return "", err
		}
		if known {
			return fmt.Sprintf("Why did the %s %s end as %q?\n%s%s\n", c.Kind, c.ID, c.Outcome, answer, passedOver(passed)), nil
		}
		passed++
	}
	switch {
	case passed == 0:
		return "", nil
	case t.mayBeLost:
		return fmt.Sprintf("No live instance knows the %d requests asked for (%s): an instance was killed, and what it knew with it.\n", passed, t.name), nil
	default:
		return "", &UnexplainedError{Topic: t.name, Asked: passed}
	}
}

// passedOver returns a note on the n requests that were skipped because no live
// instance has a record of them.
func passedOver(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("(%d before it are known by no live instance any more)\n", n)
}

// explain adds to the report an explanation of one request of each topic.
func (r *exampleRun) explain(ctx context.Context) error {
	all, err := r.records()
	if err != nil {
		return err
	}
	for _, t := range topics {
		t.mayBeLost = t.mayBeLost && !r.flags.NoFaults
		text, err := t.explained(all, func(id string) (string, bool, error) { return r.ask(ctx, id) })
		if err != nil {
			return err
		}
		r.report.WriteString(text)
	}
	return nil
}

// Exit codes of "wardspoolctl explain" when no instance has a record of the request.
const (
	// notFound means that all instances answered.
	notFound = 1
	// unreached means that some instances gave no answer; the output names them.
	unreached = 2
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

// ask queries the running instances with wardspoolctl. If an instance gave no
// answer, wardspoolctl's output, which says so, counts as the answer and goes into
// the report.
func (r *exampleRun) ask(ctx context.Context, id string) (string, bool, error) {
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
	case err == nil, code == unreached:
		return string(out), true, nil
	case code == notFound:
		return string(out), false, nil
	default:
		return "", false, &ExplainError{Request: id, Output: string(out), Err: err}
	}
}
