package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/testbed"
)

// offeredRate is the requests a second offered to a deployment: about 0.8 of
// what the examples' engines can carry.
var offeredRate = map[string]string{"coastline": "20", "lagos": "17"}

// runExample runs one deployment.
func runExample(ctx context.Context, f flags, name string) error {
	root, err := testbed.ModuleRoot()
	if err != nil {
		return err
	}
	d, err := testbed.LoadDeployment(root, name)
	if err != nil {
		return err
	}
	dir, err := freshDir(f.Out, name)
	if err != nil {
		return err
	}
	bin, err := filepath.Abs(f.Bin)
	if err != nil {
		return err
	}
	fmt.Printf("\n=== %s: %d zones, %d upstreams, %d entry instances\n", name, len(d.Zones), len(d.Content.Upstreams), 2*len(d.Zones))
	fleet, err := testbed.StartFleet(ctx, testbed.Options{
		Deployment:     d,
		Programs:       testbed.ProgramsIn(bin),
		Dir:            dir,
		EntriesPerZone: 2,
		Static:         f.Static,
	})
	if err != nil {
		fleet.Close()
		return err
	}
	defer fleet.Close()
	if !f.NoFaults {
		go faults(ctx, fleet, f.Duration)
	}
	loadErr := offer(ctx, fleet, f, dir)
	if err := explain(ctx, fleet, dir); err != nil {
		return err
	}
	return loadErr
}

func freshDir(out, name string) (string, error) {
	dir, err := filepath.Abs(filepath.Join(out, name))
	if err != nil {
		return "", err
	}
	if err := os.RemoveAll(dir); err != nil {
		return "", err
	}
	return dir, os.MkdirAll(dir, 0o755)
}

// faults kills an entry instance and a decode engine while traffic runs, and
// brings both back.
func faults(ctx context.Context, fleet *testbed.Fleet, duration time.Duration) {
	victim := fleet.Instances[len(fleet.Instances)-1]
	engine := firstDecode(fleet.Deployment.Content)
	if !sleep(ctx, duration/3) {
		return
	}
	say("killing entry instance " + string(victim.ID))
	report(fleet.KillInstance(victim))
	if !sleep(ctx, duration/6) {
		return
	}
	say("crashing decode engine " + string(engine))
	report(control.Client{Address: fleet.Addresses[engine]}.Crash(ctx, control.Crash{}))
	if !sleep(ctx, duration/6) {
		return
	}
	say("starting entry instance " + string(victim.ID) + " again")
	report(fleet.StartInstance(victim))
}

func say(what string) { fmt.Println("    demo: " + what) }
func report(err error) {
	if err != nil {
		fmt.Println("    demo:", err)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func firstDecode(c *config.Content) ident.UpstreamID {
	for _, u := range c.Upstreams {
		if u.Role == config.RoleDecode {
			return u.ID
		}
	}
	return ""
}

// offer runs the load tool, which is also the judge.
func offer(ctx context.Context, fleet *testbed.Fleet, f flags, dir string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(f.Bin, "wardspool-load"), "run",
		"--workload", fleet.Deployment.Workload,
		"--targets", strings.Join(fleet.CallerAddresses(), ","),
		"--rate", offeredRate[fleet.Deployment.Name],
		"--duration", f.Duration.String(),
		"--judge", strings.Join(fleet.JudgeAddresses(), ","),
		"--out", dir)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd.Run()
}
