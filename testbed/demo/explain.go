package main

import (
	"context"
	"encoding/json"
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

// interesting picks a model request that was placed, one that met trouble, and
// a service call.
func interesting(all []record) []record {
	var placed, troubled, called *record
	for i := range all {
		c := &all[i]
		switch {
		case c.Outcome != "complete" && c.Outcome != "" && troubled == nil:
			troubled = c
		case c.Model && c.Sendings > 1 && troubled == nil:
			troubled = c
		case c.Model && c.Outcome == "complete" && placed == nil:
			placed = c
		case !c.Model && c.Outcome == "complete" && called == nil:
			called = c
		}
	}
	var list []record
	for _, c := range []*record{placed, troubled, called} {
		if c != nil {
			list = append(list, *c)
		}
	}
	return list
}

// explain adds to the report why three requests went as they did, asked of the
// running instances with wardspoolctl.
func (r *exampleRun) explain(ctx context.Context) error {
	all, err := r.records()
	if err != nil {
		return err
	}
	var operators []string
	for _, in := range r.fleet.Instances {
		operators = append(operators, in.Operator)
	}
	for _, c := range interesting(all) {
		cmd := exec.CommandContext(ctx, filepath.Join(r.flags.Bin, "wardspoolctl"), "explain", c.ID,
			"--instances", strings.Join(operators, ","))
		// Exit code 1 or 2 says that no instance knows it any more; the text says
		// so too.
		out, _ := cmd.CombinedOutput()
		fmt.Fprintf(&r.report, "Why did the %s %s end as %q?\n%s\n", c.Kind, c.ID, c.Outcome, out)
	}
	return nil
}
