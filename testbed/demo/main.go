// Command demo runs both example deployments as separate processes on loopback,
// sends them mixed traffic, kills an entry instance and a decode engine in the
// middle, and prints what happened and why. It exits with 1 when a promise was
// broken.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// flags are the command line.
type flags struct {
	Examples []string      `default:"coastline,lagos" help:"Deployments to run, one after the other."`
	Duration time.Duration `default:"12s" help:"How long traffic is offered to each."`
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

// run runs the deployments; it returns the first broken promise or failure.
func run(ctx context.Context, f flags) error {
	for _, name := range f.Examples {
		if err := runExample(ctx, f, name); err != nil {
			return err
		}
	}
	fmt.Println("\nNo promise was broken. Reports and logs are in " + f.Out + ".")
	return nil
}
