// Command agreement runs selected cells of the experiment twice with the same
// arrivals, once in virtual time and once over real processes on loopback, and
// prints both results in one table.
//
//	make build && go run ./load/agreement --bin bin --out out
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/samber/oops"

	"github.com/wardspool/wardspool/experiment"
	"github.com/wardspool/wardspool/load/workload"
	_ "github.com/wardspool/wardspool/plugins/standard"
	"github.com/wardspool/wardspool/report"
	"github.com/wardspool/wardspool/testbed"
)

// cli holds the command-line flags.
type cli struct {
	Bin      string             `help:"Directory of the programs." default:"bin"`
	Out      string             `help:"Directory of the CSV and of the processes' logs." default:"out"`
	Example  string             `help:"Deployment." default:"coastline"`
	PerZone  int                `help:"Entry instances in each zone." default:"2"`
	Load     []float64          `help:"Loads, as shares of capacity." default:"0.8,1.0"`
	Fault    []experiment.Fault `help:"Faults: none, decode_kill, prefill_kill, transfer_stall, instance_kill, instance_freeze, zone_cut." default:"none,decode_kill,instance_kill"`
	Duration time.Duration      `help:"How long requests are offered in each cell." default:"60s"`
	Seed     uint64             `help:"Seed of the arrivals." default:"1"`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Description("Repeats cells of the experiment over real processes."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run executes all cells and prints the table.
func (c *cli) run(ctx context.Context) error {
	root, err := testbed.ModuleRoot()
	if err != nil {
		return oops.Wrap(err)
	}
	place, err := testbed.LoadDeployment(root, c.Example)
	if err != nil {
		return oops.Wrap(err)
	}
	source, err := os.ReadFile(filepath.Join(root, "examples", c.Example, "workload.yaml"))
	if err != nil {
		return oops.Wrap(err)
	}
	spec, err := workload.Parse(source)
	if err != nil {
		return oops.Wrap(err)
	}
	d, err := experiment.NewDeployment(place.Content, spec)
	if err != nil {
		return oops.Wrap(err)
	}
	b := comparison{cli: c, example: place, deployment: d, table: newTable()}
	// Rows measured before a failure are printed and saved as well.
	runErr := b.runCells(ctx)
	if err := b.table.WriteText(os.Stdout); err != nil {
		return oops.Wrap(err)
	}
	if err := b.table.SaveCSV(filepath.Join(c.Out, "agreement.csv")); err != nil {
		return oops.Wrap(err)
	}
	return runErr
}

// comparison holds the state of one run of the command.
type comparison struct {
	*cli
	example    *testbed.Deployment
	deployment *experiment.Deployment
	table      *report.Table
}

// runCells runs each cell in virtual time and over processes.
func (b *comparison) runCells(ctx context.Context) error {
	for _, load := range b.Load {
		for _, f := range b.Fault {
			cell := experiment.NewCell(b.deployment, experiment.PolicyCurrent, load, f, b.Seed)
			cell.Instances = b.PerZone * len(b.example.Zones)
			cell.Warmup, cell.Duration = 0, b.Duration
			fmt.Fprintf(os.Stderr, "load %.1f, fault %s\n", load, f)
			if err := b.runCell(ctx, cell); err != nil {
				return err
			}
		}
	}
	return nil
}

// runCell runs one cell in virtual time and over processes and adds both rows.
func (b *comparison) runCell(ctx context.Context, cell experiment.Cell) error {
	virtual, err := experiment.Run(cell, b.deployment)
	if err != nil {
		return oops.Wrap(err)
	}
	if err := b.table.Add(virtualRow(virtual)...); err != nil {
		return oops.Wrap(err)
	}
	row, err := b.runProcesses(ctx, cell)
	if err != nil {
		return err
	}
	return oops.Wrap(b.table.Add(row...))
}

// shareDecimals is the number of decimals of shares in the table.
const shareDecimals = 4

func newTable() *report.Table {
	return report.NewTable("load", "fault", "run", "offered", "goodput_share", "refused_share", "unknown_share",
		"wasted_prefill_share", "first_output_p95_ms", "pace_p95_ms", "duplicates", "leaked", "other_broken")
}

// virtualRow formats the experiment's result. Its goodput is measured from the
// first attempt to send a request, as the load generator's is.
func virtualRow(r *experiment.Result) []string {
	m, offered := r.Models, float64(r.Models.Offered)
	others := -r.Duplicates() - r.Leaks()
	for _, n := range r.ViolationCounts {
		others += n
	}
	return []string{
		report.Fixed(r.Cell.Load, 1), string(r.Cell.Fault), "experiment", strconv.Itoa(m.Offered),
		report.Share(float64(m.Good), offered),
		report.Share(float64(m.Refused), offered),
		report.Share(float64(m.Unknown), offered),
		report.Share(float64(r.PromptWasted), float64(r.PromptComputed)),
		report.Millis(r.FirstOutputP95), report.Millis(r.PaceP95),
		strconv.Itoa(r.Duplicates()), strconv.Itoa(r.Leaks()), strconv.Itoa(others),
	}
}
