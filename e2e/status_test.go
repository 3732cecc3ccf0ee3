package e2e

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/agent/console"
	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/testbed"
)

// fleetStatusLimit is the time limit for reading the status of all agents.
const fleetStatusLimit = 3 * time.Second

// fleetStatus reads the status of the agents of all instances. Tests use it to
// wait until the instances have noticed a change, never to check what ran.
func (b *bed) fleetStatus() *console.Fleet {
	pool := peer.NewPool(peer.Config{
		Self:  peer.Identity{Instance: testbed.OperatorName, Incarnation: ident.NewIncarnation(time.Now()), Zone: "operators"},
		Allow: func(peer.Identity) bool { return true },
		TLS:   b.identity,
	})
	defer pool.Close()
	// Not the test's context, which may be cancelled when keepLogs reads the status
	// after a failure.
	ctx, cancel := context.WithTimeout(context.Background(), fleetStatusLimit)
	defer cancel()
	var addresses []string
	for _, in := range b.Instances {
		addresses = append(addresses, in.AgentOperator)
	}
	return console.QueryFleet(ctx, pool, addresses)
}

// findStatus returns the status of an instance's agent, or nil if the agent did not
// answer.
func findStatus(f *console.Fleet, id ident.InstanceID) *wire.Status {
	for i := range f.Agents {
		if f.Agents[i].Instance == id {
			return &f.Agents[i]
		}
	}
	return nil
}

// keepLogs copies the logs of a failed test to out/e2e, and the status of all
// agents at its end.
func (b *bed) keepLogs(dir string) {
	if !b.t.Failed() {
		return
	}
	kept := filepath.Join(root, "out", "e2e", b.t.Name())
	assert.NilError(b.t, os.RemoveAll(kept))
	assert.NilError(b.t, os.CopyFS(kept, os.DirFS(dir)))
	f, err := os.Create(filepath.Join(kept, "fleet.txt"))
	assert.NilError(b.t, err)
	defer func() { _ = f.Close() }()
	assert.NilError(b.t, b.fleetStatus().Write(f))
	b.t.Logf("logs kept in %s", kept)
}
