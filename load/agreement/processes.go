package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/experiment"
	"github.com/wardspool/wardspool/load/referee"
	"github.com/wardspool/wardspool/load/runner"
	"github.com/wardspool/wardspool/report"
	"github.com/wardspool/wardspool/testbed"
)

// releaseTimeout bounds the wait for the engines to release all resources.
const releaseTimeout = 15 * time.Second

// runProcesses runs one cell over real processes and returns its row.
func (b *comparison) runProcesses(ctx context.Context, cell experiment.Cell) ([]string, error) {
	name := fmt.Sprintf("agreement-%.1f-%s", cell.Load, cell.Fault)
	dir, err := filepath.Abs(filepath.Join(b.Out, name))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, oops.Wrap(err)
	}
	bin, err := filepath.Abs(b.Bin)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	fleet, err := testbed.StartFleet(ctx, testbed.Options{
		Deployment: b.example, Programs: testbed.ProgramsIn(bin), Dir: dir,
		EntriesPerZone: b.PerZone,
		Relays:         strings.Contains(string(cell.Fault), string(experiment.FaultZoneCut)),
	})
	if err != nil {
		fleet.Close()
		return nil, oops.Wrap(err)
	}
	defer fleet.Close()
	records := b.offer(ctx, fleet, cell)
	if err := runner.SaveRecords(filepath.Join(dir, "requests.json"), records); err != nil {
		return nil, oops.Wrap(err)
	}
	reports, err := referee.FetchIdle(ctx, fleet.UpstreamAddresses(), releaseTimeout)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	return b.processesRow(cell, records, referee.Judge(records, reports, true)), nil
}

// offer generates the cell's arrivals and injects its faults meanwhile.
func (b *comparison) offer(ctx context.Context, fleet *testbed.Fleet, cell experiment.Cell) []runner.Record {
	var faults sync.WaitGroup
	defer faults.Wait()
	faults.Go(func() {
		if err := b.injectFaults(ctx, fleet, cell); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
	return runner.Run(ctx, runner.Options{
		Spec: b.deployment.Spec, Targets: fleet.CallerAddresses(),
		Rate: b.deployment.Capacity().Requests * cell.Load, Duration: cell.Duration,
		Seed: cell.Seed, Tickets: true,
		RunID: "agree-" + strconv.FormatInt(time.Now().UnixMilli(), 36),
	})
}

// processesRow formats the result over processes, for model requests only.
func (b *comparison) processesRow(cell experiment.Cell, records []runner.Record, v *referee.Verdict) []string {
	var models []runner.Record
	for _, r := range records {
		if r.Model {
			models = append(models, r)
		}
	}
	list := runner.Summarize(b.deployment.Spec, models)
	s := list[len(list)-1]
	offered := float64(s.Offered)
	return []string{
		report.Fixed(cell.Load, 1), string(cell.Fault), "processes", strconv.Itoa(s.Offered),
		report.Share(float64(s.Good), offered),
		report.Share(float64(s.Refused), offered),
		report.Share(float64(s.Unknown), offered),
		report.Fixed(v.WastedShare(), shareDecimals),
		report.Millis(s.First.Quantile(95)), report.Millis(s.Pace.Quantile(95)),
		strconv.Itoa(len(v.Duplicates)), strconv.Itoa(v.Leaked.Attempts),
		strconv.Itoa(len(v.FalseNotRun) + len(v.NeverRan) + len(v.Wrong)),
	}
}
