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

// lookLimit bounds one look at the agents.
const lookLimit = 3 * time.Second

// look asks the agents of all instances what they believe. It is for waiting
// until something is known, never for a verdict on what ran.
func (b *bed) look() *console.Fleet {
	pool := peer.NewPool(peer.Config{
		Self:  peer.Identity{Instance: testbed.OperatorName, Incarnation: ident.NewIncarnation(time.Now()), Zone: "operators"},
		Allow: func(peer.Identity) bool { return true },
		TLS:   b.identity,
	})
	defer pool.Close()
	// Also for the report of a test that has failed.
	ctx, cancel := context.WithTimeout(context.Background(), lookLimit)
	defer cancel()
	var addresses []string
	for _, in := range b.Instances {
		addresses = append(addresses, in.AgentOperator)
	}
	return console.QueryFleet(ctx, pool, addresses)
}

// status returns what an instance's agent says, nil if it does not answer.
func status(f *console.Fleet, id ident.InstanceID) *wire.Status {
	for i := range f.Agents {
		if f.Agents[i].Instance == id {
			return &f.Agents[i]
		}
	}
	return nil
}

// keepLogs keeps the logs of a failed test, with what the agents believe at its
// end.
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
	assert.NilError(b.t, b.look().Write(f))
	b.t.Logf("logs are in %s", kept)
}
