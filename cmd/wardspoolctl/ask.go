package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

// queryFlags are the flags of commands that query entry instances.
type queryFlags struct {
	Instances []string `required:"" placeholder:"IP:PORT" help:"Operators' addresses of the entry instances to ask (operators.listen in their settings), separated by commas."`
	operatorFlags
	Timeout time.Duration `default:"3s" help:"How long to wait for answers."`
}

// exitCodeError makes the program exit with Code without printing an error, as the
// output was printed already.
type exitCodeError struct{ Code int }

// Error implements error.
func (e *exitCodeError) Error() string { return fmt.Sprintf("exit code %d", e.Code) }

// ExitCode implements kong.ExitCoder.
func (e *exitCodeError) ExitCode() int { return e.Code }

// report is the combined result of a query, which can be written as tables.
type report interface{ Write(w io.Writer) error }

// printReport writes a report to standard output, as tables or as JSON.
func printReport(r report, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	return r.Write(os.Stdout)
}
