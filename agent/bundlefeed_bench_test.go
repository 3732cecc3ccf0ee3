package agent

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
)

// BenchmarkBundleFed measures feeding a bundle of the planned size to an entry
// over loopback, both ends together: in full, and as changes when one workspace
// differs.
func BenchmarkBundleFed(b *testing.B) {
	c, findings := bundle.ParseSource("test.yaml", []byte(testContent))
	assert.NilError(b, findings.Err())
	for i := range 3400 {
		c.Workspaces = append(c.Workspaces, config.Workspace{Name: ident.Workspace(fmt.Sprintf("franchise-%05d", i)), Weight: 1, RatePerSecond: 20, Burst: 40, Concurrency: 100, Models: []string{"reader"}})
	}
	u := c.Upstreams[0]
	for i := range 600 {
		u.ID = ident.UpstreamID(fmt.Sprintf("runner-%03d", i))
		c.Upstreams = append(c.Upstreams, u)
	}
	srv := peer.NewServer(peer.Config{Self: peer.Identity{Instance: "e", Incarnation: 1, Zone: "z"}, Allow: func(peer.Identity) bool { return true }, Limits: peer.Limits{Frame: feedFrame}})
	peer.Handle(srv, feed.MethodUpdate, func(context.Context, peer.Identity, feed.Update) (feed.Reply, error) { return feed.Reply{}, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = srv.Serve(l) }()
	pool := peer.NewPool(peer.Config{Self: peer.Identity{Instance: "a", Incarnation: 1, Zone: "z"}, Allow: func(peer.Identity) bool { return true }, Limits: peer.Limits{Frame: feedFrame}})
	send := func(f *feed.Bundle) {
		_, err := peer.Call[feed.Reply](context.Background(), pool, l.Addr().String(), feed.MethodUpdate, feed.Update{Bundle: f})
		assert.NilError(b, err)
	}
	next := *c
	next.Workspaces = slices.Clone(c.Workspaces)
	next.Workspaces[1700].Burst++
	b.Run("whole", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			send(&feed.Bundle{Version: 1, Content: c})
		}
	})
	b.Run("changes", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			changes := feed.NewChanges("", c, &next)
			send(&feed.Bundle{Version: 1, Changes: changes})
			_, err := changes.Apply(c)
			assert.NilError(b, err)
		}
	})
	pool.Close()
	_ = srv.Shutdown(context.Background())
}
