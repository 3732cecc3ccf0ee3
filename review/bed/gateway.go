package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// gateway is a machine of the system: its settings and its current process.
type gateway struct {
	name, zone, ip string
	// front, ready and control are the addresses of the settings. Two further ports are for
	// the machines among themselves.
	front, ready, control, relay, metrics string
	settings                              string
	process                               *exec.Cmd
	done                                  chan struct{}
}

// program is the gateway as the build line of the deploy file leaves it, from the repository's root.
const program = "target/wardspool-gateway"

// settingsOf fills in deploy/settings.yaml with the figures of the site crdf-preorder.
func settingsOf(g *gateway, zones []string, seeds []string, store string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance: %q\nzone: %q\nzones:\n", g.name, g.zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "  - %q\n", z)
	}
	b.WriteString("regions:\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "  %q: \"bc-lower\"\n", z)
	}
	fmt.Fprintf(&b, "deployment: \"platform\"\nlisten:\n  callers: %q\n  ready: %q\n  peers: %q\n  relay: %q\n  metrics: %q\nseeds:\n", g.front, g.ready, g.control, g.relay, g.metrics)
	for _, s := range seeds {
		fmt.Fprintf(&b, "  - %q\n", s)
	}
	fmt.Fprintf(&b, "store:\n  address: %q\n  config_within_ms: 2000\n  leaving_within_ms: 2000\n", store)
	b.WriteString("memory_mb: 134\nlink_mbps: 1000.0\nretries:\n  ratio: 0.2\n  window_seconds: 10\n  slack: 56\norders:\n  lease_ms: 3000\nstop:\n  grace_seconds: 8\nlog:\n  level: \"info\"\n")
	return b.String()
}

// start starts the machine's process and follows its log.
func (b *bed) start(g *gateway) error {
	cmd := exec.Command(filepath.Join(b.root, program), "--settings", g.settings)
	cmd.Dir = b.root
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	g.process, g.done = cmd, make(chan struct{})
	b.rec.add("machine %s: process %d started", g.name, cmd.Process.Pid)
	done := g.done
	go func() {
		defer close(done)
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if line := lines.Text(); b.logged(line) {
				b.rec.add("log of %s: %s", g.name, line)
			}
		}
		_ = cmd.Wait()
	}()
	return nil
}

// logged reports whether a line of a gateway's log is kept in the record.
func (b *bed) logged(line string) bool {
	for _, m := range []string{`"msg":"started"`, `"msg":"order"`, `"msg":"live instances"`, `"level":"ERROR"`, "panic"} {
		if strings.Contains(line, m) {
			return true
		}
	}
	return false
}

// kill ends the machine's process at once, and waits for its end.
func (b *bed) kill(g *gateway) {
	if g.process == nil {
		return
	}
	_ = g.process.Process.Signal(syscall.SIGKILL)
	<-g.done
	b.rec.add("machine %s: process %d killed", g.name, g.process.Process.Pid)
	g.process = nil
}
