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

// record is what the load tool says of one request, as far as the demo uses it.
type record struct {
	ID       string  `json:"id"`
	Kind     string  `json:"kind"`
	Model    bool    `json:"model"`
	Outcome  string  `json:"outcome"`
	Sendings int     `json:"sendings"`
	DoneMS   float64 `json:"done_ms"`
}

// records reads the load tool's list of requests.
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

// topic is a sort of request of which the demo explains one.
type topic struct {
	name    string
	belongs func(record) bool
	// mayBeLost: all of them may have been at the instance that was killed, whose
	// decisions died with it.
	mayBeLost bool
}

// topics are what is explained, in the report's order.
var topics = []topic{
	{name: "model request", belongs: func(c record) bool { return c.Model && c.Outcome == "complete" && c.Sendings <= 1 }},
	{name: "request that met trouble", belongs: troubled, mayBeLost: true},
	{name: "service call", belongs: func(c record) bool { return !c.Model && c.Outcome == "complete" }},
}

// troubled reports whether a request met trouble.
func troubled(c record) bool {
	return c.Outcome != "complete" && c.Outcome != "" || c.Model && c.Sendings > 1
}

// maxAsked bounds the requests of one topic that are asked for.
const maxAsked = 30

// UnexplainedError reports that no live instance knows any of the requests of a
// topic, although they were answered.
type UnexplainedError struct {
	Topic string
	Asked int
}

// Error implements error.
func (e *UnexplainedError) Error() string {
	return fmt.Sprintf("explain: no live instance knows any of %d requests (%s)", e.Asked, e.Topic)
}

// asker asks the live instances why a request went as it did. It returns their
// answer, and false if all answered and none knows the request.
type asker func(id string) (answer string, known bool, err error)

// explained is the text on one topic: the first of its requests that a live instance
// knows, and how many it passed over. The error is an *UnexplainedError or the
// asker's.
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

// passedOver says how many requests came before that no live instance knows.
func passedOver(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("(%d before it are known by no live instance any more)\n", n)
}

// explain adds to the report why three requests went as they did.
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

// Exit codes of "wardspoolctl explain" when no instance knows the request.
const (
	// notFound: all instances answered.
	notFound = 1
	// unreached: some gave no answer; the text names them.
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

// ask asks the running instances with wardspoolctl. Where one gave no answer, the
// text that says so is the answer: it goes into the report.
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
