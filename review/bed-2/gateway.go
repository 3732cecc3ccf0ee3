package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Gateway is a process of the gateway role.
type Gateway struct {
	Name, Zone                                 string
	Callers, Ready, Peers, RelayAddr, Metrics_ string

	root, settings, log string
	cmd                 *exec.Cmd
	exited              chan struct{}
}

// given holds the ports that freeAddr has returned.
var given = map[int]bool{}

// freeAddr returns a loopback address that was free a moment ago. Its port lies below those that the system gives to connections, so that
// none of these takes it before the gateway listens.
func freeAddr() string {
	for {
		port := 12000 + rand.IntN(20000)
		if given[port] {
			continue
		}
		given[port] = true
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		must(l.Close())
		return addr
	}
}

// bounds are the bounds of the small deployments.
const (
	configTime   = 2 * time.Second
	graceTime    = 8 * time.Second
	stableWindow = 3 * time.Second
)

// NewGateways prepares gateways, one in each of the zones, with the settings that the template of the deploy file gives them.
func NewGateways(root, dir, store string, zones ...string) []*Gateway {
	var out []*Gateway
	for i, z := range zones {
		name := fmt.Sprintf("front-%s-%d", z, i+1)
		out = append(out, &Gateway{
			Name: name, Zone: z, Callers: freeAddr(), Ready: freeAddr(), Peers: freeAddr(), RelayAddr: freeAddr(), Metrics_: freeAddr(),
			root: root, settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"),
		})
	}
	for _, g := range out {
		var b bytes.Buffer
		fmt.Fprintf(&b, "instance: %q\nzone: %q\nzones:\n", g.Name, g.Zone)
		seen := map[string]bool{}
		var names []string
		for _, z := range zones {
			if !seen[z] {
				names = append(names, z)
			}
			seen[z] = true
		}
		for _, z := range names {
			fmt.Fprintf(&b, "  - %q\n", z)
		}
		fmt.Fprintf(&b, "regions:\n")
		for _, z := range names {
			fmt.Fprintf(&b, "  %q: \"lower\"\n", z)
		}
		fmt.Fprintf(&b, "deployment: \"platform\"\nlisten:\n  callers: %q\n  ready: %q\n  peers: %q\n  relay: %q\n  metrics: %q\nseeds:\n", g.Callers, g.Ready, g.Peers, g.RelayAddr, g.Metrics_)
		for i, o := range out {
			if i < 3 {
				fmt.Fprintf(&b, "  - %q\n", o.Peers)
			}
		}
		fmt.Fprintf(&b, "store:\n  address: %q\n  config_within_ms: 2000\n  leaving_within_ms: 2000\nmemory_mb: 134\nmax_files: 4100\nlink_mbps: 1000.0\n", store)
		fmt.Fprintf(&b, "retries:\n  ratio: 0.2\n  window_seconds: 10\n  slack: 56\norders:\n  lease_ms: 3000\nstop:\n  grace_seconds: 8\nlog:\n  level: \"info\"\n")
		must(os.WriteFile(g.settings, b.Bytes(), 0o644))
	}
	return out
}

// Start starts the process with the command of the deploy file.
func (g *Gateway) Start() {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	defer log.Close()
	cmd := exec.Command(filepath.Join(g.root, "target/wardspool-gateway"), "--settings", g.settings)
	cmd.Dir = g.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WARDSPOOL_SETTINGS=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	g.cmd, g.exited = cmd, make(chan struct{})
	exited := g.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// Kill ends the process, if it runs, and waits for its end.
func (g *Gateway) Kill() {
	if g.cmd == nil {
		return
	}
	g.Signal(syscall.SIGKILL)
	<-g.exited
}

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.Ready + "/wardspool/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
