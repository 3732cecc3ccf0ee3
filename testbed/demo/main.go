// Command demo runs both example deployments as separate processes on loopback,
// sends them mixed traffic, kills an entry instance and a decode engine meanwhile,
// and prints the results with explanations of single requests. It exits with 1 when
// a guarantee was violated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// flags holds the command-line flags.
type flags struct {
	Examples []string      `default:"coastline,lagos" help:"Deployments to run, side by side."`
	Duration time.Duration `default:"12s" help:"How long traffic is offered to each."`
	Limit    time.Duration `default:"55s" help:"When to give up."`
	Bin      string        `default:"bin" help:"Folder of the built programs."`
	Out      string        `default:"out/demo" help:"Folder for settings, logs and reports."`
	Static   bool          `help:"Run the entries on fixed settings, without agents and platform."`
	NoFaults bool          `help:"Kill nothing."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Runs the system with stand-ins and says what happened and why."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// run runs the deployments concurrently and prints their reports in order. It
// returns the first violated guarantee or other error.
func run(ctx context.Context, f flags) error {
	ctx, cancel := context.WithTimeout(ctx, f.Limit)
	defer cancel()
	runs := make([]*exampleRun, len(f.Examples))
	var wait sync.WaitGroup
	for i, name := range f.Examples {
		runs[i] = &exampleRun{flags: f, name: name}
		wait.Go(func() { runs[i].err = runs[i].run(ctx) })
	}
	wait.Wait()
	var first error
	for _, r := range runs {
		fmt.Print(r.report.String())
		if r.err != nil && first == nil {
			first = r.err
		}
	}
	if first != nil {
		return first
	}
	fmt.Printf("\nNo promise was broken. Settings, logs, decisions and plots are in %s.\n", f.Out)
	return nil
}
