package main

import (
	"context"

	"github.com/wardspool/wardspool/entry/console"
	"github.com/wardspool/wardspool/ident"
)

// explainCmd is the subcommand "explain".
type explainCmd struct {
	Request string `arg:"" help:"Request ID, as in the answer's X-Request-Id header."`
	queryFlags
	JSON bool `name:"json" help:"Print JSON in place of a table."`
}

// Help returns the text that "explain --help" adds.
func (explainCmd) Help() string {
	return `Asks running entry instances live why a request went where it did, why it
waited and why it was refused. Each line is one decision:

  wardspoolctl explain 01KB8Z... --instances 127.0.0.1:9301,127.0.0.1:9302

Instances keep the decisions of the latest requests only (explain_records in
their settings). Reasons are explained in docs/operators/reasons.md.
Exit codes: 0 found, 1 not found, 2 not found and some instance gave no answer.`
}

// Exit codes of explain.
const (
	exitNotFound    = 1
	exitUnreachable = 2
)

// Run queries the instances for the decisions on a request and prints them.
func (c *explainCmd) Run(ctx context.Context) error {
	pool, err := c.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	e := console.Explain(ctx, pool, c.Instances, ident.RequestID(c.Request))
	if err := printReport(&e, c.JSON); err != nil {
		return err
	}
	switch {
	case len(e.Found) > 0:
		return nil
	case len(e.Unreachable) > 0:
		return &exitCodeError{Code: exitUnreachable}
	default:
		return &exitCodeError{Code: exitNotFound}
	}
}
