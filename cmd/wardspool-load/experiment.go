package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/experiment"
	"github.com/wardspool/wardspool/load/workload"
	"github.com/wardspool/wardspool/report"
)

// experimentCmd is the subcommand "experiment". It runs the full matrix of cells,
// a quick subset of it, or the cells that the flags select.
type experimentCmd struct {
	Out      string   `help:"Directory of the CSV files and plots." default:"out"`
	Examples string   `help:"Directory of the deployments: a folder each with bundle.yaml and workload.yaml." default:"examples"`
	Seeds    int      `help:"Number of seeds." default:"3"`
	Workers  int      `help:"Cells that run at the same time." default:"6"`
	Quick    bool     `help:"One seed, loads 0.8, 1.0 and 1.5, no faults, nothing written."`
	Only     []string `help:"Deployments to run." default:"coastline,lagos"`

	Policy    []string      `help:"Run these policies only: naive, current, ideal, v1, slots.lease and so on." placeholder:"NAME"`
	Load      []float64     `help:"Run these loads only, as shares of capacity." placeholder:"SHARE"`
	Fault     []string      `help:"Run these faults only; none is no fault." placeholder:"NAME"`
	Seed      uint64        `help:"First seed." default:"1"`
	Length    time.Duration `help:"Measured time of each cell, in virtual time." placeholder:"DURATION"`
	Warmup    time.Duration `help:"Time before the measured one, in virtual time." default:"10s"`
	LoadLag   time.Duration `help:"Age of load reports on arrival." default:"500ms" name:"load-lag"`
	Jitter    time.Duration `help:"Most that is added to a message's delay, at random." placeholder:"DURATION"`
	Instances int           `help:"Number of entry instances, with --policy, --load or --fault." default:"8" name:"instances"`
	Budget    time.Duration `help:"Begin no more cells after this time; what is left out is said." default:"9m30s"`
	Trace     string        `help:"Write every event and action of the only cell chosen to this file." placeholder:"FILE"`
}

// Run implements the subcommand.
func (c *experimentCmd) Run(ctx context.Context) error {
	deployments, err := c.deployments()
	if err != nil {
		return err
	}
	cells := c.cells(deployments)
	if c.Trace != "" {
		return c.trace(cells, deployments)
	}
	printCapacity(deployments)
	fmt.Printf("%d cells, %d at a time\n", len(cells), c.Workers)
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Budget)
	defer cancel()
	results, err := experiment.RunAll(ctx, cells, deployments, c.Workers, func(done int, r *experiment.Result) {
		c.progress(done, len(cells), started, r)
	})
	if err != nil {
		return oops.In("experiment").Wrap(err)
	}
	fmt.Printf("%d cells in %s\n\n", len(results), time.Since(started).Round(time.Second/10))
	if err := c.write(results); err != nil {
		return err
	}
	if len(results) < len(cells) {
		return &PartialError{Ran: len(results), Cells: len(cells)}
	}
	return nil
}

// PartialError reports that the time budget was used up before all cells had run.
// The results of the cells that ran are written.
type PartialError struct{ Ran, Cells int }

// Error implements error.
func (e *PartialError) Error() string {
	return fmt.Sprintf("partial: %d of %d cells ran before the time was up", e.Ran, e.Cells)
}

// deployments loads the deployments that --only names.
func (c *experimentCmd) deployments() ([]*experiment.Deployment, error) {
	var list []*experiment.Deployment
	for _, name := range c.Only {
		d, err := loadDeployment(filepath.Join(c.Examples, name))
		if err != nil {
			return nil, err
		}
		list = append(list, d)
	}
	return list, nil
}

// loadDeployment reads a deployment from its directory.
func loadDeployment(dir string) (*experiment.Deployment, error) {
	path := filepath.Join(dir, "bundle.yaml")
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("experiment").Wrap(err)
	}
	content, findings := bundle.ParseSource(path, source)
	if len(findings) > 0 {
		return nil, oops.In("experiment").Wrap(findings.Err())
	}
	path = filepath.Join(dir, "workload.yaml")
	spec, err := loadWorkload(path)
	if err != nil {
		return nil, err
	}
	d, err := experiment.NewDeployment(content, spec)
	return d, oops.In("experiment").Wrap(err)
}

// loadWorkload reads a workload file.
func loadWorkload(path string) (*workload.Spec, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("workload").Wrap(err)
	}
	spec, err := workload.Parse(source)
	return spec, oops.In("workload").With("file", path).Wrap(err)
}

// cells returns the cells to run.
func (c *experimentCmd) cells(deployments []*experiment.Deployment) []experiment.Cell {
	chosen := len(c.Policy)+len(c.Load)+len(c.Fault) > 0
	var cells []experiment.Cell
	switch {
	case chosen:
		cells = c.selectedCells(deployments)
	case c.Quick:
		cells = experiment.QuickCells(deployments)
	default:
		cells = experiment.FullCells(deployments, c.Seeds)
	}
	for i := range cells {
		cells[i].Warmup = c.Warmup
		cells[i].Jitter = c.Jitter
		cells[i].LoadLag = c.LoadLag
		if c.Length > 0 {
			cells[i].Duration = c.Length
		}
	}
	return cells
}

