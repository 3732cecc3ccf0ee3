package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
)

// lostSeedInterval is how often a hub calls a seed that does not answer any more. A seed that starts
// again has to hear of its peers within informTimeout.
const lostSeedInterval = 100 * time.Millisecond

// callSeeds exchanges heartbeats with all seeds in a round of a large fleet, if this instance is the
// hub of its zone. A started instance finds the fleet through its seeds. Seeds that start at the same
// time find only each other, and other instances may not call them within informTimeout.
func (n *Node) callSeeds(ctx context.Context, h Heartbeat) {
	n.mu.Lock()
	seeds := n.roster.seedsToCall(clock.Now())
	n.mu.Unlock()
	end := clock.Now().Add(largeHeartbeatInterval)
	for _, address := range seeds {
		go func() {
			for !n.heartbeatWith(ctx, address, h) && n.knows(address) {
				if !pause.For(ctx, lostSeedInterval) || clock.Until(end) <= 0 {
					return
				}
			}
		}()
	}
}

// knows reports whether the instance at an address has been alive in the last peerRetention.
func (n *Node) knows(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.knowsAddress(address)
}

// seedsToCall returns the addresses of the other seeds if this instance is the hub of its zone in a
// large fleet.
func (r *Roster) seedsToCall(now time.Time) []string {
	if !r.isLarge() {
		return nil
	}
	if _, hub := r.Hub(now, r.self.Zone); !hub {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.seeds), func(s string) bool { return s == r.self.Address })
}
