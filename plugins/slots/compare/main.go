// Command compare measures the slot policies against each other in virtual time
// and writes the tables of docs/design/slots.md:
//
//	go run ./plugins/slots/compare -o docs/design/slots.md
//
// It is a bench: fake engines, no prefill contention, no transfers. The kernel's
// experiment repeats the comparison with the whole kernel.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// options are the command line.
type options struct {
	Seeds    int     `help:"Runs for each cell, seeds 1 to N." default:"5"`
	Output   string  `short:"o" help:"Markdown page whose marked part is replaced; standard output if empty."`
	Tables   string  `help:"Comma-separated tables to run: policies, lagos, faults, queue, renew, probe, size." default:"policies,lagos,faults,queue,renew,probe,size"`
	Workers  int     `help:"Runs at a time." default:"4"`
	Duration float64 `help:"Virtual seconds measured in each run." default:"120"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Compare the slot policies in virtual time."))
	if err := write(o); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

func write(o options) error {
	var text strings.Builder
	for _, name := range strings.Split(o.Tables, ",") {
		t, ok := tables[name]
		if !ok {
			return &UnknownTableError{Name: name}
		}
		t.write(&text, o)
	}
	if o.Output == "" {
		_, err := os.Stdout.WriteString(text.String())
		return err
	}
	return replaceMarked(o.Output, text.String())
}

// UnknownTableError reports a table that does not exist.
type UnknownTableError struct{ Name string }

// Error implements error.
func (e *UnknownTableError) Error() string { return fmt.Sprintf("no table %q", e.Name) }
