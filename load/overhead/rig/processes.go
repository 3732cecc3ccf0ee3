package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/testbed"
)

// model and kind are the names that the bundle declares.
const (
	model = "reader"
	kind  = "review"
)

// Engine rates high enough not to affect the result: prefill and transfer take
// almost no time, and KV memory is ample.
const (
	prefillTokensPerSecond = 2_000_000
	linkBytesPerSecond     = 5_000_000_000
	kvBytesPerToken        = 1000
	pieceTokens            = 2000
	pieces                 = 100_000
)

// bundleTemplate is the bundle without its upstreams, with a format verb for the
// slot policy. Its policy is that of the example deployments, without the parts
// that need an agent or would refuse the load.
const bundleTemplate = `deployment: overhead
kinds:
  - {name: review, route: model, repeatable: true, deadline: 120s, first_output: 60s, pace: 1s, default_output_tokens: 50}
models:
  - {name: reader, max_context: 32000, kv_bytes_per_token: 1000, piece_tokens: 2000}
workspaces:
  - {name: default, weight: 1}
policy:
  slots: %s
  order: order.tsf
  admission: [admission.known, admission.queue]
  filters: [filter.role, filter.model, filter.leaving, filter.ejected]
  scorers:
    - {id: scorer.first_output, weight: 1}
    - {id: scorer.pace, weight: 1}
    - {id: scorer.prefix, weight: 0.5}
    - {id: scorer.zone, weight: 0.2}
  queue_limit: 5000
  retry_budget: 0.1
  max_attempts: 3
  retry_backoff: 50ms
  view_stale: 2s
  kv_lifetime: 5s
  transfer_stall: 5s
upstreams:
`

// fleet holds the processes of one run.
type fleet struct {
	cli   *cli
	dir   string
	ports testbed.Ports

	entry   *testbed.Process
	prefill string
	decode  []string
	engines []*testbed.Process
}

// startFleet starts the engines and the entry and waits until the entry is ready.
func startFleet(ctx context.Context, c *cli) (*fleet, error) {
	dir, err := filepath.Abs(c.Out)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, oops.Wrap(err)
	}
	f := &fleet{cli: c, dir: dir}
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	entry, err := f.allocatePorts()
	if err != nil {
		return err
	}
	f.ports.Release()
	if err := f.startEngine("pf-1", f.prefill, "prefill"); err != nil {
		return err
	}
	for i, address := range f.decode {
		if err := f.startEngine(decodeID(i), address, "decode"); err != nil {
			return err
		}
	}
	return f.startEntry(ctx, entry)
}

// allocatePorts allocates the addresses of all processes and returns the entry's.
func (f *fleet) allocatePorts() (entry string, err error) {
	var all []string
	for range f.cli.Engines + 2 {
		address, err := f.ports.Next()
		if err != nil {
			return "", err
		}
		all = append(all, address)
	}
	f.prefill, f.decode = all[1], all[2:]
	return all[0], nil
}

func decodeID(i int) string { return "dc-" + strconv.Itoa(i+1) }

// startEngine starts a stand-in engine.
func (f *fleet) startEngine(id, address, role string) error {
	p, err := testbed.StartProcess(nil, id, address, f.dir, testbed.ProgramsIn(f.cli.Bin).Standin,
		"engine", "--listen", address, "--id", id, "--role", role, "--model", model,
		"--slots", strconv.Itoa(f.cli.Slots), "--pieces", strconv.Itoa(pieces),
		"--piece-tokens", strconv.Itoa(pieceTokens),
		"--prefill-tokens-per-second", strconv.Itoa(prefillTokensPerSecond),
		"--kv-bytes-per-token", strconv.Itoa(kvBytesPerToken),
		"--link-bytes-per-second", strconv.Itoa(linkBytesPerSecond),
		"--decode-step", f.cli.Step.String(), "--decode-step-per-request", "0s",
		"--queue-limit", strconv.Itoa(f.cli.Streams+f.cli.Direct), "--kv-lifetime", "5s", "--retention", "1s")
	if err != nil {
		return err
	}
	f.engines = append(f.engines, p)
	return nil
}

// startEntry writes the entry's bundle and settings files, starts it and waits
// until it is ready.
func (f *fleet) startEntry(ctx context.Context, address string) error {
	bundle, settings := filepath.Join(f.dir, "bundle.yaml"), filepath.Join(f.dir, "entry.yaml")
	if err := os.WriteFile(bundle, []byte(f.bundle()), 0o600); err != nil {
		return oops.Wrap(err)
	}
	if err := os.WriteFile(settings, []byte(f.settings(address, bundle)), 0o600); err != nil {
		return oops.Wrap(err)
	}
	var env []string
	if f.cli.Cores > 0 {
		env = append(env, "GOMAXPROCS="+strconv.Itoa(f.cli.Cores))
	}
	var err error
	f.entry, err = testbed.StartProcess(env, "entry", address, f.dir,
		testbed.ProgramsIn(f.cli.Bin).Entry, "--settings", settings)
	if err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

// bundle returns the bundle source, which declares the engines.
func (f *fleet) bundle() string {
	var b strings.Builder
	fmt.Fprintf(&b, bundleTemplate, f.cli.Policy)
	fmt.Fprintf(&b, "  - {id: pf-1, role: prefill, models: [%s], pieces: %d, prefill_tokens_per_second: %d, link_bytes_per_second: %d}\n",
		model, pieces, prefillTokensPerSecond, linkBytesPerSecond)
	for i := range f.decode {
		fmt.Fprintf(&b, "  - {id: %s, role: decode, models: [%s], slots: %d, pieces: %d, link_bytes_per_second: %d, decode_step: %s, decode_step_per_request: 1us}\n",
			decodeID(i), model, f.cli.Slots, pieces, linkBytesPerSecond, f.cli.Step)
	}
	return b.String()
}

// settings returns the entry's settings file.
func (f *fleet) settings(address, bundle string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance: entry-1\nzone: hall-a\ncallers: {listen: %q}\nstop: {grace: 1ms, timeout: 10s}\nstatic:\n  bundle: %q\n  upstreams:\n", address, bundle)
	fmt.Fprintf(&b, "    - {id: pf-1, zone: hall-a, address: %q}\n", f.prefill)
	for i, engine := range f.decode {
		fmt.Fprintf(&b, "    - {id: %s, zone: hall-a, address: %q}\n", decodeID(i), engine)
	}
	return b.String()
}

// Timeouts of start and stop, and the interval between readiness checks.
const (
	readyTimeout = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
	stopTimeout  = 15 * time.Second
)

// NotReadyError reports an entry that did not become ready in time.
type NotReadyError struct{ Output string }

// Error implements error.
func (e *NotReadyError) Error() string { return "the entry did not get ready:\n" + e.Output }

// awaitReady waits until the entry is ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil && f.entry.Running() {
		resp, err := http.Get("http://" + f.entry.Address + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPoll)
	}
	return &NotReadyError{Output: f.entry.Output()}
}

// close stops the entry and kills the engines. The measurements are complete by
// then, so the engines need no orderly shutdown.
func (f *fleet) close() {
	if f.entry != nil {
		_ = f.entry.Terminate()
		_ = f.entry.WaitExit(stopTimeout)
	}
	for _, p := range f.engines {
		_ = p.Kill()
	}
}
