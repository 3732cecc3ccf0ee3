// Command capacity measures the control-plane overhead per instance. It runs fleets
// of several sizes: the agents as separate processes on loopback, with stand-ins for
// the platform, the engines and the entries in this process. It then fits a line
// through the measurements. docs/CAPACITY.md is written from its table.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// options are the command line options.
type options struct {
	Agents     []int         `default:"3,12,24,48" help:"Numbers of agents to run, one after the other."`
	Simulated  int           `help:"Further instances that are played in this process, so that the agents meet a larger fleet."`
	Zones      int           `default:"3" help:"Availability zones over which they are spread."`
	Duration   time.Duration `default:"20s" help:"How long each size is measured."`
	Warmup     time.Duration `default:"8s" help:"How long each size runs before."`
	Changes    int           `default:"3" help:"Bundle versions rolled at each size after that."`
	Workspaces int           `default:"3400" help:"Workspaces in the bundle."`
	Declared   int           `default:"600" help:"Upstreams declared in the bundle, running or not."`
	Agent      string        `default:"bin/wardspool-agent" help:"The agent's binary."`
	Log        string        `default:"info" help:"Log level of the agents."`
	Keep       bool          `help:"Keep the folder with settings and logs in the system's folder for temporary files."`
	Out        string        `default:"out/capacity.csv" help:"File for the table, as comma-separated values."`
}

// description is the first part of the help text.
const description = `Measures the cost of control per instance: processor time, memory, bytes and
platform calls at several numbers of agents, and the slopes between them.

  scripts/capacity                       3, 12, 24 and 48 agents in 3 zones
  scripts/capacity --agents 48 --zones 1 one large zone
  scripts/capacity --agents 6 --simulated 404 --zones 6 --changes 0
                                         agents in a fleet of full size`

func main() {
	var o options
	kong.Parse(&o, kong.Name("capacity"), kong.Description(description), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run measures every fleet size, prints the tables and saves the CSV file.
func run(ctx context.Context, o *options) error {
	if o.Simulated > 0 {
		// Simulated instances do not propagate changes.
		o.Changes = 0
	}
	var rows []row
	for _, n := range o.Agents {
		r, err := measure(ctx, o, n)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%d agents: cpu %.2f%%, rss %.1f MB, %.0f B/s\n", n, r.cpuMean, r.rssMax, r.bytes())
		rows = append(rows, r)
	}
	t, err := table(rows)
	if err != nil {
		return err
	}
	if err := t.WriteMarkdown(os.Stdout); err != nil {
		return err
	}
	if err := t.SaveCSV(filepath.FromSlash(o.Out)); err != nil {
		return err
	}
	if len(rows) < 2 {
		return nil
	}
	fmt.Println()
	f, err := fits(rows)
	if err != nil {
		return err
	}
	return f.WriteMarkdown(os.Stdout)
}
