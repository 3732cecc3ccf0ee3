package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/load/overhead"
	"github.com/wardspool/wardspool/report"
)

// run performs one measurement and prints its tables.
func (c *cli) run(ctx context.Context) error {
	f, err := startFleet(ctx, c)
	if err != nil {
		return err
	}
	defer f.close()
	before := loadAverage()
	used := make(chan resourceUsage, 1)
	go func() { used <- f.measureUsage(ctx) }()
	result := overhead.Run(ctx, c.options(f))
	table, err := result.Table()
	if err != nil {
		return oops.Wrap(err)
	}
	fmt.Printf("load average before %s, after %s\n", before, loadAverage())
	if err := table.WriteText(os.Stdout); err != nil {
		return oops.Wrap(err)
	}
	if err := table.SaveCSV(filepath.Join(c.Out, "overhead.csv")); err != nil {
		return oops.Wrap(err)
	}
	if err := c.usageTable(f, <-used, result).WriteText(os.Stdout); err != nil {
		return oops.Wrap(err)
	}
	return oops.Wrap(result.Err())
}

// options returns the load parameters of the run.
func (c *cli) options(f *fleet) overhead.Options {
	o := overhead.Options{
		Target: f.entry.Address, Prefill: f.prefill, Decode: f.decode,
		Model: model, Workspace: ident.Workspace("default"), Kind: kind,
		PromptTokens: c.Prompt, OutputTokens: c.Output,
		Streams: c.Streams, Direct: c.Direct, MaxPause: overhead.DefaultMaxPause,
		Warmup: c.Warmup, Duration: c.Duration, Seed: c.Seed,
		RunID: "rig-" + strconv.FormatInt(time.Now().UnixMilli(), 36),
	}
	if c.Saturate {
		o.MaxPause = 0
	}
	return o
}

// resourceUsage is the entry's resource use between two times of a run.
type resourceUsage struct {
	from, to time.Time
	cpu      time.Duration
	// runQueueWait is how long its threads were runnable without a processor.
	runQueueWait time.Duration
}

// measureMargin is the time after the warm-up and before the end that the
// measurement leaves out, so that it covers only the steady state.
const measureMargin = 500 * time.Millisecond

// measureUsage returns the entry's resource use over the measured time, which ends
// early when the context is done.
func (f *fleet) measureUsage(ctx context.Context) resourceUsage {
	pause.For(ctx, f.cli.Warmup+measureMargin)
	from, began, waited := time.Now(), f.processorTime(), f.runQueueWait()
	pause.For(ctx, f.cli.Duration-2*measureMargin)
	return resourceUsage{from: from, to: time.Now(), cpu: f.processorTime() - began, runQueueWait: f.runQueueWait() - waited}
}

// usageTable formats the entry's resource use.
func (c *cli) usageTable(f *fleet, s resourceUsage, r *overhead.Result) *report.Table {
	t := report.NewTable("requests_per_s", "entry_cores", "entry_ms_per_request", "entry_waited_share", "entry_rss_mb", "entry_peak_rss_mb")
	rate := float64(r.Wardspool.First.Count()) / c.Duration.Seconds()
	cores := s.cpu.Seconds() / s.to.Sub(s.from).Seconds()
	_ = t.Add(report.Fixed(rate, 1), report.Fixed(cores, 3), report.Fixed(1000*cores/rate, 3),
		report.Share(s.runQueueWait.Seconds(), s.runQueueWait.Seconds()+s.cpu.Seconds()),
		f.memory("VmRSS:"), f.memory("VmHWM:"))
	return t
}

// Indexes of the fields of /proc/PID/stat, counted after the program's name, and
// their unit.
const (
	statUser   = 11
	statSystem = 12
	clockTick  = 10 * time.Millisecond
)

// processorTime returns the entry's processor time so far, 0 if it cannot be read.
func (f *fleet) processorTime() time.Duration {
	text, err := os.ReadFile(f.procPath("stat"))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) <= statSystem {
		return 0
	}
	user, _ := strconv.Atoi(fields[statUser])
	system, _ := strconv.Atoi(fields[statSystem])
	return time.Duration(user+system) * clockTick
}

// runQueueWait returns how long the entry's threads have waited for a processor so
// far: the sum of the second field of each thread's schedstat, in nanoseconds. It
// shows how much of a delay is due to a lack of free processors on the machine.
func (f *fleet) runQueueWait() time.Duration {
	files, _ := filepath.Glob(f.procPath("task/*/schedstat"))
	var sum time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(text)); len(fields) > 1 {
			ns, _ := strconv.ParseInt(fields[1], 10, 64)
			sum += time.Duration(ns)
		}
	}
	return sum
}

// memory returns a field of /proc/PID/status in MB, empty if it cannot be read.
func (f *fleet) memory(name string) string {
	text, err := os.ReadFile(f.procPath("status"))
	if err != nil {
		return ""
	}
	_, after, _ := strings.Cut(string(text), name)
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return ""
	}
	kb, _ := strconv.Atoi(fields[0])
	return report.Fixed(float64(kb)/1024, 1)
}

func (f *fleet) procPath(file string) string {
	return filepath.Join("/proc", strconv.Itoa(f.entry.PID()), file)
}

// loadAverage returns the machine's load average over the last minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
