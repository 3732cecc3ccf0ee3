// Command rolltime measures how long a bundle version takes from its publication
// until it is in force on every entry instance. It runs a fleet of real processes on
// loopback, publishes and rolls out a number of versions and reads the times from
// the entries' logs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/testbed"
)

// flags holds the command-line flags.
type flags struct {
	Example    string        `default:"coastline" help:"Deployment to run."`
	Entries    int           `default:"8" help:"Entry instances in each of the three zones."`
	Rolls      int           `default:"10" help:"Versions to roll."`
	Every      time.Duration `default:"3s" help:"Time between two rolls."`
	Quiet      time.Duration `default:"5s" help:"Quiet time before the rolls, in which the processes' standing cost is measured."`
	Workspaces int           `help:"Workspaces that the bundle is filled up to, 0 for the example's own."`
	Bin        string        `default:"bin" help:"Folder of the built programs."`
	Out        string        `default:"out/rolltime" help:"Folder for settings and logs."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Measures how long a bundle takes to be in force everywhere."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, "rolltime:", err)
		os.Exit(1)
	}
}

// run starts the fleet, rolls out the versions and prints the times.
func run(ctx context.Context, f flags) error {
	fleet, err := startFleet(ctx, f)
	if fleet != nil {
		defer fleet.Close()
	}
	if err != nil {
		return err
	}
	idleStart, err := measureUsage(fleet)
	if err != nil {
		return err
	}
	if err := sleep(ctx, f.Quiet); err != nil {
		return err
	}
	rollsStart, err := measureUsage(fleet)
	if err != nil {
		return err
	}
	published, err := rollVersions(ctx, fleet, f)
	if err != nil {
		return err
	}
	rollsEnd, err := measureUsage(fleet)
	if err != nil {
		return err
	}
	printUsage(idleStart, rollsStart, rollsEnd, len(fleet.Instances), len(published))
	return printTimes(fleet, published)
}

// fillWorkspaces adds workspaces to a bundle's content until it has the given number.
func fillWorkspaces(c *config.Content, workspaces int) {
	for i := len(c.Workspaces); i < workspaces; i++ {
		c.Workspaces = append(c.Workspaces, config.Workspace{
			Name: ident.Workspace(fmt.Sprintf("filler-%04d", i)), Weight: 1, RatePerSecond: 20, Burst: 40, Concurrency: 100,
		})
	}
}

func startFleet(ctx context.Context, f flags) (*testbed.Fleet, error) {
	root, err := testbed.ModuleRoot()
	if err != nil {
		return nil, err
	}
	d, err := testbed.LoadDeployment(root, f.Example)
	if err != nil {
		return nil, err
	}
	fillWorkspaces(d.Content, f.Workspaces)
	dir, err := filepath.Abs(f.Out)
	if err != nil {
		return nil, err
	}
	if err := os.RemoveAll(dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	bin, err := filepath.Abs(f.Bin)
	if err != nil {
		return nil, err
	}
	return testbed.StartFleet(ctx, testbed.Options{
		Deployment:     d,
		Programs:       testbed.ProgramsIn(bin),
		Dir:            dir,
		EntriesPerZone: f.Entries,
	})
}
