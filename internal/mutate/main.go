// Command mutate is a mutation test of the project's safeguards: it removes them
// one at a time and checks that a test then fails. It works on copies of the
// module in temporary directories and prints one table row for each mutation.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/alecthomas/kong"
)

// flags are the command line flags.
type flags struct {
	File    string `default:"internal/mutate/mutations.yaml" help:"List of mutations."`
	Only    string `help:"Run only mutations whose name contains this text."`
	Part    int    `default:"1" help:"Run only this one of the --parts."`
	Parts   int    `default:"1" help:"Parts of the list, for machines on which all take too long."`
	Workers int    `default:"3" help:"Mutations tested at once, each on its own copy."`
	Write   string `placeholder:"FILE" help:"Also write the table to this Markdown file."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Takes each safeguard out and checks that a test fails."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(1)
	}
}

// run tests all selected mutations and returns an error if one survived.
func run(ctx context.Context, f flags) error {
	all, err := loadMutations(f.File)
	if err != nil {
		return err
	}
	selected := part(selectMutations(all, f.Only), f.Part, f.Parts)
	results, err := testAll(ctx, selected, f.Workers)
	if err != nil {
		return err
	}
	table := markdown(results)
	fmt.Print(table)
	if f.Write != "" {
		if err := os.WriteFile(filepath.Clean(f.Write), []byte(pageHeader+table), 0o644); err != nil {
			return &FileError{Path: f.Write, Err: err}
		}
	}
	return survivors(results)
}
