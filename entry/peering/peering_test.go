package peering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
)

// TestView checks the conversion of an agent's view to the kernel's form.
func TestView(t *testing.T) {
	now := time.Now()
	v := KernelView(&feed.View{
		Version: 3, Trusted: true,
		Instances: []feed.Instance{{ID: "e-1", Zone: "hall-a", Incarnation: 5, Liveness: kernel.Leaving, PeerAddress: "10.0.0.1:9"}},
		Upstreams: []feed.Upstream{
			{ID: "u-1", Zone: "hall-b", Address: "10.0.0.2:9", Incarnation: 6, Liveness: kernel.Live, SoftwareVersion: "v1"},
			{ID: "u-2", Load: &kernel.Load{Running: 4}, LoadAgeMS: 1500},
		},
	}, now)
	assert.Equal(t, v.Instances[0], kernel.Instance{ID: "e-1", Zone: "hall-a", Incarnation: 5, Liveness: kernel.Leaving})
	assert.Equal(t, v.Upstreams[0].Address, "10.0.0.2:9")
	assert.Equal(t, v.Upstreams[0].SoftwareVersion, "v1")
	assert.Equal(t, v.Upstreams[1].SoftwareVersion, "", "an agent of an earlier release states no version")
	assert.Assert(t, v.Upstreams[0].Load.At.IsZero(), "an upstream without a load report must have no load time")
	assert.Equal(t, v.Upstreams[1].Index, 1)
	assert.Equal(t, v.Upstreams[1].Load.At, now.Add(-1500*time.Millisecond))
	assert.Equal(t, v.Upstreams[1].Load.Running, 4)
}

// TestBook checks that addresses of the view take precedence over those of the settings,
// and that an instance without an address is still accepted as a peer.
func TestBook(t *testing.T) {
	b := NewAddressBook(map[ident.InstanceID]string{"seed": "10.0.0.1:1", "both": "10.0.0.1:2"})
	b.Replace(Addresses(&feed.View{Instances: []feed.Instance{{ID: "both", PeerAddress: "10.0.0.9:2"}, {ID: "silent"}}}))
	for id, want := range map[ident.InstanceID]string{"seed": "10.0.0.1:1", "both": "10.0.0.9:2"} {
		got, err := b.Address(id)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	for _, id := range []ident.InstanceID{"silent", "stranger"} {
		_, err := b.Address(id)
		assert.Error(t, err, `no address is known for instance "`+string(id)+`"`)
	}
	assert.Assert(t, b.Known(peer.Identity{Instance: "silent"}))
	assert.Assert(t, !b.Known(peer.Identity{Instance: "stranger"}))
}

// TestLocalAgent checks that only the instance's own agent on loopback is accepted.
func TestLocalAgent(t *testing.T) {
	allow := LocalAgent("e-1")
	for _, c := range []struct {
		id   peer.Identity
		want bool
	}{
		{peer.Identity{Instance: "e-1", Addr: "127.0.0.1:5"}, true},
		{peer.Identity{Instance: "e-2", Addr: "127.0.0.1:5"}, false},
		{peer.Identity{Instance: "e-1", Addr: "10.0.0.1:5"}, false},
		{peer.Identity{Instance: "e-1", Addr: "odd"}, false},
	} {
		assert.Equal(t, allow(c.id), c.want, "%v", c.id)
	}
}
