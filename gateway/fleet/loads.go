package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/peer"
)

// loads adds up the peers' loads: from their heartbeats in a small fleet, by way of
// the zone's hub in a large one.
func (n *Node) loads(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	wait := sumInterval
	for pause.For(ctx, jitter(random, wait)) {
		if n.large() {
			wait = beatInterval
			n.reportLoad(ctx)
			continue
		}
		wait = sumInterval
		n.mu.Lock()
		sum := NewLoad()
		for _, m := range n.roster.Members(time.Now()) {
			sum.Add(m.Load)
		}
		n.mu.Unlock()
		n.setOthers(sum)
	}
}

// setOthers keeps the sum of the peers' loads.
func (n *Node) setOthers(sum Load) {
	n.mu.Lock()
	n.others = sum
	age := loadAge
	if n.roster.large() {
		age = loadAgeByHub
	}
	n.mu.Unlock()
	n.o.LoadChanged(sum, age)
}

// Others returns the sum of the peers' loads.
func (n *Node) Others() Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.others
}

// reportLoad tells the zone's hub this instance's load. A hub tells those of other
// zones its zone's.
func (n *Node) reportLoad(ctx context.Context) {
	own := LoadReport{From: n.o.Self.ID, Zone: n.o.Self.Zone, Load: n.o.Load()}
	n.mu.Lock()
	now := time.Now()
	address, self := n.roster.Hub(now, n.o.Self.Zone)
	n.mu.Unlock()
	if !self {
		if sum, ok := n.tellLoad(ctx, address, own); ok {
			n.setOthers(sum)
		}
		return
	}
	n.mu.Lock()
	n.hub.Take(now, own)
	whole := LoadReport{From: own.From, Zone: own.Zone, Whole: true, Load: n.hub.Zone(now, "")}
	hubs := n.otherHubs(now)
	sum := n.hub.Total(now, own.From)
	n.mu.Unlock()
	for _, h := range hubs {
		go n.tellLoad(ctx, h, whole)
	}
	n.setOthers(sum)
}

// otherHubs returns the addresses of the other zones' hubs. The caller holds mu.
func (n *Node) otherHubs(now time.Time) []string {
	var hubs []string
	for _, zone := range n.roster.OtherZones(now) {
		if address, _ := n.roster.Hub(now, zone); address != "" {
			hubs = append(hubs, address)
		}
	}
	return hubs
}

// tellLoad tells a hub a load. Its silence shows as a load that grows old.
func (n *Node) tellLoad(ctx context.Context, address string, r LoadReport) (Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sum, err := peer.Call[Load](ctx, n.o.Pool, address, MethodLoad, r)
	if err != nil {
		n.o.Log.Debug("load not taken", "peer", address, "error", err)
		return Load{}, false
	}
	return sum, true
}

// onLoad takes in a load at a hub.
func (n *Node) onLoad(_ context.Context, _ peer.Identity, r LoadReport) (Load, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.hub.Take(now, r)
	if r.Whole {
		return NewLoad(), nil
	}
	return n.hub.Total(now, r.From), nil
}
