package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/load/referee"
	"github.com/wardspool/wardspool/load/runner"
)

// runCmd is the subcommand "run". It sends a workload over HTTP and checks the
// answers.
type runCmd struct {
	Workload string        `help:"Workload file." required:"" placeholder:"FILE"`
	Targets  []string      `help:"Addresses of the entry instances." required:"" placeholder:"IP:PORT"`
	Rate     float64       `help:"Requests a second, all kinds together." required:""`
	Duration time.Duration `help:"How long requests are offered." default:"30s"`
	Seed     uint64        `help:"Seed of the arrivals." default:"1"`
	Out      string        `help:"Directory of the CSV, JSON and plots." default:"out"`
	Tickets  bool          `help:"Take a ticket for each call that is not repeatable." default:"true" negatable:""`
	Judge    []string      `help:"Addresses of the stand-ins to judge by." placeholder:"IP:PORT"`
	Quiesce  time.Duration `help:"How long the engines may take to release everything after the last answer." default:"10s"`
}

// GuaranteeError reports violated guarantees: the reports of the stand-ins
// contradict the outcomes that callers were told, or an answer was wrong.
type GuaranteeError struct{ Verdict *referee.Verdict }

// Error implements error.
func (e *GuaranteeError) Error() string {
	v := e.Verdict
	return fmt.Sprintf("guarantees violated: %d duplicates, %d false not-run, %d never ran, %d wrong answers, %d attempts leaked",
		len(v.Duplicates), len(v.FalseNotRun), len(v.NeverRan), len(v.Wrong), v.Leaked.Attempts)
}

// Run implements the subcommand.
func (c *runCmd) Run(ctx context.Context) error {
	spec, err := loadWorkload(c.Workload)
	if err != nil {
		return err
	}
	records := runner.Run(ctx, runner.Options{
		Spec: spec, Targets: c.Targets, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed,
		RunID:   "load-" + strconv.FormatInt(time.Now().UnixMilli(), 36),
		Tickets: c.Tickets,
		Progress: func(started, done int) {
			fmt.Fprintf(os.Stderr, "%d requests started, %d ended\n", started, done)
		},
	})
	table, err := runner.Table(runner.Summarize(spec, records), c.Duration)
	if err != nil {
		return oops.In("load").Wrap(err)
	}
	if err := table.WriteText(os.Stdout); err != nil {
		return oops.In("load").Wrap(err)
	}
	if err := table.SaveCSV(filepath.Join(c.Out, "load.csv")); err != nil {
		return oops.In("load").Wrap(err)
	}
	if err := runner.SaveRecords(filepath.Join(c.Out, "requests.json"), records); err != nil {
		return oops.In("load").Wrap(err)
	}
	if err := runner.SavePlot(filepath.Join(c.Out, "load"), spec, records, c.Duration); err != nil {
		return oops.In("load").Wrap(err)
	}
	return c.judge(records)
}

// judge checks the records against the reports of the stand-ins.
func (c *runCmd) judge(records []runner.Record) error {
	// The command's context is not used, so that an interrupted run is checked too.
	ctx, cancel := context.WithTimeout(context.Background(), c.Quiesce+time.Minute)
	defer cancel()
	reports, err := referee.FetchIdle(ctx, c.Judge, c.Quiesce)
	if err != nil {
		return oops.In("judge").Wrap(err)
	}
	v := referee.Judge(records, reports, len(c.Judge) > 0)
	fmt.Printf("\nduplicates %d, false not-run %d, never ran %d, wrong answers %d, leaked %d attempts (%d pieces), wasted prefill %.4f of %d tokens\n",
		len(v.Duplicates), len(v.FalseNotRun), len(v.NeverRan), len(v.Wrong),
		v.Leaked.Attempts, v.Leaked.Pieces, v.WastedShare(), v.PromptComputed)
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return oops.In("judge").Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(c.Out, "verdict.json"), append(data, '\n'), 0o644); err != nil {
		return oops.In("judge").Wrap(err)
	}
	if v.Violated() {
		return &GuaranteeError{Verdict: v}
	}
	return nil
}
