// Command compare simulates the slot policies in virtual time under the same
// workloads and writes the resulting tables to docs/design/slots.md:
//
//	go run ./plugins/slots/compare -o docs/design/slots.md
//
// The model is simplified: engines are simulated, prefills and KV cache transfers
// are delays that do not slow each other down, and a simple client takes the place
// of the kernel. The kernel's experiment repeats the comparison with the whole
// kernel.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// options are the command-line options.
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

// write measures the selected tables and writes them to the page or to standard
// output.
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

// UnknownTableError reports a table name that does not exist.
type UnknownTableError struct{ Name string }

// Error implements error.
func (e *UnknownTableError) Error() string {
	return fmt.Sprintf("unknown table %q in --tables", e.Name)
}
