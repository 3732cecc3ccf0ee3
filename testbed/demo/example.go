package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/testbed"
)

// offeredRate is the load offered to each deployment, in requests per second: about
// 0.8 of the capacity of the examples' engines.
var offeredRate = map[string]string{"coastline": "20", "lagos": "17"}

// exampleRun holds the state of the run of one deployment.
type exampleRun struct {
	flags flags
	name  string
	dir   string
	fleet *testbed.Fleet
	err   error
	// report is printed when all deployments are done.
	report strings.Builder
}

// run starts the deployment, offers traffic to it and checks the result.
func (r *exampleRun) run(ctx context.Context) error {
	root, err := testbed.ModuleRoot()
	if err != nil {
		return err
	}
	d, err := testbed.LoadDeployment(root, r.name)
	if err != nil {
		return err
	}
	if r.dir, err = recreateDir(r.flags.Out, r.name); err != nil {
		return err
	}
	bin, err := filepath.Abs(r.flags.Bin)
	if err != nil {
		return err
	}
	r.fleet, err = testbed.StartFleet(ctx, testbed.Options{
		Deployment:     d,
		Programs:       testbed.ProgramsIn(bin),
		Dir:            r.dir,
		EntriesPerZone: 2,
		Static:         r.flags.Static,
	})
	defer r.fleet.Close()
	if err != nil {
		return err
	}
	r.logProgress("%d zones, %d upstreams, %d entry instances are ready", len(d.Zones), len(d.Content.Upstreams), len(r.fleet.Instances))
	return r.offerAndReport(ctx)
}

// offerAndReport generates the traffic, injects the faults and writes the report.
func (r *exampleRun) offerAndReport(ctx context.Context) error {
	var faults sync.WaitGroup
	if !r.flags.NoFaults {
		faults.Go(func() { r.faults(ctx) })
	}
	table, loadErr := r.offer(ctx)
	faults.Wait()
	fmt.Fprintf(&r.report, "\n=== %s\n%s\n", r.name, table)
	if err := r.explain(ctx); err != nil {
		return err
	}
	if loadErr != nil {
		return &GuaranteeError{Deployment: r.name, Err: loadErr}
	}
	return r.checkCompletion()
}

func recreateDir(out, name string) (string, error) {
	dir, err := filepath.Abs(filepath.Join(out, name))
	if err != nil {
		return "", err
	}
	if err := os.RemoveAll(dir); err != nil {
		return "", err
	}
	return dir, os.MkdirAll(dir, 0o755)
}

// faults kills an instance and crashes a decode engine during the traffic, and
// restarts the instance. The engine restarts by itself.
func (r *exampleRun) faults(ctx context.Context) {
	victim := r.fleet.Instances[len(r.fleet.Instances)-1]
	engine := firstDecodeEngine(r.fleet.Deployment.Content)
	if !pause.For(ctx, r.flags.Duration/3) {
		return
	}
	r.logProgress("killing instance %s", victim.ID)
	r.logError(r.fleet.KillInstance(victim))
	if !pause.For(ctx, r.flags.Duration/6) {
		return
	}
	r.logProgress("crashing decode engine %s", engine)
	r.logError(control.Client{Address: r.fleet.Addresses[engine]}.Crash(ctx, control.Crash{}))
	if !pause.For(ctx, r.flags.Duration/6) {
		return
	}
	r.logProgress("starting instance %s again", victim.ID)
	r.logError(r.fleet.StartInstance(victim))
}

// logProgress prints a progress message immediately.
func (r *exampleRun) logProgress(format string, args ...any) {
	fmt.Printf("%-10s %s\n", r.name, fmt.Sprintf(format, args...))
}

func (r *exampleRun) logError(err error) {
	if err != nil {
		r.logProgress("%v", err)
	}
}

func firstDecodeEngine(c *config.Content) ident.UpstreamID {
	for _, u := range c.Upstreams {
		if u.Role == config.RoleDecode {
			return u.ID
		}
	}
	return ""
}

// offer runs the load tool, which also judges the results, and returns its table.
func (r *exampleRun) offer(ctx context.Context) (string, error) {
	r.logProgress("offering %s requests/s for %s", offeredRate[r.name], r.flags.Duration)
	cmd := exec.CommandContext(ctx, filepath.Join(r.flags.Bin, "wardspool-load"), "run",
		"--workload", r.fleet.Deployment.Workload,
		"--targets", strings.Join(r.fleet.CallerAddresses(), ","),
		"--rate", offeredRate[r.name],
		"--duration", r.flags.Duration.String(),
		"--judge", strings.Join(r.fleet.UpstreamAddresses(), ","),
		"--out", r.dir)
	var table, progress bytes.Buffer
	cmd.Stdout, cmd.Stderr = &table, &progress
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err := cmd.Run()
	return table.String(), err
}
