package fleet

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
)

// seedDownTime is how long a seed whose machine refused a connection counts as not running. It is called in each
// round of heartbeats.
const seedDownTime = 2 * time.Second

// Share returns which part of what all instances share, 0 to 1, those that know each other through this one may use:
// all of it once this instance has joined the fleet. Before that, others may be running that it can't know. They can
// find each other through the remaining seeds, so that each seed that was found stands for an equal part; an
// instance that has found none has nothing, as there may be any number of them. Survivors of a fleet keep their part
// of it.
func (r *Roster) Share(now time.Time) float64 {
	if r.Joined() {
		return 1
	}
	found, running := 0, 0
	for _, s := range r.seeds {
		if r.knowsAddress(s) {
			found++
			running++
		} else if now.Sub(r.seedsDown[s]) >= seedDownTime {
			running++
		}
	}
	share := r.survivingShare(now)
	if found > 0 {
		share = max(share, float64(found)/float64(running))
	}
	return share
}

// survivingShare returns the part of the fleet that the live instances of this one's zone were when it last had
// joined, 0 if it never had.
func (r *Roster) survivingShare(now time.Time) float64 {
	if r.formerZoneSize == 0 {
		return 0
	}
	r.refresh(now)
	return min(1, float64(len(r.groups[r.self.Zone].members))/float64(r.formerZoneSize))
}

// knowsAddress reports whether the instance at an address is this one or a known one.
func (r *Roster) knowsAddress(address string) bool {
	if address == r.self.Address {
		return true
	}
	for _, p := range r.peers {
		if p.member.Address == address {
			return true
		}
	}
	return false
}

// recordSeedCall records the result of a heartbeat, if it was sent to a seed. A refused connection shows that the
// seed's machine is reachable and that no process listens there.
func (r *Roster) recordSeedCall(now time.Time, address string, err error) {
	switch {
	case !errors.Is(err, syscall.ECONNREFUSED):
		delete(r.seedsDown, address)
	case slices.Contains(r.seeds, address):
		if r.seedsDown == nil {
			r.seedsDown = map[string]time.Time{}
		}
		r.seedsDown[address] = now
	}
}

// share returns Roster.Share as of now.
func (n *Node) share() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Share(clock.Now())
}

// logShareChange logs a change of Roster.Share since the last call, and returns it.
func (n *Node) logShareChange(before float64) float64 {
	now := n.share()
	if now != before {
		n.opts.Log.Info("share of common limits", "before", before, "now", now, "joined", n.Joined(), "live_instances", n.Alive())
	}
	return now
}
