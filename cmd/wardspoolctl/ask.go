package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

// askFlags say which entry instances to ask, and as whom.
type askFlags struct {
	Instances []string `required:"" placeholder:"IP:PORT" help:"Operators' addresses of the entry instances to ask (operators.listen in their settings), separated by commas."`
	operatorFlags
	Timeout time.Duration `default:"3s" help:"How long to wait for answers."`
}

// askExit ends the program with a code after its output was printed.
type askExit struct{ Code int }

// Error implements error.
func (e *askExit) Error() string { return fmt.Sprintf("exit code %d", e.Code) }

// ExitCode tells kong the program's exit code.
func (e *askExit) ExitCode() int { return e.Code }

// answer is what the instances said, in a form for people.
type answer interface{ Write(w io.Writer) error }

// printAnswer prints tables or JSON.
func printAnswer(a answer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(a)
	}
	return a.Write(os.Stdout)
}
