package e2e

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/load/workload"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/testbed"
)

// Names of the test deployment; testdata/bundle.yaml declares the upstreams.
const (
	hallA = ident.Zone("hall-a")
	hallB = ident.Zone("hall-b")

	prefillA = ident.UpstreamID("hall-a-prefill-1")
	decodeA  = ident.UpstreamID("hall-a-decode-1")
	serviceA = ident.UpstreamID("hall-a-preorder")
	prefillB = ident.UpstreamID("hall-b-prefill-1")
	decodeB  = ident.UpstreamID("hall-b-decode-1")
	serviceB = ident.UpstreamID("hall-b-preorder")
)

// Time limits. They are generous, so that a test reaches them only if the event
// that it waits for does not happen at all.
const (
	// waitLimit is the time limit for events that should take a few seconds.
	waitLimit = 30 * time.Second
	// testLimit is the time limit of a whole test.
	testLimit = 100 * time.Second
)

// bed is a test bed: a fleet under test and a client that calls it.
type bed struct {
	*testbed.Fleet
	t      *testing.T
	ctx    context.Context
	client *client.Client
	spec   *workload.Spec
	// identity is the operators' certificate, or nil without TLS.
	identity peer.TLS
}

// option changes the options with which a fleet is started.
type option func(*testbed.Options)

// withRelays routes all traffic between the system's processes, and from them to
// the upstreams and the platform, through relays, so that zones can be cut off.
func withRelays(o *testbed.Options) { o.Relays = true }

// newBed starts a fleet of two zones with two instances each. All its processes
// are stopped at the end of the test.
func newBed(t *testing.T, options ...option) *bed {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	t.Cleanup(cancel)
	dir := t.TempDir()
	o := testbed.Options{
		Deployment:     deployment(t),
		Programs:       programs,
		Dir:            dir,
		EntriesPerZone: 2,
		// Long enough that prefill results don't expire on a busy machine.
		EngineArgs: []string{"--kv-lifetime", "5s"},
		LogLevel:   "debug",
	}
	for _, set := range options {
		set(&o)
	}
	fleet, err := testbed.StartFleet(ctx, o)
	t.Cleanup(fleet.Close)
	assert.NilError(t, err)
	b := &bed{Fleet: fleet, t: t, ctx: ctx, client: client.New(), spec: spec(t)}
	if o.TLS != nil {
		b.client = client.NewTLS(o.TLS.Client)
	}
	t.Cleanup(b.client.Close)
	t.Cleanup(func() { b.keepLogs(dir) })
	return b
}

// deployment reads the test deployment from testdata/bundle.yaml.
func deployment(t *testing.T) *testbed.Deployment {
	t.Helper()
	source := filepath.Join("testdata", "bundle.yaml")
	text, err := os.ReadFile(source)
	assert.NilError(t, err)
	content, findings := bundle.ParseSource(source, text)
	assert.NilError(t, findings.Err())
	return &testbed.Deployment{
		Name: content.Deployment, Region: "test",
		Zones: []ident.Zone{hallA, hallB}, Content: content,
	}
}

// spec reads the workload from testdata/workload.yaml.
func spec(t *testing.T) *workload.Spec {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "workload.yaml"))
	assert.NilError(t, err)
	s, err := workload.Parse(text)
	assert.NilError(t, err)
	return s
}

// instancesIn returns the instances of a zone.
func (b *bed) instancesIn(zone ident.Zone) []*testbed.Instance {
	var list []*testbed.Instance
	for _, in := range b.Instances {
		if in.Zone == zone {
			list = append(list, in)
		}
	}
	return list
}

// others returns all instances except one.
func (b *bed) others(not *testbed.Instance) []*testbed.Instance {
	var list []*testbed.Instance
	for _, in := range b.Instances {
		if in != not {
			list = append(list, in)
		}
	}
	return list
}

// callerAddresses returns the addresses at which instances serve callers.
func callerAddresses(list []*testbed.Instance) []string {
	var addresses []string
	for _, in := range list {
		addresses = append(addresses, in.Callers)
	}
	return addresses
}

// pollInterval is the interval at which a condition is checked.
const pollInterval = 50 * time.Millisecond

// eventually waits until a condition holds. At the time limit it fails the test
// with the reason of the last check.
func (b *bed) eventually(what string, holds func() (ok bool, why string)) {
	b.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		ok, why := holds()
		if ok {
			return
		}
		if time.Now().After(deadline) || b.ctx.Err() != nil {
			b.t.Fatalf("timed out waiting for %s: %s", what, why)
		}
		b.wait(pollInterval)
	}
}

// wait pauses the test while the fleet runs. No result of a test may depend on
// how much happens during the pause.
func (b *bed) wait(d time.Duration) {
	select {
	case <-b.ctx.Done():
	case <-time.After(d):
	}
}
