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

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/experiment"
	"github.com/wardspool/wardspool/load/referee"
	"github.com/wardspool/wardspool/load/runner"
	"github.com/wardspool/wardspool/report"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/testbed"
)

// Times of the runs over processes.
const (
	// downTime is how long what was killed stays away, as in the experiment.
	downTime = 8 * time.Second
	// quiesce is how long the engines may take to release everything.
	quiesce = 15 * time.Second
)

// processes runs one cell over real processes and returns its row.
func (b *bench) processes(ctx context.Context, cell experiment.Cell) ([]string, error) {
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
		Deployment: b.place, Programs: testbed.ProgramsIn(bin), Dir: dir,
		EntriesPerZone: b.PerZone,
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
	reports, err := referee.FetchQuiet(ctx, fleet.JudgeAddresses(), quiesce)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	return b.processRow(cell, records, referee.Judge(records, reports, true)), nil
}

// offer offers the cell's arrivals and brings its faults about.
func (b *bench) offer(ctx context.Context, fleet *testbed.Fleet, cell experiment.Cell) []runner.Record {
	var faults sync.WaitGroup
	defer faults.Wait()
	faults.Go(func() {
		if err := b.faults(ctx, fleet, cell); err != nil {
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

// UnknownFaultError reports a fault that is not repeated over processes.
type UnknownFaultError struct{ Fault string }

// Error implements error.
func (e *UnknownFaultError) Error() string { return "no such fault over processes: " + e.Fault }

// faults brings about the cell's faults at a third of its time.
func (b *bench) faults(ctx context.Context, fleet *testbed.Fleet, cell experiment.Cell) error {
	for _, f := range strings.Split(string(cell.Fault), "+") {
		if experiment.Fault(f) == experiment.FaultNone {
			continue
		}
		if !wait(ctx, cell.Duration/3) {
			return nil
		}
		if err := b.fault(ctx, fleet, experiment.Fault(f)); err != nil {
			return err
		}
	}
	return nil
}

// fault brings about one fault and its end.
func (b *bench) fault(ctx context.Context, fleet *testbed.Fleet, f experiment.Fault) error {
	switch f {
	case experiment.FaultDecodeKill:
		for _, u := range b.place.Content.Upstreams {
			if u.Role == config.RoleDecode {
				engine := control.Client{Address: fleet.Addresses[u.ID]}
				return engine.Crash(ctx, control.Crash{DownMS: downTime.Milliseconds()})
			}
		}
		return nil
	case experiment.FaultInstanceKill:
		victim := fleet.Instances[0]
		if err := fleet.KillInstance(victim); err != nil {
			return err
		}
		if !wait(ctx, downTime) {
			return nil
		}
		return fleet.StartInstance(victim)
	default:
		return &UnknownFaultError{Fault: string(f)}
	}
}

// wait returns false if the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// processRow shows what was measured over processes, model requests only.
func (b *bench) processRow(cell experiment.Cell, records []runner.Record, v *referee.Verdict) []string {
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
