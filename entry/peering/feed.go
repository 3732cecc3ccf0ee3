package peering

import (
	"context"
	"net"
	"time"

	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
)

// FeedHandler handles the agent's updates.
type FeedHandler interface {
	// Update applies an agent's update and returns the entry's reply.
	Update(ctx context.Context, u feed.Update) (feed.Reply, error)
}

// HandleFeed registers the method for the agent's updates on a server.
func HandleFeed(s *peer.Server, t FeedHandler) {
	peer.Handle(s, feed.MethodUpdate, func(ctx context.Context, _ peer.Identity, u feed.Update) (feed.Reply, error) {
		return t.Update(ctx, u)
	})
}

// LocalAgent returns a function that reports whether an identity is that of the
// entry's own agent: it connects over loopback and has the same instance ID.
func LocalAgent(self ident.InstanceID) func(peer.Identity) bool {
	return func(id peer.Identity) bool {
		host, _, err := net.SplitHostPort(id.Addr)
		ip := net.ParseIP(host)
		return err == nil && ip != nil && ip.IsLoopback() && id.Instance == self
	}
}

// KernelView converts an agent's view to the kernel's form. Load ages become points in time,
// relative to now.
func KernelView(v *feed.View, now time.Time) *kernel.View {
	out := &kernel.View{
		Version:   v.Version,
		Trusted:   v.Trusted,
		Instances: make([]kernel.Instance, 0, len(v.Instances)),
		Upstreams: make([]kernel.Upstream, 0, len(v.Upstreams)),
	}
	for _, i := range v.Instances {
		out.Instances = append(out.Instances, kernel.Instance{
			ID: i.ID, Zone: i.Zone, Incarnation: i.Incarnation, Liveness: i.Liveness,
		})
	}
	for n, u := range v.Upstreams {
		k := kernel.Upstream{
			Index: n, ID: u.ID, Zone: u.Zone, Address: u.Address,
			Incarnation: u.Incarnation, Liveness: u.Liveness,
			SoftwareVersion: u.SoftwareVersion,
		}
		if u.Load != nil {
			k.Load = *u.Load
			k.Load.At = now.Add(-time.Duration(u.LoadAgeMS) * time.Millisecond)
		}
		out.Upstreams = append(out.Upstreams, k)
	}
	return out
}

// Addresses returns the addresses at which the instances of a view accept peers'
// calls.
func Addresses(v *feed.View) map[ident.InstanceID]string {
	out := make(map[ident.InstanceID]string, len(v.Instances))
	for _, i := range v.Instances {
		out[i.ID] = i.PeerAddress
	}
	return out
}
