package testbed

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Options describes a fleet to start.
type Options struct {
	Deployment *Deployment
	Programs   Programs
	// Dir is the directory for settings and logs; it must exist.
	Dir string
	// EntriesPerZone is the number of entry instances in each zone.
	EntriesPerZone int
	// Static runs the entries on fixed settings, without agents and platform.
	Static bool
	// EngineArgs are additional arguments of every stand-in engine.
	EngineArgs []string
	// SoftwareVersions holds the software versions of upstreams that the platform lists with one.
	SoftwareVersions map[ident.UpstreamID]string
	// LogLevel is the log level of the entries and agents; empty for the default.
	LogLevel string
	// Relays routes all traffic of the entries and agents through relays, which can
	// cut zones off. Callers' traffic and KV transfers between engines bypass them.
	Relays bool
	// TLS, if set, makes the entries, agents and callers use TLS.
	TLS *TLS
}

// Instance is one entry instance: an entry and its agent.
type Instance struct {
	ID   ident.InstanceID
	Zone ident.Zone
	// Callers, Peer, Feed and Operator are the addresses of the entry, AgentPeer and
	// AgentOperator those of the agent.
	Callers, Peer, Feed, Operator string
	AgentPeer, AgentOperator      string
	Entry                         *Process
	// Agent is nil in a static fleet.
	Agent *Process
}

// Fleet is a running deployment on loopback.
type Fleet struct {
	Deployment *Deployment
	Instances  []*Instance
	Upstreams  map[ident.UpstreamID]*Process
	Addresses  map[ident.UpstreamID]string
	// Platform and Operators are nil in a static fleet.
	Platform  *Process
	Operators *BundlePublisher

	options  Options
	programs Programs
	dir      string
	logDir   string
	ports    Ports
	// relays is keyed by target address, zones maps process IDs to the zones of the
	// processes.
	relays map[string]*relay
	cuts   *cuts
	zones  sync.Map
}

// StartTimeout bounds the wait for each process to become ready.
const StartTimeout = 20 * time.Second

// StartFleet starts a deployment and waits until every entry is ready. The caller
// must call Close on the returned fleet, also after an error.
func StartFleet(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{
		Deployment: o.Deployment,
		Upstreams:  map[ident.UpstreamID]*Process{},
		Addresses:  map[ident.UpstreamID]string{},
		options:    o,
		programs:   o.Programs,
		dir:        o.Dir,
		logDir:     filepath.Join(o.Dir, "logs"),
		relays:     map[string]*relay{},
		cuts:       newCuts(),
	}
	if err := os.MkdirAll(f.logDir, 0o755); err != nil {
		return f, err
	}
	if err := f.startUpstreams(); err != nil {
		return f, err
	}
	if err := f.assignInstances(); err != nil {
		return f, err
	}
	if err := f.startPlatform(ctx); err != nil {
		return f, err
	}
	for _, in := range f.Instances {
		if err := f.StartInstance(in); err != nil {
			return f, err
		}
	}
	for _, in := range f.Instances {
		if err := f.WaitReady(ctx, in); err != nil {
			return f, err
		}
	}
	return f, nil
}

// assignInstances assigns IDs and addresses to the instances.
func (f *Fleet) assignInstances() error {
	for n := range f.options.EntriesPerZone {
		for _, zone := range f.Deployment.Zones {
			in := &Instance{
				ID:   ident.InstanceID(fmt.Sprintf("%s-entry-%d", zone, n+1)),
				Zone: zone,
			}
			for _, address := range []*string{&in.Callers, &in.Peer, &in.Feed, &in.Operator, &in.AgentPeer, &in.AgentOperator} {
				next, err := f.ports.Next()
				if err != nil {
					return err
				}
				*address = next
			}
			if err := f.relayInstancePeers(in); err != nil {
				return err
			}
			f.Instances = append(f.Instances, in)
		}
	}
	f.ports.Release()
	return nil
}

