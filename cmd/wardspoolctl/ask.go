package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

// askFlags are the flags of commands that query entry instances.
type askFlags struct {
	Instances []string `required:"" placeholder:"IP:PORT" help:"Operators' addresses of the entry instances to ask (operators.listen in their settings), separated by commas."`
	operatorFlags
	Timeout time.Duration `default:"3s" help:"How long to wait for answers."`
}

// askExit makes the program exit with Code without printing an error: the output
// was printed already.
type askExit struct{ Code int }

// Error implements error.
func (e *askExit) Error() string { return fmt.Sprintf("exit code %d", e.Code) }

// ExitCode implements kong.ExitCoder.
func (e *askExit) ExitCode() int { return e.Code }

// answer is the combined result of a query, which can be written as tables.
type answer interface{ Write(w io.Writer) error }

// printAnswer writes an answer to standard output, as tables or as JSON.
func printAnswer(a answer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(a)
	}
	return a.Write(os.Stdout)
}
