package orders

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// claim is a bundle version that somebody said to be in force.
type claim struct {
	version uint64
	at      time.Time
}

// currency judges whether the bundle in force here is the newest one, from what
// peers, the platform and engines say. It can err only where most of a zone's
// instances are behind together, as in a zone that is cut off.
type currency struct {
	// within is how long what was said counts.
	within  time.Duration
	version uint64
	// highest is the highest version that anybody spoke of. It never expires.
	highest uint64
	// others are the other instances of the zone that may run.
	others   []ident.InstanceID
	peers    map[ident.InstanceID]claim
	platform claim
}

// heard takes note of a version, whoever spoke of it.
func (c *currency) heard(version uint64) { c.highest = max(c.highest, version) }

// peer takes in what a peer said to be in force there.
func (c *currency) peer(id ident.InstanceID, said claim) {
	c.heard(said.version)
	if said.at.After(c.peers[id].at) {
		c.peers[id] = said
	}
}

// fromPlatform takes in what the platform said to be published.
func (c *currency) fromPlatform(said claim) {
	c.heard(said.version)
	c.platform = said
}

// forget drops all confirmations, but not the highest version heard of.
func (c *currency) forget() {
	c.peers = make(map[ident.InstanceID]claim)
	c.platform = claim{}
}

// confirmed returns until when the bundle in force here counts as the newest.
// More than half of the zone's instances, this one included, must have said so.
// The platform's data may be stale, so that it serves only an instance that has
// no peer to ask.
func (c *currency) confirmed(now time.Time) (until time.Time, ok bool) {
	if c.version == 0 || c.highest > c.version {
		return time.Time{}, false
	}
	if len(c.others) == 0 {
		return c.expiry(now, c.platform)
	}
	var expiries []time.Time
	for _, id := range c.others {
		if at, counts := c.expiry(now, c.peers[id]); counts {
			expiries = append(expiries, at)
		}
	}
	// More than half of len(others)+1, less this instance itself.
	needed := (len(c.others) + 1) / 2
	if len(expiries) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	return expiries[needed-1], true
}

// expiry returns until when what was said confirms the version in force here,
// false if it does not.
func (c *currency) expiry(now time.Time, said claim) (time.Time, bool) {
	at := said.at.Add(c.within)
	return at, said.version == c.version && now.Before(at)
}