// relayInstancePeers starts the relays to the peer addresses of an instance's entry and
// agent.
func (f *Fleet) relayInstancePeers(in *Instance) error {
	if err := f.relayTo(in.Peer, in.Zone); err != nil {
		return err
	}
	return f.relayTo(in.AgentPeer, in.Zone)
}

// StartInstance starts or restarts an instance's processes.
func (f *Fleet) StartInstance(in *Instance) error {
	if err := f.StartEntry(in); err != nil {
		return err
	}
	if f.options.Static {
		return nil
	}
	return f.StartAgent(in)
}

// StartEntry starts or restarts an instance's entry.
func (f *Fleet) StartEntry(in *Instance) error {
	path, err := f.writeSettings(string(in.ID)+".yaml", f.entrySettings(in))
	if err != nil {
		return err
	}
	in.Entry, err = start(string(in.ID), in.Callers, f.logDir, f.programs.Entry, "--settings", path)
	if err != nil {
		return err
	}
	f.recordZone(in.Entry, in.Zone)
	return nil
}

// writeSettings writes a settings file to the fleet's directory and returns its path.
func (f *Fleet) writeSettings(name, text string) (string, error) {
	path := filepath.Join(f.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// WaitReady waits until an instance's entry accepts requests.
func (f *Fleet) WaitReady(ctx context.Context, in *Instance) error {
	return f.pollReady(ctx, in.Entry, f.callersHTTP(), f.callersURL(in)+"/readyz")
}

// NotReadyError reports a process that did not become ready in time.
type NotReadyError struct {
	Name   string
	Output string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%s did not become ready:\n%s", e.Name, e.Output)
}

// pollInterval is the interval between two checks of a condition.
const pollInterval = 20 * time.Millisecond

func (f *Fleet) waitHTTP(ctx context.Context, p *Process, url string) error {
	return f.pollReady(ctx, p, http.DefaultClient, url)
}

func (f *Fleet) pollReady(ctx context.Context, p *Process, client *http.Client, url string) error {
	ctx, cancel := context.WithTimeout(ctx, StartTimeout)
	defer cancel()
	for {
		if statusOK(ctx, client, url) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotReadyError{Name: p.Name, Output: p.Output()}
		case <-time.After(pollInterval):
		}
		if !p.Running() {
			return &NotReadyError{Name: p.Name, Output: p.Output()}
		}
	}
}

func statusOK(ctx context.Context, client *http.Client, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// UpstreamAddresses lists the addresses of the stand-in upstreams, which record what
// actually ran.
func (f *Fleet) UpstreamAddresses() []string {
	var list []string
	for _, u := range f.Deployment.Content.Upstreams {
		list = append(list, f.Addresses[u.ID])
	}
	return list
}

// CallerAddresses lists the addresses at which the instances accept callers'
// requests.
func (f *Fleet) CallerAddresses() []string {
	var list []string
	for _, in := range f.Instances {
		list = append(list, in.Callers)
	}
	return list
}

// Close kills every process of the fleet and closes its relays.
func (f *Fleet) Close() {
	for _, p := range f.processes() {
		_ = p.Kill()
	}
	for _, r := range f.relays {
		r.close()
	}
}

func (f *Fleet) processes() []*Process {
	var list []*Process
	for _, in := range f.Instances {
		if in.Entry != nil {
			list = append(list, in.Entry)
		}
		if in.Agent != nil {
			list = append(list, in.Agent)
		}
	}
	for _, u := range f.Deployment.Content.Upstreams {
		if p := f.Upstreams[u.ID]; p != nil {
			list = append(list, p)
		}
	}
	if f.Platform != nil {
		list = append(list, f.Platform)
	}
	return list
}

// KillInstance kills an instance's processes with SIGKILL.
func (f *Fleet) KillInstance(in *Instance) error {
	if err := in.Entry.Kill(); err != nil {
		return err
	}
	if in.Agent == nil {
		return nil
	}
	return in.Agent.Kill()
}

// Dir returns the directory with the fleet's settings and, in its subdirectory
// logs, the processes' logs.
func (f *Fleet) Dir() string { return f.dir }
