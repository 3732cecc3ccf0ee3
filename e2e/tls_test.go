package e2e

import (
	"crypto/tls"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/testcert"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/testbed"
	"github.com/wardspool/wardspool/tlsconf"
)

// callersName is the DNS name in the certificates that instances present to
// callers.
const callersName = "wardspool.test"

// newTLSBed starts a fleet whose processes, callers and operators use TLS.
func newTLSBed(t *testing.T) (*bed, *testcert.Authority, *testbed.TLS) {
	t.Helper()
	authority := testcert.NewAuthority(t)
	files := &testbed.TLS{
		Peers:   map[ident.InstanceID]tlsconf.Settings{},
		Callers: map[ident.InstanceID]tlsconf.Settings{},
		Client:  &tls.Config{RootCAs: authority.Pool(), ServerName: callersName},
	}
	for _, zone := range []ident.Zone{hallA, hallB} {
		for n := range 2 {
			id := ident.InstanceID(fmt.Sprintf("%s-entry-%d", zone, n+1))
			files.Peers[id] = authority.Files(string(id))
			files.Callers[id] = authority.Files(callersName)
		}
	}
	b := newBed(t, func(o *testbed.Options) { o.TLS = files })
	identity, err := tlsconf.New(authority.Files(testbed.OperatorName), tlsconf.Options{})
	assert.NilError(t, err)
	b.identity = identity
	return b, authority, files
}

// requireForwarded sends an order with a ticket of one instance to another, and
// fails the test unless the answer is complete and the order ran once.
func (b *bed) requireForwarded(executor, to *testbed.Instance) {
	b.t.Helper()
	call := b.withTicket(order(executor))
	call.Target = to.Callers
	b.requireComplete(b.startServiceCall(call))
	assert.Equal(b.t, b.runs().KeyRuns(call.IdempotencyKey), 1, call.RequestID)
}

// TestFleetWithTLS runs a fleet with TLS towards callers, between entries, between
// agents and towards operators. Each kind of request is served, calls with tickets
// are forwarded and a bundle is rolled. A request without TLS is not served. An
// instance with another instance's certificate is refused by its peers and runs
// nothing for them. When its file is replaced by the right certificate, the peers
// accept the instance without a restart. A renewed certificate towards callers
// also takes effect without a restart.
func TestFleetWithTLS(t *testing.T) {
	b, authority, files := newTLSBed(t)
	b.awaitVersion(1, b.Instances...)
	b.requireAnswers(1, b.Instances...)
	for i, in := range b.Instances {
		b.requireForwarded(in, b.Instances[(i+1)%len(b.Instances)])
	}
	assert.Equal(t, b.roll(), uint64(2))
	b.awaitVersion(2, b.Instances...)
	b.requirePlainTextRefused(b.Instances[0])

	t.Log("an instance with another instance's certificate")
	victim, peer := b.Instances[3], b.Instances[0]
	const stranger = "hall-a-entry-9"
	assert.NilError(t, b.KillInstance(victim))
	authority.Write(files.Peers[victim.ID], stranger)
	assert.NilError(t, b.StartInstance(victim))
	refusal := fmt.Sprintf("certificate is of %s", stranger)
	b.eventually("the refusal of the victim", func() (bool, string) {
		return b.logged(peer, refusal), "the refusal is not logged"
	})
	b.eventually("the victim to be unreachable", func() (bool, string) {
		reachable := b.reachable(peer, victim.ID)
		return !reachable, "its peer reports it as reachable"
	})
	b.requireAnswers(2, b.others(victim)...)

	t.Log("the right certificate, and a renewed certificate towards callers")
	before := b.certificateSerial(peer, files.Client)
	authority.Write(files.Callers[peer.ID], callersName)
	authority.Write(files.Peers[victim.ID], string(victim.ID))
	b.eventually("the renewed certificate", func() (bool, string) {
		return b.certificateSerial(peer, files.Client) != before, before
	})
	b.eventually("the victim to be reachable", func() (bool, string) {
		return b.reachable(peer, victim.ID), "its peer reports it as unreachable"
	})
	assert.NilError(t, b.WaitReady(b.ctx, victim))
	b.awaitVersion(2, b.Instances...)
	b.requireAnswers(2, b.Instances...)
	b.requireForwarded(victim, peer)
	b.requireForwarded(peer, victim)
}

// requirePlainTextRefused fails the test if an instance serves a request without
// TLS.
func (b *bed) requirePlainTextRefused(in *testbed.Instance) {
	b.t.Helper()
	plain := client.New()
	defer plain.Close()
	call := order(in)
	r := plain.CallService(b.ctx, call)
	assert.Assert(b.t, !r.Complete() && r.Outcome != api.Complete, "%s", describe(r))
	assert.Assert(b.t, !b.runs().Request(call.RequestID).Ran(), call.RequestID)
}

// logged reports whether the entry or the agent of an instance has logged a text.
// Quotes and backslashes in the log are ignored.
func (b *bed) logged(in *testbed.Instance, text string) bool {
	b.t.Helper()
	for _, name := range []string{string(in.ID), string(in.ID) + "-agent"} {
		log, err := os.ReadFile(filepath.Join(b.Dir(), "logs", name+".log"))
		assert.NilError(b.t, err)
		if strings.Contains(strings.NewReplacer(`\`, "", `"`, "").Replace(string(log)), text) {
			return true
		}
	}
	return false
}

// reachable reports whether an instance's agent considers another instance
// reachable.
func (b *bed) reachable(in *testbed.Instance, other ident.InstanceID) bool {
	b.t.Helper()
	for _, s := range b.status(in).Fleet.Instances {
		if s.ID == other {
			return s.Reachable
		}
	}
	return false
}

// certificateSerial returns the serial number of the certificate that an
// instance presents to callers.
func (b *bed) certificateSerial(in *testbed.Instance, config *tls.Config) string {
	b.t.Helper()
	dialer := &tls.Dialer{Config: config}
	conn, err := dialer.DialContext(b.ctx, "tcp", in.Callers)
	assert.NilError(b.t, err)
	defer func() { _ = conn.Close() }()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
}