// selectedCells returns a cell for each combination of the values that the flags
// select.
func (c *experimentCmd) selectedCells(deployments []*experiment.Deployment) []experiment.Cell {
	policies := orDefault(c.Policy, []string{string(experiment.PolicyCurrent)})
	loads := orDefault(c.Load, []float64{1.0})
	faults := orDefault(c.Fault, []string{string(experiment.FaultNone)})
	var cells []experiment.Cell
	for _, d := range deployments {
		for _, p := range policies {
			for _, load := range loads {
				for _, f := range faults {
					for n := range c.Seeds {
						cell := experiment.NewCell(d, experiment.PolicyName(p), load, experiment.Fault(f), c.Seed+uint64(n))
						cell.Instances = c.Instances
						cells = append(cells, cell)
					}
				}
			}
		}
	}
	return cells
}

// orDefault returns list, or otherwise if list is empty.
func orDefault[T any](list, otherwise []T) []T {
	if len(list) == 0 {
		return otherwise
	}
	return list
}

// printCapacity prints the capacity of each deployment and the bounds that it is
// derived from.
func printCapacity(deployments []*experiment.Deployment) {
	for _, d := range deployments {
		k := d.Capacity()
		fmt.Printf("%s: capacity %.1f requests/s, of these %.0f%% model requests;"+
			" bounds in model requests/s: prefill %.1f, decode %.1f (batch %.1f), link %.1f\n",
			d.Name, k.Requests, k.ModelShare*100, k.Prefill, k.Decode, k.Batch, k.Link)
	}
}

// progressEvery is the number of cells from one progress line to the next.
const progressEvery = 25

// progress prints the violations of a cell, and a progress line every
// progressEvery cells. Those of the naive policy are left out: it retries requests
// that may have run, so it is expected to violate the guarantees.
func (c *experimentCmd) progress(done, total int, started time.Time, r *experiment.Result) {
	if len(r.Violations) > 0 && r.Cell.Policy != experiment.PolicyNaive {
		fmt.Printf("broken: %s %s load %.1f fault %s seed %d instances %d: %v; first: %s\n",
			r.Cell.Deployment, r.Cell.Policy, r.Cell.Load, r.Cell.Fault, r.Cell.Seed,
			r.Cell.Instances, r.ViolationCounts, r.Violations[0])
	}
	if done%progressEvery == 0 || done == total {
		fmt.Printf("%4d of %d cells, %s\n", done, total, time.Since(started).Round(time.Second))
	}
}

// trace runs the first cell and writes its trace to a file.
func (c *experimentCmd) trace(cells []experiment.Cell, deployments []*experiment.Deployment) error {
	f, err := os.Create(c.Trace)
	if err != nil {
		return oops.In("experiment").Wrap(err)
	}
	defer func() { _ = f.Close() }()
	cell := cells[0]
	for _, d := range deployments {
		if d.Name != cell.Deployment {
			continue
		}
		r, err := experiment.RunTraced(cell, d, func(line string) { _, _ = fmt.Fprintln(f, line) })
		if err != nil {
			return oops.In("experiment").Wrap(err)
		}
		for _, v := range r.Violations {
			fmt.Println(v)
		}
		return c.print([]*experiment.Result{r})
	}
	return nil
}

// print writes the table of means to standard output; with --quick, it has
// further columns.
func (c *experimentCmd) print(results []*experiment.Result) error {
	list := experiment.Summarize(results)
	table, err := experiment.Table(list)
	if err != nil {
		return oops.In("experiment").Wrap(err)
	}
	if !c.Quick {
		return table.WriteText(os.Stdout)
	}
	table.Header = append(table.Header, "goodput_resent", "decode_busy", "prefill_busy")
	for i, s := range list {
		for _, v := range []experiment.Spread{s.GoodputResent, s.DecodeBusy, s.PrefillBusy} {
			table.Rows[i] = append(table.Rows[i], report.Fixed(v.Mean, 4))
		}
	}
	return table.WriteText(os.Stdout)
}

// write prints the table and, without --quick, writes the CSV files, the plots and
// the digest.
func (c *experimentCmd) write(results []*experiment.Result) error {
	if err := c.print(results); err != nil || c.Quick {
		return err
	}
	list := experiment.Summarize(results)
	surges := experiment.SurgeTimelines(results)
	tables := map[string]func() (*report.Table, error){
		"experiment.csv":        func() (*report.Table, error) { return experiment.Table(list) },
		"experiment-spread.csv": func() (*report.Table, error) { return experiment.SpreadTable(list) },
		"experiment-kinds.csv":  func() (*report.Table, error) { return experiment.KindTable(results) },
		"experiment-surge.csv":  func() (*report.Table, error) { return experiment.SurgeTable(surges) },
	}
	for name, make := range tables {
		table, err := make()
		if err != nil {
			return oops.In("experiment").Wrap(err)
		}
		if err := table.SaveCSV(filepath.Join(c.Out, name)); err != nil {
			return oops.In("experiment").Wrap(err)
		}
	}
	if err := c.writeDigest(list, surges); err != nil {
		return err
	}
	return experiment.SavePlots(filepath.Join(c.Out, "experiment"), list, surges)
}

// writeDigest writes the Markdown tables for docs/measurements.md.
func (c *experimentCmd) writeDigest(list []*experiment.Summary, surges []*experiment.Timeline) error {
	f, err := os.Create(filepath.Join(c.Out, "experiment.md"))
	if err != nil {
		return oops.In("experiment").Wrap(err)
	}
	if err := experiment.WriteDigest(f, list, surges); err != nil {
		_ = f.Close()
		return oops.In("experiment").Wrap(err)
	}
	return oops.In("experiment").Wrap(f.Close())
}
